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

// An endpoint is disabled, drains or is removed between the Balancer's choice and the first byte:
// not a byte is sent there, and the request, idempotent or not, is served by another endpoint.
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
				f := newTestEndpoints(t, 2, respondOK)
				p := newTestPool(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
				dialed, release := p.dialer.blockNext()
				result := p.doAsync(p.newTestCall("r1", class, waitTimeout))
				addr := (<-dialed).RemoteAddr().String()
				change(p.Pool, f.nameOf(addr), addr)
				close(release)
				if r := <-result; r.Kind != Served {
					t.Errorf("result %+v", r)
				}
				if got := f.receivedBy(f.nameOf(addr)); len(got) > 0 {
					t.Errorf("the endpoint received %v", got)
				}
			})
		}
	}
}

// startMsAfterNow returns a start time, in Unix milliseconds, that is later than the time of its
// call and earlier than the time of its return.
func startMsAfterNow(t *testing.T) int64 {
	t.Helper()
	ms := time.Now().UnixMilli() + 1
	waitUntil(t, "the start time has passed", func() bool { return time.Now().UnixMilli() > ms })
	return ms
}

// Connections from before an endpoint's restart have no process at the other end. If its machine
// failed, no close was received, and what is sent on them is lost.
func TestConnsFromBeforeRestartAreNotReused(t *testing.T) {
	var restarted atomic.Bool
	f := newTestEndpoints(t, 1, func(nc net.Conn, id string) bool {
		if id == "new" && !restarted.Load() {
			return true // the connection of the old process
		}
		return respondOK(nc, id)
	})
	p := newTestPool(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
	if r := <-p.doAsync(p.newTestCall("old", "non-idempotent", waitTimeout)); r.Kind != Served {
		t.Fatalf("result %+v", r)
	}
	listed := Endpoint{ID: "a", Addr: f.addrs[0]}
	p.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{listed}}) // unchanged
	if s := p.Stats(); s.Connections != 1 {
		t.Errorf("%d connections are open after an unchanged list", s.Connections)
	}
	listed.StartedMs = startMsAfterNow(t)
	p.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{listed}})
	if s := p.Stats(); s.Connections != 0 {
		t.Errorf("%d connections are open after the restart", s.Connections)
	}
	restarted.Store(true)
	r := <-p.doAsync(p.newTestCall("new", "non-idempotent", waitTimeout))
	if n := f.peers[0].Connections.Load(); r.Kind != Served || n != 2 {
		t.Errorf("result %+v on %d connections", r, n)
	}
	p.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{listed}}) // connections to the listed process stay open
	if s := p.Stats(); s.Connections != 1 {
		t.Errorf("%d connections are open that were established after the start", s.Connections)
	}
}

// Discovery whose clock is ahead lists a start in the future: the endpoint is used, and its
// connections are kept.
func TestFutureStartTimeDoesNotBlockEndpoint(t *testing.T) {
	f := newTestEndpoints(t, 1, respondOK)
	p := newTestPool(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
	inOneHour := time.Now().Add(time.Hour).UnixMilli()
	listed := EndpointList{Endpoints: []Endpoint{{ID: "a", Addr: f.addrs[0], StartedMs: inOneHour}}}
	for _, id := range []string{"r1", "r2"} {
		p.UpdateEndpoints(listed)
		if r := <-p.doAsync(p.newTestCall(id, "non-idempotent", waitTimeout)); r.Kind != Served {
			t.Errorf("result %+v", r)
		}
	}
	if n := f.peers[0].Connections.Load(); n != 1 {
		t.Errorf("%d connections were opened", n)
	}
}

// A connection that carries an attempt while its endpoint restarts is not reused for another one.
func TestConnFromBeforeRestartIsNotReturnedToPool(t *testing.T) {
	received, release := make(chan bool), make(chan bool)
	f := newTestEndpoints(t, 1, func(nc net.Conn, id string) bool {
		received <- true
		<-release
		return respondOK(nc, id)
	})
	p := newTestPool(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
	result := p.doAsync(p.newTestCall("r1", "idempotent", waitTimeout))
	<-received
	p.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{{ID: "a", Addr: f.addrs[0], StartedMs: startMsAfterNow(t)}}})
	close(release)
	if r := <-result; r.Kind != Served {
		t.Errorf("result %+v", r)
	}
	waitUntil(t, "the connection is closed", func() bool { return p.Stats().Connections == 0 })
}

