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

	"rowancart/internal/platform"
)

// incompleteRequestLimit is how long after connecting a client that sends no complete request may
// wait for an error or a close.
const incompleteRequestLimit = 3 * time.Second

// pipeListener is a listener of in-memory connections, whose deadlines follow the fake clock of a
// synctest bubble.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	nc, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return nc, nil
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// rejectingRouter rejects all requests.
type rejectingRouter struct{}

func (rejectingRouter) Route(*http.Request) (Target, *Rejection) {
	return Target{}, &Rejection{Status: http.StatusNotFound, Message: "no pool serves it"}
}

// serveInMemory starts a server on a pipeListener that runs until the test ends, and returns a
// function that connects to it.
func serveInMemory(t *testing.T) (connect func() net.Conn) {
	t.Helper()
	pipes := make(pipeListener)
	listener := NewListener(pipes, 100)
	s := New(rejectingRouter{}, "test", "", slog.New(slog.DiscardHandler))
	served := make(chan error)
	go func() { served <- s.Serve(listener) }()
	t.Cleanup(func() {
		close(pipes)
		if err := <-served; !errors.Is(err, net.ErrClosed) {
			t.Errorf("Serve returned %v, want net.ErrClosed", err)
		}
		listener.Abort()
	})
	return func() net.Conn {
		client, server := net.Pipe()
		t.Cleanup(func() { client.Close() })
		pipes <- server
		return client
	}
}

// Clients that send nothing or an incomplete request must time out. Many such clients once
// occupied nearly all connections, and other clients waited seconds to be accepted.
func TestIncompleteRequestTimesOut(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":     "",
		"half a head": "GET /look HTTP/1.1\r\nHost: h\r\n" + platform.RequestIDHeader + ": r1\r\n",
		"half a body": "POST /pay HTTP/1.1\r\nHost: h\r\n" + platform.RequestIDHeader + ": r1\r\n" +
			platform.DeadlineHeader + ": 6000\r\n" + "Content-Length: 9\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := serveInMemory(t)()
				connected := time.Now()
				go io.WriteString(client, text)
				client.SetReadDeadline(connected.Add(time.Hour))
				_, err := client.Read(make([]byte, 1)) // an error response, or the close
				if took := time.Since(connected); took >= incompleteRequestLimit {
					t.Errorf("neither an error response nor a close within %v (%v)", took, err)
				}
			})
		})
	}
}

// If the head and the body are both slow, their timeouts together must not exceed
// incompleteRequestLimit.
func TestSlowHeadAndSlowBodyTimeOutTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := serveInMemory(t)()
		connected := time.Now()
		go func() {
			time.Sleep(requestHeadTimeout - time.Millisecond)
			io.WriteString(client, "POST /pay HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf")
		}()
		client.SetReadDeadline(connected.Add(time.Hour))
		if _, err := client.Read(make([]byte, 1)); err != nil {
			t.Errorf("no error response: %v", err)
		}
		if took := time.Since(connected); took >= incompleteRequestLimit {
			t.Errorf("no error response within %v", took)
		}
	})
}
