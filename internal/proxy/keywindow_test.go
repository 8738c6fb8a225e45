package proxy

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"rowancart/balancer"
)

// No byte of a retry with an idempotency key may be sent after the key's window, when endpoints no
// longer recognize the key. Here the connection for the retry is established only after the window
// has ended.
func TestNoRetryIsWrittenAfterTheKeyWindow(t *testing.T) {
	const window = 400 * time.Millisecond
	var requests atomic.Int32
	var blockNextDial func()
	serve := func(conn net.Conn, _ *http.Request, _ int) bool {
		if requests.Add(1) == 1 {
			blockNextDial()
			return false // the request may have run
		}
		io.WriteString(conn, okResponse)
		return true
	}
	a, b := startEndpoint(t, serve), startEndpoint(t, serve)
	p := newTestPool(t, balancer.Settings{CancelAllowed: true}, a.Addr, b.Addr)
	var connected <-chan net.Conn
	var release chan<- bool
	blocked := make(chan bool)
	blockNextDial = func() {
		connected, release = p.dialer.blockNext()
		close(blocked)
	}
	p.Configure(balancer.Settings{CancelAllowed: true, Classes: []balancer.Class{{Name: "keyed",
		Idempotency: balancer.IdempotencyKeyed, KeyWindow: window, LatencyObjective: time.Minute}}},
		Options{IdleTimeout: time.Minute, DialTimeout: waitTimeout, MaxConns: 100})
	start := time.Now()
	result := p.doAsync(p.newTestCall("r", "keyed", waitTimeout))
	<-blocked
	<-connected
	time.Sleep(time.Until(start.Add(2 * window))) // the dial ends after the window
	close(release)
	if r := <-result; r.Kind == Served || requests.Load() != 1 {
		t.Errorf("endpoints received %d requests, result is %+v; want 1 request and no response", requests.Load(), r)
	}
}
