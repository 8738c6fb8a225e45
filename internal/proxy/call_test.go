package proxy

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"rowancart/balancer"
	"rowancart/internal/testpeer"
)

// An endpoint is disabled, starts draining or is removed after the Balancer has chosen it and
// before the first byte of the request is sent. Nothing may be sent to it, and another endpoint
// must serve the request, whether it is idempotent or not.
func TestRemovedEndpointGetsNoPendingAttempt(t *testing.T) {
	for name, change := range map[string]func(p *Pool, id, addr string){
		"disabled": func(p *Pool, id, _ string) { p.Disable(id) },
		"draining": func(p *Pool, id, addr string) {
			p.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{{ID: id, Addr: addr, State: balancer.Draining}}})
		},
		"removed": func(p *Pool, id, addr string) {
			p.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{{ID: id, Addr: addr, State: balancer.Removed}}})
		},
	} {
		for _, class := range []string{"idempotent", "non-idempotent"} {
			t.Run(name+" "+class, func(t *testing.T) {
				endpoints := newTestEndpoints(t, 2, respondOK)
				p := newTestPool(t, balancer.Settings{CancelAllowed: true}, endpoints.addrs...)
				dialed, release := p.dialer.blockNext()
				result := p.doAsync(p.newTestCall("r1", class, waitTimeout))
				addr := (<-dialed).RemoteAddr().String()
				change(p.Pool, endpoints.nameOf(addr), addr)
				close(release)
				if r := <-result; r.Kind != Served {
					t.Errorf("got result %+v, want kind Served", r)
				}
				if got := endpoints.receivedBy(endpoints.nameOf(addr)); len(got) > 0 {
					t.Errorf("the endpoint received requests %v, want none", got)
				}
			})
		}
	}
}

// startMsAfterNow returns a start time in Unix milliseconds. It is later than the time at which the
// function was called and earlier than the time at which it returned.
func startMsAfterNow(t *testing.T) int64 {
	t.Helper()
	ms := time.Now().UnixMilli() + 1
	waitUntil(t, "the start time has passed", func() bool { return time.Now().UnixMilli() > ms })
	return ms
}

// A connection from before an endpoint's restart has no process at the other end. If the machine
// failed, this side received no close, and a request that is sent on the connection is lost.
func TestConnsFromBeforeRestartAreNotReused(t *testing.T) {
	var restarted atomic.Bool
	endpoints := newTestEndpoints(t, 1, func(nc net.Conn, id string) bool {
		if id == "new" && !restarted.Load() {
			return true // the connection belongs to the old process, which does not respond any more
		}
		return respondOK(nc, id)
	})
	p := newTestPool(t, balancer.Settings{CancelAllowed: true}, endpoints.addrs...)
	if r := <-p.doAsync(p.newTestCall("old", "non-idempotent", waitTimeout)); r.Kind != Served {
		t.Fatalf("got result %+v, want kind Served", r)
	}
	listed := Endpoint{ID: "a", Addr: endpoints.addrs[0]}
	p.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{listed}}) // no change
	if s := p.Stats(); s.Connections != 1 {
		t.Errorf("%d connections are open after an unchanged list, want 1", s.Connections)
	}
	listed.StartedMs = startMsAfterNow(t)
	p.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{listed}})
	if s := p.Stats(); s.Connections != 0 {
		t.Errorf("%d connections are open after the restart, want 0", s.Connections)
	}
	restarted.Store(true)
	r := <-p.doAsync(p.newTestCall("new", "non-idempotent", waitTimeout))
	if n := endpoints.peers[0].Connections.Load(); r.Kind != Served || n != 2 {
		t.Errorf("got result %+v and %d accepted connections, want kind Served and 2 connections", r, n)
	}
	p.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{listed}}) // connections from after the listed start stay open
	if s := p.Stats(); s.Connections != 1 {
		t.Errorf("%d connections from after the start are open, want 1", s.Connections)
	}
}

