package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM, the deadline counting as 3 s where it is longer.
func TestKillDelayFollowsTheLongestDeadline(t *testing.T) {
	for lanes, want := range map[string]time.Duration{
		`{"Semantics":"read_like","HardLimitUs":200000},{"Semantics":"read_like","HardLimitUs":300000}`: time.Second,
		`{"Semantics":"read_like","HardLimitUs":6000000}`:                                               3700 * time.Millisecond,
		`{"Semantics":"read_like"}`: 3700 * time.Millisecond,
	} {
		c, err := parseConfig([]byte(strings.Replace(goodConfig, `"settings":{`, `"settings":{"Lanes":[`+lanes+`],`, 1)), noEnv)
		if err != nil {
			t.Fatal(err)
		}
		if got := killDelay(c); got != want {
			t.Errorf("%s: %v, want %v", lanes, got, want)
		}
	}
}

// Endpoints hang when SIGTERM comes, and deadlines are far off: whatever was taken has its answer before SIGKILL can come, and
// what was not taken by then does not hold up the end.
func TestShutdownAnswersEveryAcceptedRequestBeforeSIGKILL(t *testing.T) {
	b := newBlockingEndpoint(t, nil).accept()
	b.blockPrefix = ""
	defer close(b.release)
	s := testOptions{settings: fmt.Sprintf(longWaitSettings, true), endpoints: []string{endpointJSON("a", b.addr(), "Ready")}, killDelay: 2 * time.Second}.start(t)
	taken := []*testClient{s.connectAndSend(t, "safe", lookRequest), s.connectAndSend(t, "unsafe", payRequest)}
	waitUntil(t, "both are at the endpoint", func() bool { return len(b.startedIDs()) == 2 })
	for i := range initialCapacity { // all but two of these wait for room
		taken = append(taken, s.connectAndSend(t, fmt.Sprint("more", i), lookRequest))
	}
	s.waitForInFlight(t, initialCapacity+2)
	half, silent, never := s.connectAndSend(t, "half", lookRequest[:len(lookRequest)-2]), s.connectAndSend(t, "", ""), s.connectAndSend(t, "never", "")
	waitUntil(t, "all connections are taken", func() bool { open, _ := s.listener.Counts(); return open == initialCapacity+5 })

	signalled := time.Now()
	s.terminate()
	fresh := s.connectAndSend(t, "new", lookRequest) // too little time is left for it, by what is known: it is refused at once
	if resp := fresh.readResponse(t); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a new one is answered %d", resp.StatusCode)
	}
	waitUntil(t, "answers end their connections", s.server.Draining)
	io.WriteString(half, "\r\n") // the last byte
	io.WriteString(silent, strings.ReplaceAll(lookRequest, "ID", "silent"))
	for _, c := range append(taken, half, silent) {
		resp := c.readResponse(t)
		want := map[string]int{"unsafe": http.StatusBadGateway}[c.id]
		if want == 0 {
			want = http.StatusServiceUnavailable
		}
		if resp.StatusCode != want || !resp.Close {
			t.Errorf("%q is answered %d, close %v", c.id, resp.StatusCode, resp.Close)
		}
	}
	if n, err := never.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Errorf("the one that never asked is answered")
	}
	select {
	case err := <-s.serveResult:
		if took := time.Since(signalled); err != nil || took > 5*time.Second { // 60 s and more, else
			t.Errorf("ended after %v with %v", took, err)
		}
	case <-time.After(testTimeout):
		t.Error("never ended")
	}
}

// An answer that ends with its connection and is cut off at the end must not pass for a whole one.
func TestShutdownResetsTruncatedResponse(t *testing.T) {
	b := newBlockingEndpoint(t, nil)
	go func() {
		nc, err := b.Accept()
		if err != nil {
			return
		}
		io.ReadFull(nc, make([]byte, 1))
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
		<-b.release
	}()
	defer close(b.release)
	s := testOptions{settings: fmt.Sprintf(longWaitSettings, true), endpoints: []string{endpointJSON("a", b.addr(), "Ready")}, killDelay: 2 * time.Second}.start(t)
	c := s.connectAndSend(t, "old", strings.Replace(lookRequest, "HTTP/1.1", "HTTP/1.0", 1))
	if _, err := io.ReadFull(c, make([]byte, len("HTTP/1.1 200"))); err != nil {
		t.Fatal(err)
	}
	signalled := time.Now()
	s.terminate()
	text, err := io.ReadAll(c)
	if took := time.Since(signalled); took > 8*time.Second { // an endpoint that is silent is borne for 12 s, else
		t.Errorf("cut off after %v", took)
	}
	if !strings.HasSuffix(string(text), "half") || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%q, then %v", text, err)
	}
}

// What stands behind a request when its answer goes out at the end has been taken as well, read or not: it is answered, and only the
// last answer closes the connection.
func TestShutdownAnswersPipelinedRequests(t *testing.T) {
	for name, atOnce := range map[string]bool{"read with the first": true, "unread": false} {
		t.Run(name, func(t *testing.T) {
			b := newBlockingEndpoint(t, nil).accept()
			s := testOptions{settings: fmt.Sprintf(longWaitSettings, true), endpoints: []string{endpointJSON("a", b.addr(), "Ready")}}.start(t)
			text := lookRequest
			if atOnce {
				text += pipelinedRequest
			}
			c := s.connectAndSend(t, "hang", text)
			waitUntil(t, "it is at the endpoint", func() bool { return len(b.startedIDs()) == 1 })
			if !atOnce {
				io.WriteString(c, strings.ReplaceAll(pipelinedRequest, "ID", "hang"))
			}
			s.terminate()
			waitUntil(t, "answers end their connections", s.server.Draining)
			close(b.release)
			in := bufio.NewReader(c)
			for i, last := range []bool{false, true} {
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Fatalf("answer %d: %v", i+1, err)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK || resp.Close != last {
					t.Errorf("answer %d: %d, close %v, %v", i+1, resp.StatusCode, resp.Close, err)
				}
			}
			if _, err := in.ReadByte(); err != io.EOF {
				t.Errorf("behind the last answer: %v", err)
			}
		})
	}
}
