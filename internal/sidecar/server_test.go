package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
	"tuliprock/internal/engine"

	"tuliprock"
)

// improperEnd is how long after connecting a peer that sends no proper request is still owed an error or a close.
const improperEnd = 3 * time.Second

// piped is a listener whose connections live in memory, so that time in a synctest bubble covers them.
type piped chan net.Conn

func (p piped) Accept() (net.Conn, error) {
	nc, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return nc, nil
}

func (p piped) Close() error   { return nil }
func (p piped) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// serveInMemory serves callers until the test ends and returns the way to connect.
func serveInMemory(t *testing.T) (connect func() net.Conn) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	listener := make(piped)
	conns := &callers{Listener: listener, most: 100, open: map[*callerConn]bool{}}
	s := &server{engine: engine.New(tuliprock.Settings{}, engine.Members{}, engine.Options{Log: log}), log: log, bodyTimeout: bodyTimeout}
	h := s.http(conns.track)
	ended := make(chan error)
	go func() { ended <- h.Serve(conns) }()
	t.Cleanup(func() {
		close(listener)
		if err := <-ended; !errors.Is(err, net.ErrClosed) {
			t.Errorf("the server ended with %v", err)
		}
		h.Close()
	})
	return func() net.Conn {
		here, there := net.Pipe()
		t.Cleanup(func() { here.Close() })
		listener <- there
		return here
	}
}

// Seen on a day with many improper peers: those that sent nothing, or half of a request, held nearly every place for
// callers, and clients waited seconds to be accepted.
func TestAPeerThatSendsNoWholeRequestIsEndedInTime(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":     "",
		"half a head": "GET /look HTTP/1.1\r\nHost: h\r\nReq-Id: r1\r\n",
		"half a body": "POST /pay HTTP/1.1\r\nHost: h\r\nReq-Id: r1\r\nReq-Deadline-Ms: 6000\r\nContent-Length: 9\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nc := serveInMemory(t)()
				connected := time.Now()
				go io.WriteString(nc, text)
				nc.SetReadDeadline(connected.Add(time.Hour))
				_, err := nc.Read(make([]byte, 1)) // an error that is answered, or the close
				if took := time.Since(connected); took >= improperEnd {
					t.Errorf("neither an error nor a close for %v (%v)", took, err)
				}
			})
		})
	}
}

// The head may come late: both limits together must keep what a peer is owed.
func TestASlowHeadAndASlowBodyTogetherAreEndedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nc := serveInMemory(t)()
		connected := time.Now()
		go func() {
			time.Sleep(headTimeout - time.Millisecond)
			io.WriteString(nc, "POST /pay HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf")
		}()
		nc.SetReadDeadline(connected.Add(time.Hour))
		if _, err := nc.Read(make([]byte, 1)); err != nil {
			t.Errorf("no error was answered: %v", err)
		}
		if took := time.Since(connected); took >= improperEnd {
			t.Errorf("no error for %v", took)
		}
	})
}

// Seen on the same day: where Content-Length and Transfer-Encoding disagree, the request that stood inside the body
// of another was taken for one of its own.
func TestARequestHiddenInABodyReachesNoEndpoint(t *testing.T) {
	e := newEndpoint(t, says(served, true))
	s := run(t, e.Addr)
	const hidden = "GET /look HTTP/1.1\r\nHost: h\r\nReq-Id: hidden\r\nReq-Deadline-Ms: 6000\r\n\r\n"
	const fields = "Host: h\r\nReq-Id: r1\r\nReq-Deadline-Ms: 6000\r\n"
	for name, text := range map[string]string{
		"length, then chunks": "POST /pay HTTP/1.1\r\n" + fields + fmt.Sprintf("Content-Length: %d\r\n", 5+len(hidden)) +
			"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"chunks, then length": "POST /pay HTTP/1.1\r\n" + fields + "Transfer-Encoding: chunked\r\n" +
			fmt.Sprintf("Content-Length: %d\r\n\r\n0\r\n\r\n", 5+len(hidden)) + hidden,
		"chunks over HTTP/1.0": "POST /pay HTTP/1.0\r\n" + fields + "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n" +
			"Content-Length: 3\r\n\r\n" + fmt.Sprintf("%x\r\n", len(hidden)) + hidden + "\r\n0\r\n\r\n",
	} {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		io.WriteString(nc, text)
		nc.SetReadDeadline(time.Now().Add(patience))
		answers, err := io.ReadAll(nc) // to the end of the connection
		if n := strings.Count(string(answers), "HTTP/1."); err != nil || n != 1 || strings.Contains(string(answers), "200 OK") {
			t.Errorf("%s: %d answers, %v: %q", name, n, err, answers)
		}
	}
	if n := e.Requests.Load(); n != 0 {
		t.Errorf("%d requests reached the endpoint", n)
	}
}

// Seen on the same day: a caller that ended its sending before the answer was told 200, which no endpoint had said.
func TestACallerThatEndsItsSendingIsNotServed(t *testing.T) {
	e := newEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		nc.Read(make([]byte, 1)) // until the attempt is called off
		return false
	})
	s := run(t, e.Addr)
	nc, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if err := s.request(t, http.MethodGet, "/look", "r1", 60000).Write(nc); err != nil {
		t.Fatal(err)
	}
	until(t, "the request is passed on", func() bool { return e.Requests.Load() > 0 })
	if err := nc.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	nc.SetReadDeadline(time.Now().Add(patience))
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil || resp.StatusCode != statusFailed {
		t.Errorf("answered %v, %v", resp, err)
	}
}

// Seen on the same day: peers sent the ids of clients' requests again once those were answered.
func TestAnAnsweredRequestIsNotTakenAgain(t *testing.T) {
	e := newEndpoint(t, says(served, true))
	s := run(t, e.Addr)
	for i, want := range []int{http.StatusOK, statusDuplicate, statusDuplicate} {
		if status, _, _ := ask(t, s.request(t, http.MethodGet, "/look?v="+fmt.Sprint(i), "same", 6000)); status != want {
			t.Errorf("time %d: status %d, want %d", i, status, want)
		}
	}
	if n := e.Requests.Load(); n != 1 {
		t.Errorf("%d requests reached the endpoint", n)
	}
}