// If the clock of discovery is ahead, it may list a start time in the future. The endpoint must
// be used nevertheless, and its connections must be kept.
func TestFutureStartTimeDoesNotBlockEndpoint(t *testing.T) {
	endpoints := newTestEndpoints(t, 1, respondOK)
	p := newTestPool(t, balancer.Settings{CancelAllowed: true}, endpoints.addrs...)
	inOneHour := time.Now().Add(time.Hour).UnixMilli()
	listed := EndpointList{Endpoints: []Endpoint{{ID: "a", Addr: endpoints.addrs[0], StartedMs: inOneHour}}}
	for _, id := range []string{"r1", "r2"} {
		p.UpdateEndpoints(listed)
		if r := <-p.doAsync(p.newTestCall(id, "non-idempotent", waitTimeout)); r.Kind != Served {
			t.Errorf("got result %+v, want kind Served", r)
		}
	}
	if n := endpoints.peers[0].Connections.Load(); n != 1 {
		t.Errorf("%d connections were opened, want 1", n)
	}
}

// A connection that carries an attempt while its endpoint restarts must not be reused for another
// attempt.
func TestConnFromBeforeRestartIsNotReturnedToPool(t *testing.T) {
	received, release := make(chan bool), make(chan bool)
	endpoints := newTestEndpoints(t, 1, func(nc net.Conn, id string) bool {
		received <- true
		<-release
		return respondOK(nc, id)
	})
	p := newTestPool(t, balancer.Settings{CancelAllowed: true}, endpoints.addrs...)
	result := p.doAsync(p.newTestCall("r1", "idempotent", waitTimeout))
	<-received
	p.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{
		{ID: "a", Addr: endpoints.addrs[0], StartedMs: startMsAfterNow(t)},
	}})
	close(release)
	if r := <-result; r.Kind != Served {
		t.Errorf("got result %+v, want kind Served", r)
	}
	waitUntil(t, "the connection is closed", func() bool { return p.Stats().Connections == 0 })
}

// If the deadline passes and the response arrives at the same time, the event that is handled first
// determines the result, and the other one changes nothing.
func TestDeadlineAndResponseAtSameTime(t *testing.T) {
	for _, cancelAllowed := range []bool{true, false} {
		for _, responseFirst := range []bool{true, false} {
			for class, timedOut := range map[string]ResultKind{"idempotent": Rejected, "non-idempotent": Failed} {
				name := fmt.Sprintf("%s, cancel allowed %v, response first %v", class, cancelAllowed, responseFirst)
				t.Run(name, func(t *testing.T) {
					settings := balancer.Settings{CancelAllowed: cancelAllowed, Resolution: waitTimeout}
					if responseFirst {
						testResponseBeforeDeadline(t, settings, class)
					} else {
						testDeadlineBeforeResponse(t, settings, class, timedOut)
					}
				})
			}
		}
	}
}

// callPastDeadline is a call that the Balancer will time out at the next Timer event. Its attempt
// is still in flight.
type callPastDeadline struct {
	pool     testPool
	endpoint *testpeer.FakeEndpoint
	result   <-chan Result
	respond  chan bool // the endpoint responds once this is closed
}

// newCallPastDeadline starts a call and waits until the Balancer's time-out for it is due. The
// Pool's timer is stopped; the test calls fireDueTimers instead.
func newCallPastDeadline(t *testing.T, s balancer.Settings, class string) callPastDeadline {
	t.Helper()
	received, respond := make(chan bool, 1), make(chan bool)
	endpoints := newTestEndpoints(t, 1, func(nc net.Conn, id string) bool {
		received <- true
		<-respond
		return respondOK(nc, id)
	})
	// The Balancer times the call out one Resolution before its deadline. The attempt itself times
	// out at the deadline.
	p := newTestPool(t, s, endpoints.addrs...)
	p.stopTimer()
	due := p.Now() + 50*time.Millisecond
	result := p.doAsync(p.newTestCall("r1", class, due+s.Resolution-p.Now()))
	<-received
	waitUntil(t, "the deadline has passed", func() bool { return p.Now() > due })
	return callPastDeadline{pool: p, endpoint: endpoints.peers[0], result: result, respond: respond}
}

// expectResult checks the result of the call.
func (c callPastDeadline) expectResult(t *testing.T, want ResultKind) {
	t.Helper()
	if r := <-c.result; r.Kind != want {
		t.Errorf("got result %+v, want kind %v", r, want)
	}
}

