package proxy

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"rowancart/balancer"
	"rowancart/internal/platform"
	"rowancart/internal/testpeer"
)

// Short names for the parts of package testpeer that are used most in these tests.
const (
	waitTimeout = testpeer.WaitTimeout
	okResponse  = testpeer.OKResponse
)

var (
	startEndpoint = testpeer.StartEndpoint
	waitUntil     = testpeer.WaitUntil
)

// testClasses are the request classes of test calls.
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

// newTestPool runs a Pool with one endpoint for each address. Their ids are a, b, and so on.
func newTestPool(t *testing.T, s balancer.Settings, addrs ...string) testPool {
	t.Helper()
	s.Classes = testClasses
	initial := EndpointList{Complete: true}
	for i, addr := range addrs {
		initial.Endpoints = append(initial.Endpoints, Endpoint{ID: string(rune('a' + i)), Addr: addr})
	}
	dialer := &blockingDialer{}
	p := New(s, initial, Options{
		IdleTimeout: time.Minute, DialTimeout: waitTimeout, MaxConns: 100, Log: slog.New(slog.DiscardHandler),
		dialContext: dialer.dial,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan bool)
	go func() { p.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return testPool{p, dialer}
}

// stopTimer stops the Pool's timer, so that timers fire only when the test calls fireDueTimers. It
// must be called before the Pool's first call.
func (p testPool) stopTimer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer.stop()
	p.timer.timer = time.AfterFunc(time.Hour, func() {})
}

// newTestCall returns a call whose deadline is wait from now.
func (p testPool) newTestCall(id, class string, wait time.Duration) *Call {
	m := &RequestMessage{
		Method: http.MethodPost, Target: "/c", Host: "api.internal",
		Header: http.Header{platform.RequestIDHeader: {id}},
	}
	return NewCall(balancer.Request{ID: id, Class: class, Deadline: p.Now() + wait}, m)
}

// doAsync executes a call in a new goroutine, and sends its result on the returned channel.
func (p testPool) doAsync(c *Call) <-chan Result {
	result := make(chan Result, 1)
	go func() { result <- p.Do(c) }()
	return result
}

// blockingDialer can delay the return of the next dial after its connection was established.
type blockingDialer struct {
	mu   sync.Mutex
	next *blockedDial // applies to the next dial; nil: do not block it
}

// blockedDial is a dial that sends its connection on connected and then waits until release is
// closed.
type blockedDial struct {
	connected chan net.Conn
	release   chan bool
}

// blockNext makes the next dial wait until release is closed, even if the dial is canceled
// meanwhile.
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
	received map[string][]string // request ids, by endpoint name
}

// newTestEndpoints starts n endpoints, named a, b, and so on. For each request, they call serve
// with the connection and the request's id.
func newTestEndpoints(t *testing.T, n int, serve func(nc net.Conn, id string) bool) *testEndpoints {
	e := &testEndpoints{received: map[string][]string{}}
	for i := range n {
		name := string(rune('a' + i))
		peer := startEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
			id := r.Header.Get(platform.RequestIDHeader)
			e.mu.Lock()
			e.received[name] = append(e.received[name], id)
			e.mu.Unlock()
			return serve(nc, id)
		})
		e.addrs = append(e.addrs, peer.Addr)
		e.peers = append(e.peers, peer)
	}
	return e
}

// receivedBy returns the ids of the requests that an endpoint has received.
func (e *testEndpoints) receivedBy(name string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.received[name])
}

// nameOf returns the name of the endpoint with the given address.
func (e *testEndpoints) nameOf(addr string) string {
	return string(rune('a' + slices.Index(e.addrs, addr)))
}

// respondOK writes a complete response, and reports whether the connection stays open.
func respondOK(nc net.Conn, _ string) bool {
	_, err := io.WriteString(nc, okResponse)
	return err == nil
}
