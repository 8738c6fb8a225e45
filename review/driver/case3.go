package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["3"] = improperPaths }

// The load of case 3.
const (
	case3Endpoints = 3
	case3Work      = 20 * time.Millisecond
	case3Clients   = 3
	case3Requests  = 40 // of each client
	case3Pause     = 100 * time.Millisecond
	case3PeersPace = 300 * time.Millisecond
	case3AnswerIn  = 3 * time.Second // an improper peer is owed an error or a close by then
)

// target is a method and a request target as they are sent.
type target struct{ method, path string }

// properTargets are what the clients ask for. Reserved characters are percent-encoded.
var properTargets = []target{
	{http.MethodGet, "/form-lookup/erie%2F17%7C2"},
	{http.MethodGet, "/form-lookup/household?year=2026"},
	{http.MethodPost, "/return-submit/erie%2F17"},
}

// peerTargets are what the peers ask for: first in the proper form, then with a character that no
// path may have (RFC 3986, 3.3; RFC 9112, 3.2).
var peerTargets = [][2]target{
	{{http.MethodPost, "/return-submit/erie%2F17%7C2"}, {http.MethodPost, "/return-submit/erie%2F17|2"}},
	{{http.MethodPost, "/return-submit/erie%2F18%5E"}, {http.MethodPost, "/return-submit/erie%2F18^"}},
	{{http.MethodGet, "/form-lookup/erie%2F17%23part"}, {http.MethodGet, "/form-lookup/erie%2F17#part"}},
	{{http.MethodGet, "/form-lookup/%22erie%22"}, {http.MethodGet, `/form-lookup/"erie"`}},
}

// ledger has what was sent, and compares it with what endpoints get.
type ledger struct {
	env *environment

	mu      sync.Mutex
	sent    map[string]target // by request id
	ran     int
	changed []string
}

// recordSent records a request before its first byte is sent.
func (l *ledger) recordSent(id string, t target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = t
}

// recordRun checks a request that an endpoint has got whole.
func (l *ledger) recordRun(id string, got target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran++
	if want := l.sent[id]; got != want {
		l.changed = append(l.changed,
			fmt.Sprintf("%s %s (%s was sent as %s %s)", got.method, got.path, id, want.method, want.path))
	}
}

// improperPaths: a few peers send requests whose paths are not proper. Each request that reaches
// an endpoint must be one that was sent in this form: an improper one is refused or unchanged.
func improperPaths(e *environment) (string, error) {
	l := &ledger{env: e, sent: map[string]target{}}
	var addrs []string
	for i := range case3Endpoints {
		addr, err := l.listen(fmt.Sprintf("endpoint %d", i))
		if err != nil {
			return "", err
		}
		addrs = append(addrs, addr)
	}
	d, err := startDiscovery(addrs...)
	if err != nil {
		return "", err
	}
	addr, _, err := e.startSidecar(d, settings, sidecarLimits{Cores: 1, MemoryMB: 64, Sockets: 256})
	if err != nil {
		return "", err
	}
	var callers sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i := range case3Clients {
		callers.Go(func() {
			for n := range case3Requests {
				t := properTargets[(i+n)%len(properTargets)]
				if l.exchange(addr, fmt.Sprintf("client%d-%02d", i, n), t) == http.StatusOK {
					mu.Lock()
					served++
					mu.Unlock()
				}
				time.Sleep(case3Pause)
			}
		})
	}
	for i, forms := range peerTargets {
		time.Sleep(case3PeersPace)
		t := forms[0]
		if e.trouble {
			t = forms[1]
		}
		l.exchange(addr, fmt.Sprintf("peer%d", i), t)
	}
	callers.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	e.logf("clients: %d of %d served; endpoints ran %d requests, %d of them in a form that nobody sent",
		served, case3Clients*case3Requests, l.ran, len(l.changed))
	switch {
	case len(l.changed) > 0:
		return fmt.Sprintf("endpoints ran %d requests that nobody sent: %s",
			len(l.changed), strings.Join(l.changed, "; ")), nil
	case served < case3Clients*case3Requests*9/10:
		return "", fmt.Errorf("only %d of %d clients' requests were served", served, case3Clients*case3Requests)
	}
	return "", nil
}

// exchange sends one request on a connection of its own, and returns the status of the answer, or 0
// if the connection was closed without one.
func (l *ledger) exchange(addr, id string, t target) int {
	l.recordSent(id, t)
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		l.env.logf("%s: %v", id, err)
		return 0
	}
	defer nc.Close()
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Owner: erie-county\r\n"+
		"Req-Deadline-Ms: 6000\r\n", t.method, t.path, id)
	body := ""
	if t.method == http.MethodPost {
		body = "return"
		text += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	_ = nc.SetDeadline(time.Now().Add(2 * case3AnswerIn))
	_, err = io.WriteString(nc, text+"\r\n"+body)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(bufio.NewReader(nc), nil)
	}
	if err != nil {
		l.env.logf("%s: %s %s: %v", id, t.method, t.path, err)
		return 0
	}
	defer resp.Body.Close()
	l.env.logf("%s: %s %s: %d %q", id, t.method, t.path, resp.StatusCode, readAll(resp.Body))
	return resp.StatusCode
}

// listen starts an endpoint at a free address and returns the address.
func (l *ledger) listen(name string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serveConn(name, nc)
		}
	}()
	return listener.Addr().String(), nil
}

// serveConn serves one connection of an endpoint.
func (l *ledger) serveConn(name string, nc net.Conn) {
	defer nc.Close()
	reader := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			if !errors.Is(err, io.EOF) {
				l.env.logf("%s: %v", name, err)
			}
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id, got := req.Header.Get("Req-Id"), target{req.Method, req.RequestURI}
		l.env.logf("%s: ran %s %s %s", name, id, got.method, got.path)
		l.recordRun(id, got)
		time.Sleep(case3Work)
		answer := "done: " + got.path
		if _, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer); err != nil {
			return
		}
	}
}
