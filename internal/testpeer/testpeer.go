// Package testpeer has what tests of several packages put on the other side of a connection.
package testpeer

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Patience is a time that no test should come near.
const Patience = 20 * time.Second

// Served is a whole answer of an endpoint.
const Served = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

// Endpoint accepts connections and counts what comes.
type Endpoint struct {
	Addr        string
	Listener    net.Listener
	Connections atomic.Int32
	Requests    atomic.Int32
}

// New starts an endpoint that hands each request that comes whole, the n-th, to serve, which returns false to close.
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
			nc, err := l.Accept()
			if err != nil {
				return
			}
			e.Connections.Add(1)
			go e.run(nc, serve)
		}
	}()
	return e
}

func (e *Endpoint) run(nc net.Conn, serve func(net.Conn, *http.Request, int) bool) {
	defer nc.Close()
	in := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !serve(nc, r, int(e.Requests.Add(1))) {
			return
		}
	}
}

// Says answers every request with the same text.
func Says(text string, stay bool) func(net.Conn, *http.Request, int) bool {
	return func(nc net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(nc, text) // the test sees what did not come
		return stay
	}
}

// Until polls for what the kernel does in its own time.
func Until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// Pending tells whether bytes have come on a connection, or its end, that nobody has read.
func Pending(nc syscall.Conn) bool {
	raw, err := nc.SyscallConn()
	if err != nil {
		return true
	}
	pending := true
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		pending = !errors.Is(err, syscall.EAGAIN)
	})
	return err != nil || pending
}
