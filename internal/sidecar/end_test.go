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
func TestTheEndGoesByTheLongestDeadline(t *testing.T) {
	for lanes, want := range map[string]time.Duration{
		`{"Semantics":"read_like","HardLimitUs":200000},{"Semantics":"read_like","HardLimitUs":300000}`: time.Second,
		`{"Semantics":"read_like","HardLimitUs":6000000}`:                                               3700 * time.Millisecond,
		`{"Semantics":"read_like"}`: 3700 * time.Millisecond,
	} {
		c, err := parseConfig([]byte(strings.Replace(goodConfig, `"settings":{`, `"settings":{"Lanes":[`+lanes+`],`, 1)), noEnv)
		if err != nil {
			t.Fatal(err)
		}
		if got := killAfter(c); got != want {
			t.Errorf("%s: %v, want %v", lanes, got, want)
		}
	}
}

// Endpoints hang when SIGTERM comes, and deadlines are far off: whatever was taken has its answer before SIGKILL can come, and
// what was not taken by then does not hold up the end.
func TestAllThatWasTakenIsAnsweredBeforeTheKill(t *testing.T) {
	b := newBox(t, nil).open()
	b.hangs = ""
	defer close(b.release)
	s := setup{settings: fmt.Sprintf(patientSettings, true), known: []string{member("a", b.addr(), "Ready")}, kill: 2 * time.Second}.run(t)
	taken := []*caller{s.calls(t, "safe", look), s.calls(t, "unsafe", submit)}
	until(t, "both are at the endpoint", func() bool { return len(b.came()) == 2 })
	for i := range fullAt { // all but two of these wait for room
		taken = append(taken, s.calls(t, fmt.Sprint("more", i), look))
	}
	s.concurrent(t, fullAt+2)
	half, silent, never := s.calls(t, "half", look[:len(look)-2]), s.calls(t, "", ""), s.calls(t, "never", "")
	until(t, "all connections are taken", func() bool { open, _ := s.conns.Counts(); return open == fullAt+5 })

	signalled := time.Now()
	s.term()
	fresh := s.calls(t, "new", look) // too little time is left for it, by what is known: it is refused at once
	if resp := fresh.answer(t); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a new one is answered %d", resp.StatusCode)
	}
	until(t, "answers end their connections", s.callers.Draining)
	io.WriteString(half, "\r\n") // the last byte
	io.WriteString(silent, strings.ReplaceAll(look, "ID", "silent"))
	for _, c := range append(taken, half, silent) {
		resp := c.answer(t)
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
	case err := <-s.ended:
		if took := time.Since(signalled); err != nil || took > 5*time.Second { // 60 s and more, else
			t.Errorf("ended after %v with %v", took, err)
		}
	case <-time.After(patience):
		t.Error("never ended")
	}
}

// An answer that ends with its connection and is cut off at the end must not pass for a whole one.
func TestAnAnswerCutOffAtTheEndIsSeenToBe(t *testing.T) {
	b := newBox(t, nil)
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
	s := setup{settings: fmt.Sprintf(patientSettings, true), known: []string{member("a", b.addr(), "Ready")}, kill: 2 * time.Second}.run(t)
	c := s.calls(t, "old", strings.Replace(look, "HTTP/1.1", "HTTP/1.0", 1))
	if _, err := io.ReadFull(c, make([]byte, len("HTTP/1.1 200"))); err != nil {
		t.Fatal(err)
	}
	signalled := time.Now()
	s.term()
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
func TestWhatCameAheadOfTheEndIsAnswered(t *testing.T) {
	for name, atOnce := range map[string]bool{"read with the first": true, "unread": false} {
		t.Run(name, func(t *testing.T) {
			b := newBox(t, nil).open()
			s := setup{settings: fmt.Sprintf(patientSettings, true), known: []string{member("a", b.addr(), "Ready")}}.run(t)
			text := look
			if atOnce {
				text += ahead
			}
			c := s.calls(t, "hang", text)
			until(t, "it is at the endpoint", func() bool { return len(b.came()) == 1 })
			if !atOnce {
				io.WriteString(c, strings.ReplaceAll(ahead, "ID", "hang"))
			}
			s.term()
			until(t, "answers end their connections", s.callers.Draining)
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
