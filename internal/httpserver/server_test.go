package httpserver

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
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

// nobody serves.
type nobody struct{}

func (nobody) Route(*http.Request) (Target, *Rejection) {
	return Target{}, &Rejection{Status: http.StatusNotFound, Reason: "nobody serves"}
}

// serveInMemory serves callers until the test ends and returns the way to connect.
func serveInMemory(t *testing.T) (connect func() net.Conn) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	listener := make(piped)
	conns := NewListener(listener, 100)
	s := New(nobody{}, "front", "", log)
	ended := make(chan error)
	go func() { ended <- s.Serve(conns) }()
	t.Cleanup(func() {
		close(listener)
		if err := <-ended; !errors.Is(err, net.ErrClosed) {
			t.Errorf("the server ended with %v", err)
		}
		conns.Abort()
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
			time.Sleep(requestHeadTimeout - time.Millisecond)
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
