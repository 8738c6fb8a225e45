package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"rowancart/internal/platform"
)

// The earliest SIGKILL follows SIGTERM by the longest deadline, limited to 3 s, plus 0.7 s.
func TestKillDelayFollowsTheLongestDeadline(t *testing.T) {
	for classes, want := range map[string]time.Duration{
		`{"Semantics":"read_like","HardLimitUs":200000},
			{"Semantics":"read_like","HardLimitUs":300000}`: time.Second,
		`{"Semantics":"read_like","HardLimitUs":6000000}`: 3700 * time.Millisecond,
		`{"Semantics":"read_like"}`:                       3700 * time.Millisecond,
	} {
		text := strings.Replace(goodConfig, `"settings":{`, `"settings":{"Lanes":[`+classes+`],`, 1)
		c, err := parseConfig([]byte(text), noEnv)
		if err != nil {
			t.Fatal(err)
		}
		if got := killDelay(c); got != want {
			t.Errorf("%s: kill delay %v, want %v", classes, got, want)
		}
	}
}

// After SIGTERM, clients go on connecting for some time. Every accepted request must be answered
// before the process ends.
func TestGracefulShutdownLosesNoRequest(t *testing.T) {
	received, release := make(chan bool, 100), make(chan bool)
	e := newEndpoint(t, func(conn net.Conn, r *http.Request, _ int) bool {
		if strings.HasPrefix(r.Header.Get(platform.RequestIDHeader), "slow") {
			received <- true
			<-release
		}
		io.WriteString(conn, okResponse)
		return true
	})
	s := startSidecar(t, e.Addr)
	var slow sync.WaitGroup
	for i := range 3 {
		slow.Go(func() {
			resp := sendKeepingConn(t, s.newRequest(t, http.MethodGet, "/look", fmt.Sprint("slow", i), 60000)).resp
			if resp.StatusCode != http.StatusOK || !resp.Close {
				t.Errorf("a request in flight gets status %d, close %v; want 200, true", resp.StatusCode, resp.Close)
			}
		})
		<-received
	}
	idle := sendKeepingConn(t, s.newRequest(t, http.MethodGet, "/look", "idle", 60000))
	if idle.resp.StatusCode != http.StatusOK || idle.resp.Close {
		t.Errorf("a request before SIGTERM gets status %d, close %v; want 200, false", idle.resp.StatusCode, idle.resp.Close)
	}

	s.terminate()
	if status := s.get(t, "/look", "late", 60000); status != http.StatusOK {
		t.Errorf("a request right after SIGTERM gets status %d, want 200", status)
	}
	if _, err := idle.in.ReadByte(); err != io.EOF {
		t.Errorf("reading from an idle connection: %v, want EOF", err)
	}
	waitUntil(t, "the listener is closed", func() bool {
		conn, err := net.Dial("tcp", s.addr)
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	select {
	case err := <-s.serveResult:
		t.Fatalf("Serve returned while requests are in flight: %v", err)
	default:
	}
	close(release)
	slow.Wait()
	if err := s.waitForServeResult(t); err != nil {
		t.Errorf("Serve returned %v", err)
	}
}

// The endpoint hangs when SIGTERM arrives, and the deadlines of requests are long after SIGKILL.
// Every accepted request must be answered before SIGKILL can arrive, and connections whose client
// has sent no complete request by that time must not delay the exit.
func TestShutdownAnswersEveryAcceptedRequestBeforeSIGKILL(t *testing.T) {
	e := startBlockingEndpoint(t)
	e.blockPrefix = ""
	defer close(e.release)
	s := testOptions{
		settings:  longWaitSettings(),
		endpoints: listedAll(e),
		killDelay: 2 * time.Second,
	}.start(t)
	accepted := []*testClient{
		s.connectAndSend(t, "idempotent", lookRequest),
		s.connectAndSend(t, "non-idempotent", payRequest),
	}
	waitUntil(t, "both requests are at the endpoint", func() bool { return len(e.startedIDs()) == 2 })
	for i := range initialCapacity { // all but two of these wait for capacity
		accepted = append(accepted, s.connectAndSend(t, fmt.Sprint("more", i), lookRequest))
	}
	s.waitForInFlight(t, initialCapacity+2)
	half := s.connectAndSend(t, "half", lookRequest[:len(lookRequest)-2])
	silent := s.connectAndSend(t, "silent", "")
	never := s.connectAndSend(t, "never", "")
	waitUntil(t, "all connections are accepted", func() bool {
		open, _ := s.listener.Counts()
		return open == initialCapacity+5
	})

	terminatedAt := time.Now()
	s.terminate()
	late := s.connectAndSend(t, "new", lookRequest) // rejected at once: too little time is left for it
	if resp := late.readResponse(t); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a new request gets status %d, want 503", resp.StatusCode)
	}
	s.waitForDraining(t)
	half.send("\r\n") // completes the request
	silent.send(lookRequest)
	for _, c := range append(accepted, half, silent) {
		want := http.StatusServiceUnavailable
		if c.id == "non-idempotent" {
			want = http.StatusBadGateway
		}
		if resp := c.readResponse(t); resp.StatusCode != want || !resp.Close {
			t.Errorf("%q gets status %d, close %v", c.id, resp.StatusCode, resp.Close)
		}
	}
	if n, err := never.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Errorf("the client that sent no request gets a response")
	}
	err := s.waitForServeResult(t)
	if took := time.Since(terminatedAt); err != nil || took > 5*time.Second { // 60 s or more if it waits for requests
		t.Errorf("Serve returned after %v with error %v", took, err)
	}
}

