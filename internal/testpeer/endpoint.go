// Package testpeer provides the peers that tests of several packages need: fake endpoints, fake
// discovery agents and clients. It also provides functions that wait for a condition.
package testpeer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// OKResponse is a complete response of an endpoint with the body "hi".
const OKResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

// FakeEndpoint is an HTTP/1.1 server whose responses are written by a test, byte by byte if needed.
type FakeEndpoint struct {
	Addr        string
	Listener    net.Listener
	Connections atomic.Int32 // number of accepted connections
	Requests    atomic.Int32 // number of completely received requests
}

// AfterResponse says what a fake endpoint does with a connection after a response.
type AfterResponse bool

// Values of AfterResponse.
const (
	KeepConn  AfterResponse = true
	CloseConn AfterResponse = false
)

// Responder writes the response to the nth request of a fake endpoint, counted from 1, and returns
// whether the connection stays open.
type Responder = func(conn net.Conn, r *http.Request, n int) (keepConn bool)

// StartEndpoint starts a fake endpoint. Its listener is closed at the end of the test. It calls
// respond for each request that was received completely, concurrently for requests on different
// connections.
func StartEndpoint(t *testing.T, respond Responder) *FakeEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	e := &FakeEndpoint{Addr: l.Addr().String(), Listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			e.Connections.Add(1)
			go e.serveConn(conn, respond)
		}
	}()
	return e
}

func (e *FakeEndpoint) serveConn(conn net.Conn, respond Responder) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !respond(conn, r, int(e.Requests.Add(1))) {
			return
		}
	}
}

// RespondWith returns a Responder that responds to every request with the same text.
func RespondWith(text string, then AfterResponse) Responder {
	return func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, text) // if this fails, the client reports the incomplete response
		return then == KeepConn
	}
}
