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
	"rowancart/internal/testpeer"
)

// What tests here use most.
const (
	patience = testpeer.Patience
	served   = testpeer.Served
)

var (
	newEndpoint = testpeer.New
	until       = testpeer.Until
)

// testClasses are the classes of test calls.
var testClasses = []balancer.Class{
	{Name: "safe", LatencyObjective: time.Minute},
	{Name: "unsafe", Idempotency: balancer.NonIdempotent, LatencyObjective: time.Minute},
	{Name: "hedged", LatencyObjective: time.Minute, HedgeAfter: time.Millisecond},
}

// testPool is a Pool that runs, with a dialer that can be held.
type testPool struct {
	*Pool
	dialer *holdingDialer
}

// newTestPool runs a Pool with endpoints at the addresses given, named a, b, ...
func newTestPool(t *testing.T, s balancer.Settings, addrs ...string) testPool {
	t.Helper()
	s.Classes = testClasses
	known := EndpointList{Complete: true}
	for i, addr := range addrs {
		known.Endpoints = append(known.Endpoints, Endpoint{ID: string(rune('a' + i)), Addr: addr})
	}
	dialer := &holdingDialer{}
	p := New(s, known, Options{
		ConnIdle: time.Minute, DialTimeout: patience, MaxConns: 100, Log: slog.New(slog.DiscardHandler),
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
	p.timer.Stop()
	p.timer = time.AfterFunc(time.Hour, func() {})
}

// newTestCall returns a call with a deadline after so long.
func (p testPool) newTestCall(id, class string, wait time.Duration) *Call {
	m := &RequestMessage{
		Method: http.MethodPost, URL: &url.URL{Path: "/c"}, Host: "api.internal", Header: http.Header{"Req-Id": {id}},
	}
	return NewCall(balancer.Request{ID: id, Class: class, Deadline: p.Now() + wait}, m)
}

// doAsync carries out a call and sends its result.
func (p testPool) doAsync(c *Call) <-chan Result {
	result := make(chan Result, 1)
	go func() { result <- p.Do(c) }()
	return result
}

// holdingDialer can hold the next dial once its connection is up.
type holdingDialer struct {
	mu   sync.Mutex
	next *heldDial // nil: nothing is to be held
}

// heldDial is a dial that sends its connection to connected and waits for release to be closed.
type heldDial struct {
	connected chan net.Conn
	release   chan bool
}

// holdNext makes the next dial wait, even if it is canceled meanwhile.
func (d *holdingDialer) holdNext() (connected <-chan net.Conn, release chan<- bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next = &heldDial{make(chan net.Conn, 1), make(chan bool)}
	return d.next.connected, d.next.release
}

func (d *holdingDialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d.mu.Lock()
	held := d.next
	d.next = nil
	d.mu.Unlock()
	var dialer net.Dialer
	if held == nil {
		return dialer.DialContext(ctx, network, addr)
	}
	nc, err := dialer.DialContext(context.WithoutCancel(ctx), network, addr)
	held.connected <- nc
	<-held.release
	return nc, err
}

// testEndpoints are endpoints that record which requests they get.
type testEndpoints struct {
	addrs []string
	peers []*testpeer.Endpoint

	mu       sync.Mutex
	received map[string][]string // request ids by endpoint
}

// newTestEndpoints starts n endpoints that hand each connection with a request to serve.
func newTestEndpoints(t *testing.T, n int, serve func(nc net.Conn, id string) bool) *testEndpoints {
	f := &testEndpoints{received: map[string][]string{}}
	for i := range n {
		name := string(rune('a' + i))
		e := newEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
			id := r.Header.Get("Req-Id")
			f.mu.Lock()
			f.received[name] = append(f.received[name], id)
			f.mu.Unlock()
			return serve(nc, id)
		})
		f.addrs, f.peers = append(f.addrs, e.Addr), append(f.peers, e)
	}
	return f
}

// receivedBy returns the ids of the requests that an endpoint got.
func (f *testEndpoints) receivedBy(name string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.received[name])
}

// nameOf returns an endpoint's name by its address.
func (f *testEndpoints) nameOf(addr string) string {
	return string(rune('a' + slices.Index(f.addrs, addr)))
}

// writeServed writes a complete response.
func writeServed(nc net.Conn, _ string) bool {
	_, err := io.WriteString(nc, served)
	return err == nil
}
