package connpool

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

func TestDeadIdleConnIsNotReused(t *testing.T) {
	for name, extra := range map[string]string{"closed": "", "bytes without a request": "x"} {
		t.Run(name, func(t *testing.T) {
			responseRead := make(chan bool, 1)
			e := startEndpoint(t, func(nc net.Conn, _ *http.Request, n int) bool {
				io.WriteString(nc, okResponse)
				if n == 1 {
					<-responseRead
					io.WriteString(nc, extra)
				}
				return n > 1
			})
			p := newTestPool(t, e.Addr)
			if r := getOnce(t, p); r != succeeded {
				t.Fatalf("first: %v", r)
			}
			responseRead <- true
			waitUntil(t, name, func() bool {
				idle := p.endpoints["a"].idle
				return len(idle) == 0 || idle[0].hasPendingInput()
			})
			if r := getOnce(t, p); r != succeeded {
				t.Errorf("second: %v", r)
			}
			if c := e.Connections.Load(); c != 2 {
				t.Errorf("%d connections, want 2", c)
			}
		})
	}
}

func TestConnsAreReusedAndRetired(t *testing.T) {
	e := startEndpoint(t, respondWith(okResponse, keepConn))
	other := startEndpoint(t, respondWith(okResponse, keepConn))
	p := newTestPool(t, e.Addr)
	getOn := func(want int32) {
		t.Helper()
		if r := getOnce(t, p); r != succeeded {
			t.Fatalf("outcome %v", r)
		}
		if c := e.Connections.Load(); c != want {
			t.Errorf("%d connections, want %d", c, want)
		}
	}
	getOn(1)
	getOn(1)
	p.endpoints["a"].idle[0].idleSince = time.Now().Add(-p.idlePolicy.maxIdle) // the endpoint may close it at any moment
	getOn(2)
	p.SetEndpoint("a", other.Addr, true) // moved: the old connection leads elsewhere
	getOn(2)
	if c := other.Connections.Load(); c != 1 || p.openConns != 1 {
		t.Errorf("%d connections to the new address, %d open", c, p.openConns)
	}
	p.SetEndpoint("a", other.Addr, false)
	if p.openConns != 0 {
		t.Errorf("%d connections to an endpoint that drains", p.openConns)
	}
}

// Endpoints with a configured timeout of 30 s have been seen to close idle connections after 0.25
// to 0.6 s: one in ten of the requests sent on connections that were idle for nearly that long
// crossed the close.
func TestEarlyCloseShortensIdleMaximum(t *testing.T) {
	closeNow := make(chan bool)
	e := startEndpoint(t, func(nc net.Conn, _ *http.Request, n int) bool {
		io.WriteString(nc, okResponse)
		if n == 1 {
			<-closeNow
		}
		return n != 1
	})
	p := newTestPool(t, e.Addr)
	send := func() {
		t.Helper()
		if r := getOnce(t, p); r != succeeded {
			t.Fatal(r)
		}
	}
	idle := func() *conn { return p.endpoints["a"].idle[0] }
	send()
	close(closeNow)
	waitUntil(t, "the close arrives", func() bool { return idle().hasPendingInput() })
	idle().idleSince = time.Now().Add(-time.Second)
	p.closeUnusableIdle(time.Now())
	if p.openConns != 0 {
		t.Errorf("%d connections are open after the close", p.openConns)
	}
	send()
	for idleFor, want := range map[time.Duration]bool{400 * time.Millisecond: true, 700 * time.Millisecond: false} {
		now := idle().idleSince.Add(idleFor)
		if got := p.usableLocked(idle(), now); got != want {
			t.Errorf("idle for %v, after a close at 1 s: usable %v", idleFor, got)
		}
	}
}

func TestOldestIdleConnIsEvictedForNewConn(t *testing.T) {
	a := startEndpoint(t, respondWith(okResponse, keepConn))
	b := startEndpoint(t, respondWith(okResponse, keepConn))
	p := newTestPool(t, a.Addr, b.Addr)
	p.maxConns = 1
	for _, id := range []string{"a", "b", "a"} {
		if r, _ := roundTrip(t, p, attemptWithin(waitTimeout), id, newRequest("/c")); r != succeeded {
			t.Errorf("%s: %v", id, r)
		}
		if p.openConns != 1 {
			t.Errorf("%d open", p.openConns)
		}
	}
}

// Two processes of a handover divide the limit: each closes idle connections beyond its part.
func TestSetMaxConnsClosesIdleConns(t *testing.T) {
	e := startEndpoint(t, respondWith(okResponse, keepConn))
	p := newTestPool(t, e.Addr)
	inUse := make([]*conn, 0, 6)
	for range 6 {
		c, err := p.acquireConn(attemptWithin(waitTimeout), "a")
		if err != nil {
			t.Fatal(err)
		}
		inUse = append(inUse, c)
	}
	for _, c := range inUse[:4] {
		p.releaseConn(c)
	}
	p.SetMaxConns(3)
	if open := p.Counts().Open; open != 3 {
		t.Errorf("%d are open", open)
	}
	p.SetMaxConns(1)
	for _, c := range inUse[4:] {
		p.releaseConn(c)
	}
	if idle, _ := p.EndpointStatus("a"); idle != 1 {
		t.Errorf("%d are idle", idle)
	}
}

// A close right after a response says nothing about how long endpoints keep idle connections open.
func TestCloseRightAfterResponseKeepsIdleMaximum(t *testing.T) {
	e := startEndpoint(t, respondWith(okResponse, closeConn))
	p := newTestPool(t, e.Addr)
	if r := getOnce(t, p); r != succeeded {
		t.Fatal(r)
	}
	c := p.endpoints["a"].idle[0]
	waitUntil(t, "the close arrives", c.hasPendingInput)
	before := p.idlePolicy.maxIdle
	if p.usableLocked(c, c.idleSince.Add(sweepInterval)) || p.idlePolicy.maxIdle != before {
		t.Errorf("connections are reused for %v, want %v", p.idlePolicy.maxIdle, before)
	}
}