// expectEnd checks that the call ends, and that there was only one attempt.
func (c callPastDeadline) expectEnd(t *testing.T) {
	t.Helper()
	waitUntil(t, "nothing is in flight", func() bool { return c.pool.Stats().Calls == 0 })
	if n := c.endpoint.Requests.Load(); n != 1 {
		t.Errorf("the request was received %d times, want once", n)
	}
}

func testResponseBeforeDeadline(t *testing.T, s balancer.Settings, class string) {
	c := newCallPastDeadline(t, s, class)
	close(c.respond)
	c.expectResult(t, Served)
	c.pool.handleEvent(c.pool.fireDueTimers)
	c.expectEnd(t)
}

func testDeadlineBeforeResponse(t *testing.T, s balancer.Settings, class string, timedOut ResultKind) {
	c := newCallPastDeadline(t, s, class)
	c.pool.handleEvent(c.pool.fireDueTimers)
	c.expectResult(t, timedOut)
	close(c.respond)
	c.expectEnd(t)
}

// A hedged request must not be sent if the client disconnects before the request is due or while
// its connection is dialed. It must be sent if the client stays connected.
func TestNoHedgedRequestForDisconnectedClient(t *testing.T) {
	for name, row := range map[string]struct{ disconnectsBefore, disconnectsDuring bool }{
		"stays connected":                            {},
		"disconnects before it is due":               {disconnectsBefore: true},
		"disconnects while its connection is dialed": {disconnectsDuring: true},
	} {
		t.Run(name, func(t *testing.T) {
			received, release := make(chan bool, 2), make(chan bool)
			endpoints := newTestEndpoints(t, 2, func(nc net.Conn, id string) bool {
				received <- true
				<-release
				return respondOK(nc, id)
			})
			p := newTestPool(t, balancer.Settings{CancelAllowed: true}, endpoints.addrs...)
			p.stopTimer()
			c := p.newTestCall("r1", "hedged", time.Minute)
			var disconnected atomic.Bool
			c.ClientDisconnected = disconnected.Load
			result := p.doAsync(c)
			<-received
			dialed, releaseDial := p.dialer.blockNext()
			if row.disconnectsBefore {
				disconnected.Store(true)
				p.ClientDisconnected(c)
			}
			due := p.Now() + 2*time.Millisecond
			waitUntil(t, "the hedged request is due", func() bool { return p.Now() > due })
			p.handleEvent(p.fireDueTimers)
			if !row.disconnectsBefore {
				<-dialed
			}
			if row.disconnectsDuring {
				disconnected.Store(true)
			}
			close(releaseDial)
			want := int32(1)
			if name == "stays connected" {
				<-received
				want = 2
			}
			waitUntil(t, "no dial is in progress", func() bool { return p.Stats().Connections <= int(want) })
			close(release)
			<-result
			waitUntil(t, "nothing is in flight", func() bool { return p.Stats().Calls == 0 })
			if n := endpoints.peers[0].Requests.Load() + endpoints.peers[1].Requests.Load(); n != want {
				t.Errorf("%d requests were received", n)
			}
		})
	}
}

// An attempt must not be sent if the client disconnects after the attempt was passed to the
// goroutine in Do and before that goroutine has received it.
func TestPendingAttemptOfDisconnectedClientIsNotSent(t *testing.T) {
	endpoints := newTestEndpoints(t, 1, respondOK)
	p := newTestPool(t, balancer.Settings{CancelAllowed: true}, endpoints.addrs...)
	c := p.newTestCall("r1", "non-idempotent", waitTimeout)
	p.handleEvent(func(now time.Duration) { p.startCall(now, c) })
	if len(c.inlineAttempts) != 1 {
		t.Fatal("no attempt was passed to the goroutine in Do")
	}
	p.ClientDisconnected(c)
	if r := <-c.results; r.Kind != Failed {
		t.Errorf("got result %+v, want kind Failed", r)
	}
	p.runAbandonedAttempt(c)
	waitUntil(t, "nothing is in flight", func() bool { return p.Stats().Calls == 0 })
	if n, open := endpoints.peers[0].Requests.Load(), p.Stats().Connections; n != 0 || open != 0 {
		t.Errorf("%d requests were received and %d connections are open, want 0 and 0", n, open)
	}
}