// The deadline passes and the response arrives at the same time: the first to be handled decides
// the one result, and the other changes nothing.
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

// callPastDeadline is a call whose deadline has passed for the Balancer, with an attempt in flight.
type callPastDeadline struct {
	pool     testPool
	endpoint *testpeer.FakeEndpoint
	result   <-chan Result
	respond  chan bool // closed to let the endpoint respond
}

// newCallPastDeadline starts a call. Its Pool's timer has not fired.
func newCallPastDeadline(t *testing.T, s balancer.Settings, class string) callPastDeadline {
	t.Helper()
	received, respond := make(chan bool, 1), make(chan bool)
	f := newTestEndpoints(t, 1, func(nc net.Conn, id string) bool {
		received <- true
		<-respond
		return respondOK(nc, id)
	})
	// The Balancer times out one resolution before the deadline, the attempt at the deadline.
	p := newTestPool(t, s, f.addrs...)
	p.stopTimer()
	due := p.Now() + 50*time.Millisecond
	result := p.doAsync(p.newTestCall("r1", class, due+s.Resolution-p.Now()))
	<-received
	waitUntil(t, "the deadline has passed", func() bool { return p.Now() > due })
	return callPastDeadline{pool: p, endpoint: f.peers[0], result: result, respond: respond}
}

// expectResult checks the result of the call.
func (c callPastDeadline) expectResult(t *testing.T, want ResultKind) {
	t.Helper()
	if r := <-c.result; r.Kind != want {
		t.Errorf("result %+v, want kind %v", r, want)
	}
}

// expectEnd checks that the call ends after one attempt.
func (c callPastDeadline) expectEnd(t *testing.T) {
	t.Helper()
	waitUntil(t, "nothing is in flight", func() bool { return c.pool.Stats().Calls == 0 })
	if n := c.endpoint.Requests.Load(); n != 1 {
		t.Errorf("the request was received %d times", n)
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

// A hedged request becomes due after its client has disconnected, or its client disconnects while
// the connection is dialed: it is not sent. With the client still connected, it is.
func TestNoHedgedRequestForDisconnectedClient(t *testing.T) {
	for name, row := range map[string]struct{ disconnectsBefore, disconnectsDuring bool }{
		"stays connected":                            {},
		"disconnects before it is due":               {disconnectsBefore: true},
		"disconnects while its connection is dialed": {disconnectsDuring: true},
	} {
		t.Run(name, func(t *testing.T) {
			received, release := make(chan bool, 2), make(chan bool)
			f := newTestEndpoints(t, 2, func(nc net.Conn, id string) bool {
				received <- true
				<-release
				return respondOK(nc, id)
			})
			p := newTestPool(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
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
			if n := f.peers[0].Requests.Load() + f.peers[1].Requests.Load(); n != want {
				t.Errorf("%d requests were received", n)
			}
		})
	}
}

// The client disconnects after its attempt was passed to the goroutine in Do and before that
// goroutine has received it.
func TestPendingAttemptOfDisconnectedClientIsNotSent(t *testing.T) {
	f := newTestEndpoints(t, 1, respondOK)
	p := newTestPool(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
	c := p.newTestCall("r1", "non-idempotent", waitTimeout)
	p.handleEvent(func(now time.Duration) { p.startCall(now, c) })
	if len(c.inlineAttempts) != 1 {
		t.Fatal("no attempt was passed to Do")
	}
	p.ClientDisconnected(c)
	if r := <-c.results; r.Kind != Failed {
		t.Errorf("result %+v", r)
	}
	p.runAbandonedAttempt(c)
	waitUntil(t, "nothing is in flight", func() bool { return p.Stats().Calls == 0 })
	if n, open := f.peers[0].Requests.Load(), p.Stats().Connections; n != 0 || open != 0 {
		t.Errorf("%d requests were received, %d connections are open", n, open)
	}
}
