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

// SIGKILL comes no sooner after SIGTERM than the longest deadline, 3 s at most, plus 0.7 s.
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
			t.Errorf("%s: %v, want %v", classes, got, want)
		}
	}
}

// After SIGTERM clients go on connecting for a while. Every accepted request is answered before the
// end.
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
				t.Errorf("in flight: %d, close %v", resp.StatusCode, resp.Close)
			}
		})
		<-received
	}
	idle := sendKeepingConn(t, s.newRequest(t, http.MethodGet, "/look", "idle", 60000))
	if idle.resp.StatusCode != http.StatusOK || idle.resp.Close {
		t.Errorf("before the signal: %d, close %v", idle.resp.StatusCode, idle.resp.Close)
	}

	s.terminate()
	if status := s.get(t, "/look", "late", 60000); status != http.StatusOK {
		t.Errorf("right after the signal: %d", status)
	}
	if _, err := idle.in.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection: %v", err)
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
		t.Fatalf("ended with requests in flight: %v", err)
	default:
	}
	close(release)
	slow.Wait()
	if err := s.waitForServeResult(t); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// Endpoints hang when SIGTERM comes, and deadlines are far off: every accepted request is answered
// before SIGKILL can come, and requests that have not been received by then do not delay the exit.
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
	waitUntil(t, "both are at the endpoint", func() bool { return len(e.startedIDs()) == 2 })
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

	signalled := time.Now()
	s.terminate()
	fresh := s.connectAndSend(t, "new", lookRequest) // too little time is left for it: it is rejected at once
	if resp := fresh.readResponse(t); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a new request gets status %d", resp.StatusCode)
	}
	s.waitForDraining(t)
	half.send("\r\n") // the rest
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
	if took := time.Since(signalled); err != nil || took > 5*time.Second { // else 60 s and more
		t.Errorf("ended after %v with %v", took, err)
	}
}

// A response that ends with its connection and is truncated at shutdown must not pass for a
// complete one.
func TestShutdownResetsTruncatedResponse(t *testing.T) {
	e := newBlockingEndpoint(t)
	go func() {
		conn, err := e.Accept()
		if err != nil {
			return
		}
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
	signalled := time.Now()
	s.terminate()
	text, err := io.ReadAll(c)
	if took := time.Since(signalled); took > 8*time.Second { // a silent endpoint else delays it for 12 s
		t.Errorf("truncated after %v", took)
	}
	if !strings.HasSuffix(string(text), "half") || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%q, then %v", text, err)
	}
}

// A pipelined request has been accepted when the response to the request before it is written
// during shutdown, read or not: it is answered, and only the last response closes the connection.
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
			waitUntil(t, "it is at the endpoint", func() bool { return len(e.startedIDs()) == 1 })
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
					t.Errorf("response %d: %d, close %v, %v", i+1, resp.StatusCode, resp.Close, err)
				}
			}
			if _, err := in.ReadByte(); err != io.EOF {
				t.Errorf("after the last response: %v", err)
			}
		})
	}
}
