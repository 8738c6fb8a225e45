package proxy

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"testing"
	"time"

	"rowancart/balancer"
	"rowancart/internal/platform"
	"rowancart/internal/testpeer"
)

// What tests here use most.
const (
	waitTimeout = testpeer.WaitTimeout
	okResponse  = testpeer.OKResponse
)

var (
	startEndpoint = testpeer.StartEndpoint
	waitUntil     = testpeer.WaitUntil
)

// testClasses are the classes of test calls.
var testClasses = []balancer.Class{
	{Name: "idempotent", LatencyObjective: time.Minute},
	{Name: "non-idempotent", Idempotency: balancer.NonIdempotent, LatencyObjective: time.Minute},
	{Name: "hedged", LatencyObjective: time.Minute, HedgeAfter: time.Millisecond},
}

// testPool is a running Pool with a dialer that a test can block.
type testPool struct {
	*Pool
	dialer *blockingDialer
}

// newTestPool runs a Pool with endpoints at the addresses given, named a, b, ...
func newTestPool(t *testing.T, s balancer.Settings, addrs ...string) testPool {
	t.Helper()
	s.Classes = testClasses
	known := EndpointList{Complete: true}
	for i, addr := range addrs {
		known.Endpoints = append(known.Endpoints, Endpoint{ID: string(rune('a' + i)), Addr: addr})
	}
	dialer := &blockingDialer{}
	p := New(s, known, Options{
		IdleTimeout: time.Minute, DialTimeout: waitTimeout, MaxConns: 100, Log: slog.New(slog.DiscardHandler),
		dialContext: dialer.dial,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan bool)
	go func() { p.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return testPool{p, dialer}
}

// stopTimer stops the Pool's timer, before its first call: the test fires due timers itself.
func (p testPool) stopTimer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer.stop()
	p.timer.timer = time.AfterFunc(time.Hour, func() {})
}

// newTestCall returns a call with a deadline after wait.
func (p testPool) newTestCall(id, class string, wait time.Duration) *Call {
	m := &RequestMessage{
		Method: http.MethodPost, URL: &url.URL{Path: "/c"}, Host: "api.internal",
		Header: http.Header{platform.RequestIDHeader: {id}},
	}
	return NewCall(balancer.Request{ID: id, Class: class, Deadline: p.Now() + wait}, m)
}

// doAsync carries out a call and sends its result.
func (p testPool) doAsync(c *Call) <-chan Result {
	result := make(chan Result, 1)
	go func() { result <- p.Do(c) }()
	return result
}

// blockingDialer can block the next dial once its connection is established.
type blockingDialer struct {
	mu   sync.Mutex
	next *blockedDial // nil: none is to be blocked
}

// blockedDial is a dial that sends its connection to connected and waits for release to be closed.
type blockedDial struct {
	connected chan net.Conn
	release   chan bool
}

// blockNext makes the next dial wait until release is closed, even if it is canceled meanwhile.
func (d *blockingDialer) blockNext() (connected <-chan net.Conn, release chan<- bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next = &blockedDial{make(chan net.Conn, 1), make(chan bool)}
	return d.next.connected, d.next.release
}

func (d *blockingDialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d.mu.Lock()
	blocked := d.next
	d.next = nil
	d.mu.Unlock()
	var dialer net.Dialer
	if blocked == nil {
		return dialer.DialContext(ctx, network, addr)
	}
	nc, err := dialer.DialContext(context.WithoutCancel(ctx), network, addr)
	blocked.connected <- nc
	<-blocked.release
	return nc, err
}

// testEndpoints are fake endpoints that record which requests they receive.
type testEndpoints struct {
	addrs []string
	peers []*testpeer.FakeEndpoint

	mu       sync.Mutex
	received map[string][]string // request ids by endpoint
}

// newTestEndpoints starts n endpoints, named a, b, ..., that pass each connection with a request to
// serve.
func newTestEndpoints(t *testing.T, n int, serve func(nc net.Conn, id string) bool) *testEndpoints {
	f := &testEndpoints{received: map[string][]string{}}
	for i := range n {
		name := string(rune('a' + i))
		e := startEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
			id := r.Header.Get(platform.RequestIDHeader)
			f.mu.Lock()
			f.received[name] = append(f.received[name], id)
			f.mu.Unlock()
			return serve(nc, id)
		})
		f.addrs = append(f.addrs, e.Addr)
		f.peers = append(f.peers, e)
	}
	return f
}

// receivedBy returns the ids of the requests that an endpoint has received.
func (f *testEndpoints) receivedBy(name string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.received[name])
}

// nameOf returns an endpoint's name by its address.
func (f *testEndpoints) nameOf(addr string) string {
	return string(rune('a' + slices.Index(f.addrs, addr)))
}

// respondOK writes a complete response, and reports whether the connection stays open.
func respondOK(nc net.Conn, _ string) bool {
	_, err := io.WriteString(nc, okResponse)
	return err == nil
}
