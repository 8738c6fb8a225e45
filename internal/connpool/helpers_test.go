package connpool

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"time"

	"rowancart/internal/testpeer"
)

// What tests here use most.
const (
	patience = testpeer.WaitTimeout
	served   = testpeer.OKResponse
)

var (
	newEndpoint = testpeer.StartEndpoint
	says        = testpeer.RespondWith
	until       = testpeer.WaitUntil
)

// newTestPool returns a Pool with endpoints at the addresses given, named a, b, ...
func newTestPool(t *testing.T, addrs ...string) *Pool {
	t.Helper()
	p := New(Options{IdleTimeout: time.Minute, DialTimeout: patience, MaxConns: 100})
	for i, addr := range addrs {
		p.SetEndpoint(string(rune('a'+i)), addr, true)
	}
	t.Cleanup(func() { p.sweepIdle(func(*conn) bool { return false }) })
	return p
}

// newRequest returns a GET request without a body.
func newRequest(path string) *Request {
	return &Request{
		Method: http.MethodGet, URL: &url.URL{Path: path}, Host: "api.internal", Header: http.Header{"Req-Id": {"r1"}},
	}
}

// succeeded is the kind of an attempt that did not fail.
const succeeded FailureKind = 0

// kindOf returns the kind of an attempt's error.
func kindOf(t *testing.T, err error) FailureKind {
	t.Helper()
	var failure *Error
	if err != nil && !errors.As(err, &failure) {
		t.Errorf("untyped error %v", err)
	}
	if failure == nil {
		return succeeded
	}
	return failure.Kind
}

// roundTrip makes an attempt and returns how it ended.
func roundTrip(t *testing.T, p *Pool, a *Attempt, id string, req *Request) (FailureKind, Response) {
	t.Helper()
	resp, err := p.RoundTrip(a, id, req)
	return kindOf(t, err), resp
}

// getOnce makes an attempt at endpoint a with a request without a body.
func getOnce(t *testing.T, p *Pool) FailureKind {
	t.Helper()
	kind, _ := roundTrip(t, p, attemptWithin(patience), "a", newRequest("/c"))
	return kind
}

// getAsync does so with an attempt of the caller's, and sends how it ended.
func getAsync(t *testing.T, p *Pool, a *Attempt) <-chan FailureKind {
	ended := make(chan FailureKind, 1)
	go func() {
		kind, _ := roundTrip(t, p, a, "a", newRequest("/c"))
		ended <- kind
	}()
	return ended
}

// attemptWithin returns an attempt with a deadline after so long.
func attemptWithin(d time.Duration) *Attempt {
	return &Attempt{Deadline: time.Now().Add(d)}
}

// holdNextDial makes the next dial wait once its connection is up, until release is closed.
func holdNextDial(p *Pool) (connected <-chan net.Conn, release chan<- bool) {
	up, held := make(chan net.Conn, 1), make(chan bool)
	dial := p.dial
	var once sync.Once
	p.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(context.WithoutCancel(ctx), network, addr)
		once.Do(func() {
			up <- nc
			<-held
		})
		return nc, err
	}
	return up, held
}

// loopbackConns returns both ends of a connection.
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