// If a shutdown truncates a response whose end is marked by the end of its connection, the
// connection must be reset. Otherwise the client takes the response for complete.
func TestShutdownResetsTruncatedResponse(t *testing.T) {
	e := newBlockingEndpoint(t)
	go func() {
		conn, err := e.Accept()
		if err != nil {
			return
		}
		defer conn.Close() // keeps it open until release: the garbage collector closes an unreachable connection
		io.ReadFull(conn, make([]byte, 1))
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
		<-e.release
	}()
	defer close(e.release)
	s := testOptions{
		settings:  longWaitSettings(),
		endpoints: listedAll(e),
		killDelay: 2 * time.Second,
	}.start(t)
	c := s.connectAndSend(t, "old", strings.Replace(lookRequest, "HTTP/1.1", "HTTP/1.0", 1))
	if _, err := io.ReadFull(c, make([]byte, len("HTTP/1.1 200"))); err != nil {
		t.Fatal(err)
	}
	terminatedAt := time.Now()
	s.terminate()
	text, err := io.ReadAll(c)
	if took := time.Since(terminatedAt); took > 8*time.Second { // a silent endpoint would otherwise delay it for 12 s
		t.Errorf("the response was truncated %v after SIGTERM, want 8 s at most", took)
	}
	if !strings.HasSuffix(string(text), "half") || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("response ends with %q, error %v; want a connection reset", text, err)
	}
}

// A pipelined request that has arrived when a shutdown begins, whether the sidecar has read it or
// not, must be answered after the request before it. Only the last response closes the connection.
func TestShutdownAnswersPipelinedRequests(t *testing.T) {
	for name, sentTogether := range map[string]bool{"read with the first": true, "unread": false} {
		t.Run(name, func(t *testing.T) {
			e := startBlockingEndpoint(t)
			s := startLongWaitSidecar(t, e)
			text := lookRequest
			if sentTogether {
				text += pipelinedRequest
			}
			c := s.connectAndSend(t, "hang", text)
			waitUntil(t, "the first request is at the endpoint", func() bool { return len(e.startedIDs()) == 1 })
			if !sentTogether {
				c.send(pipelinedRequest)
			}
			s.terminate()
			s.waitForDraining(t)
			close(e.release)
			in := bufio.NewReader(c)
			for i, last := range []bool{false, true} {
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Fatalf("response %d: %v", i+1, err)
				}
				_, err = io.Copy(io.Discard, resp.Body)
				if err != nil || resp.StatusCode != http.StatusOK || resp.Close != last {
					t.Errorf("response %d: status %d, close %v, error %v", i+1, resp.StatusCode, resp.Close, err)
				}
			}
			if _, err := in.ReadByte(); err != io.EOF {
				t.Errorf("reading after the last response: %v, want EOF", err)
			}
		})
	}
}
