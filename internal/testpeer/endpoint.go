// Package testpeer has what tests of several packages need on the other side of a connection: HTTP
// endpoints, a scripted endpoint discovery, and waits.
package testpeer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Served is a complete response of an endpoint.
const Served = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

// Endpoint is an HTTP/1.1 server whose responses are written by a test, byte by byte if need be.
type Endpoint struct {
	Addr        string
	Listener    net.Listener
	Connections atomic.Int32 // accepted
	Requests    atomic.Int32 // received completely
}

// New starts an endpoint, which is closed at the end of the test. It calls serve for each request
// that was received completely, with the request's number from 1. Then it closes the connection
// unless serve returns true. Requests on different connections are served concurrently.
func New(t *testing.T, serve func(nc net.Conn, r *http.Request, n int) bool) *Endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	e := &Endpoint{Addr: l.Addr().String(), Listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			e.Connections.Add(1)
			go e.serveConn(conn, serve)
		}
	}()
	return e
}

func (e *Endpoint) serveConn(conn net.Conn, serve func(net.Conn, *http.Request, int) bool) {
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
		if !serve(conn, r, int(e.Requests.Add(1))) {
			return
		}
	}
}

// Says returns a function for New that responds to every request with the same text, and then keeps
// the connection open or closes it.
func Says(text string, keepOpen bool) func(net.Conn, *http.Request, int) bool {
	return func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, text) // where that fails, the client reports what is missing
		return keepOpen
	}
}
