package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["2"] = endpointsThatPauseReading }

// The load of case 2: a few long requests of a class that is safe to repeat.
const (
	case2Endpoints = 3
	case2Uploads   = 8
	case2Spacing   = 150 * time.Millisecond
	case2Bytes     = 6 << 20
	case2Pause     = 700 * time.Millisecond // for which the first endpoint of an upload does not read

	ethernetMSS   = 1460
	receiveBuffer = 64 << 10
)

// case2Work is the time that each endpoint works on a request: the machines are not alike in speed.
var case2Work = [case2Endpoints]time.Duration{400 * time.Millisecond, 700 * time.Millisecond, 900 * time.Millisecond}

// uploadBody is the body of an upload: lines that name it and are numbered.
func uploadBody(id string) []byte {
	var b bytes.Buffer
	for n := 0; b.Len() < case2Bytes; n++ {
		fmt.Fprintf(&b, "%s line %08d %s\n", id, n, strings.Repeat(".", 40))
	}
	return b.Bytes()
}

// endpointsThatPauseReading: the endpoint that gets an upload first stops reading it for a while.
// Each whole request that an endpoint gets must have the body that its client sent.
func endpointsThatPauseReading(e *environment) (string, error) {
	s := &uploadEndpoints{env: e, seen: map[string]bool{}}
	roster := ""
	for i := range case2Endpoints {
		name := fmt.Sprintf("forms-%d", i+1)
		addr, err := s.listen(name, case2Work[i])
		if err != nil {
			return "", err
		}
		roster += fmt.Sprintf("    endpoint %q {\n      address = %q\n    }\n", name, addr)
	}
	addr, err := e.startDaemon(`
class "query" {
  effect = "safe"
  aim    = "2500ms"
}
pool "forms" {
  connections = 256
  roster "static" {
` + roster + `  }
}
route "queries" {
  path    = "/graphql"
  methods = ["POST"]
  class   = "query"
  pool    = "forms"
  policy {
    second_copy {
      after = "300ms"
    }
  }
}
`)
	if err != nil {
		return "", err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	served, servedOther := 0, 0
	for i := range case2Uploads {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * case2Spacing)
			id := fmt.Sprintf("upload-%d", i)
			status, answer, err := upload(addr, id)
			e.logf("client: %s: %d %q %v", id, status, answer, err)
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK {
				served++
				if strings.HasSuffix(answer, notAsSent) {
					servedOther++
				}
			}
		})
	}
	clients.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	e.logf("%d whole requests ran, %d of them with a body that no client sent; %d of %d clients were served, "+
		"%d of them for such a body", s.ran, s.changed, served, case2Uploads, servedOther)
	switch {
	case s.changed > 0:
		return fmt.Sprintf("%d of %d requests that ran had a body that no client sent; %d of %d clients were served for one",
			s.changed, s.ran, servedOther, case2Uploads), nil
	case s.ran < case2Uploads/2:
		return "", fmt.Errorf("only %d of %d uploads ran", s.ran, case2Uploads)
	}
	return "", nil
}

// upload sends one long request, chunked, and returns the answer.
func upload(addr, id string) (status int, answer string, err error) {
	client := &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	body := struct{ io.Reader }{bytes.NewReader(uploadBody(id))} // hides the length, so that it is sent chunked
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/graphql", body)
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Req-Id", id)
	req.Header.Set("Req-Owner", "erie-county")
	req.Header.Set("Req-Deadline-Ms", "6000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	return resp.StatusCode, string(readAll(resp.Body)), nil
}

// The ends of an endpoint's answer.
const (
	asSent    = "as sent"
	notAsSent = "another body than the client's"
)

// uploadEndpoints are endpoints that compare the bodies they get with what the clients send.
type uploadEndpoints struct {
	env *environment

	mu           sync.Mutex
	seen         map[string]bool // ids of which a head has come
	ran, changed int
}

// listen starts an endpoint at a free address and returns the address. Its segments and receive
// buffer are those of a host on an Ethernet: loopback's own would hold several MB of a body.
func (s *uploadEndpoints) listen(name string, work time.Duration) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return "", err
	}
	var mssErr, bufferErr error
	err = raw.Control(func(fd uintptr) {
		mssErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetMSS)
		bufferErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
	for _, err := range []error{err, mssErr, bufferErr} {
		if err != nil {
			return "", err
		}
	}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveConn(name, work, nc)
		}
	}()
	return l.Addr().String(), nil
}

// isFirst reports whether no head of a request with this id has come before.
func (s *uploadEndpoints) isFirst(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !s.seen[id]
	s.seen[id] = true
	return first
}

// serveConn serves one connection.
func (s *uploadEndpoints) serveConn(name string, work time.Duration, nc net.Conn) {
	defer nc.Close()
	reader := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := req.Header.Get("Req-Id")
		s.env.logf("%s: head of %s", name, id)
		if s.isFirst(id) && s.env.trouble {
			time.Sleep(case2Pause)
		}
		got, err := io.ReadAll(req.Body)
		if err != nil {
			s.env.logf("%s: %s ended after %d bytes of its body: %v", name, id, len(got), err)
			return
		}
		verdict := s.run(name, id, got)
		time.Sleep(work)
		answer := id + ": " + verdict
		if _, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer); err != nil {
			return
		}
	}
}

// run counts a whole request and says whether its body is the client's.
func (s *uploadEndpoints) run(name, id string, got []byte) string {
	want := uploadBody(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran++
	if bytes.Equal(got, want) {
		s.env.logf("%s: ran %s: %d bytes, %s", name, id, len(got), asSent)
		return asSent
	}
	s.changed++
	s.env.logf("%s: ran %s: %d bytes, %s: %s", name, id, len(got), notAsSent, firstDifference(got, want))
	return notAsSent
}

// firstDifference says where two bodies begin to differ.
func firstDifference(got, want []byte) string {
	for i := range min(len(got), len(want)) {
		if got[i] != want[i] {
			return fmt.Sprintf("at byte %d it has %.30q, the client sent %.30q", i, got[i:], want[i:])
		}
	}
	return fmt.Sprintf("it ends after %d of %d bytes", len(got), len(want))
}
