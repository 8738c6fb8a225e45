package connpool

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"rowancart/internal/platform"
	"rowancart/internal/testpeer"
)

// Short names for parts of testpeer that these tests use often.
const (
	waitTimeout = testpeer.WaitTimeout
	okResponse  = testpeer.OKResponse
	keepConn    = testpeer.KeepConn
	closeConn   = testpeer.CloseConn
)

var (
	startEndpoint = testpeer.StartEndpoint
	respondWith   = testpeer.RespondWith
	waitUntil     = testpeer.WaitUntil
)

// newTestPool returns a Pool with endpoints named a, b, ... at the given addresses.
func newTestPool(t *testing.T, addrs ...string) *Pool {
	t.Helper()
	p := New(Options{IdleTimeout: time.Minute, DialTimeout: waitTimeout, MaxConns: 100})
	for i, addr := range addrs {
		p.SetEndpoint(string(rune('a'+i)), addr, true)
	}
	t.Cleanup(p.closeAllIdle)
	return p
}

// newRequest returns a GET request without a body.
func newRequest(path string) *Request {
	return &Request{
		Method: http.MethodGet, Target: path, Host: "api.internal",
		Header: http.Header{platform.RequestIDHeader: {"r1"}},
	}
}

// succeeded is what kindOf returns for an attempt that did not fail.
const succeeded FailureKind = 0

// kindOf returns the kind of an attempt's error, which must be nil or an *Error.
func kindOf(t *testing.T, err error) FailureKind {
	t.Helper()
	var failure *Error
	if err != nil && !errors.As(err, &failure) {
		t.Errorf("error %v is not an *Error", err)
	}
	if failure == nil {
		return succeeded
	}
	return failure.Kind
}

// roundTrip makes an attempt and returns its outcome and the response.
func roundTrip(t *testing.T, p *Pool, a *Attempt, id string, req *Request) (FailureKind, Response) {
	t.Helper()
	resp, err := p.RoundTrip(a, id, req)
	return kindOf(t, err), resp
}

// getOnce sends a GET request to endpoint a and returns the outcome of the attempt.
func getOnce(t *testing.T, p *Pool) FailureKind {
	t.Helper()
	kind, _ := roundTrip(t, p, attemptWithin(waitTimeout), "a", newRequest("/c"))
	return kind
}

// getAsync sends a GET request to endpoint a in a new goroutine, which sends the attempt's outcome
// to the channel.
func getAsync(t *testing.T, p *Pool, a *Attempt) <-chan FailureKind {
	ended := make(chan FailureKind, 1)
	go func() {
		kind, _ := roundTrip(t, p, a, "a", newRequest("/c"))
		ended <- kind
	}()
	return ended
}

// attemptWithin returns an attempt whose deadline is timeout from now.
func attemptWithin(timeout time.Duration) *Attempt {
	return &Attempt{Deadline: time.Now().Add(timeout)}
}

// blockNextDial makes the next dial return only after release is closed, even if the dial is
// canceled meanwhile. The connection is sent to connected once it is established.
func blockNextDial(p *Pool) (connected <-chan net.Conn, release chan<- bool) {
	established, blocked := make(chan net.Conn, 1), make(chan bool)
	dial := p.dial
	var once sync.Once
	p.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(context.WithoutCancel(ctx), network, addr)
		once.Do(func() {
			established <- nc
			<-blocked
		})
		return nc, err
	}
	return established, blocked
}

// loopbackConns returns both ends of a TCP connection.
func loopbackConns(t *testing.T) (client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}
