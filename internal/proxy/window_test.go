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

// A retry of an idempotency-keyed call waits for its connection until the window of the key is
// over: not a byte of it may be sent, since the endpoints no longer recognize it.
func TestNoRetryIsWrittenAfterTheKeyWindow(t *testing.T) {
	const window = 400 * time.Millisecond
	var requests atomic.Int32
	var hold func()
	serve := func(conn net.Conn, _ *http.Request, _ int) bool {
		if requests.Add(1) == 1 {
			hold()
			return false // it may have run
		}
		io.WriteString(conn, served)
		return true
	}
	a, b := newEndpoint(t, serve), newEndpoint(t, serve)
	p := newTestPool(t, balancer.Settings{CancelAllowed: true}, a.Addr, b.Addr)
	var connected <-chan net.Conn
	var release chan<- bool
	held := make(chan bool)
	hold = func() {
		connected, release = p.dialer.holdNext()
		close(held)
	}
	p.Configure(balancer.Settings{CancelAllowed: true, Classes: []balancer.Class{{Name: "keyed",
		Idempotency: balancer.IdempotencyKeyed, KeyWindow: window, LatencyObjective: time.Minute}}},
		Options{ConnIdle: time.Minute, DialTimeout: patience, MaxConns: 100})
	began := time.Now()
	result := p.doAsync(p.newTestCall("r", "keyed", patience))
	<-held
	<-connected
	time.Sleep(time.Until(began.Add(2 * window))) // the connection comes up late
	close(release)
	if r := <-result; r.Kind == Served || requests.Load() != 1 {
		t.Errorf("%d requests, result %+v", requests.Load(), r)
	}
}
