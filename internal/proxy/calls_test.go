package proxy

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"rowancart/balancer"
)

// An endpoint is taken out, in whatever way, between the Balancer's choice and the first byte: not
// a byte goes there, and the request, idempotent or not, is served by another endpoint.
func TestRemovedEndpointGetsNoPendingAttempt(t *testing.T) {
	for name, happens := range map[string]func(p *Pool, id, addr string){
		"disabled": func(p *Pool, id, _ string) { p.Disable(id) },
		"draining": func(p *Pool, id, addr string) {
			p.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{{ID: id, Addr: addr, State: balancer.Draining}}})
		},
		"gone": func(p *Pool, id, addr string) {
			p.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{{ID: id, Addr: addr, State: balancer.Removed}}})
		},
	} {
		for _, class := range []string{"safe", "unsafe"} {
			t.Run(name+" "+class, func(t *testing.T) {
				f := newTestEndpoints(t, 2, writeServed)
				p := newTestPool(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
				dialed, release := p.dialer.holdNext()
				result := p.doAsync(p.newTestCall("r1", class, patience))
				addr := (<-dialed).RemoteAddr().String()
				happens(p.Pool, f.nameOf(addr), addr)
				close(release)
				if r := <-result; r.Kind != Served {
					t.Errorf("result %+v", r)
				}
				if got := f.receivedBy(f.nameOf(addr)); len(got) > 0 {
					t.Errorf("the endpoint got %v", got)
				}
			})
		}
	}
}

// startMsAfterNow returns a start time, in Unix milliseconds, after all that has happened and
// before all that is to come.
func startMsAfterNow(t *testing.T) int64 {
	t.Helper()
	ms := time.Now().UnixMilli() + 1
	until(t, "that moment has come", func() bool { return time.Now().UnixMilli() > ms })
	return ms
}

// An endpoint that has restarted has nobody at the other end of the connections from before. No
// close need have been received, where its machine vanished: what is sent there is lost.
func TestConnsFromBeforeRestartAreNotReused(t *testing.T) {
	var restarted atomic.Bool
	f := newTestEndpoints(t, 1, func(nc net.Conn, id string) bool {
		if id == "new" && !restarted.Load() {
			return true // it was the old process's connection
		}
		return writeServed(nc, id)
	})
	p := newTestPool(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
	if r := <-p.doAsync(p.newTestCall("old", "unsafe", patience)); r.Kind != Served {
		t.Fatalf("result %+v", r)
	}
	listed := Endpoint{ID: "a", Addr: f.addrs[0]}
	p.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{listed}}) // nothing new
	if s := p.Stats(); s.Connections != 1 {
		t.Errorf("%d connections are left after a list that says nothing new", s.Connections)
	}
	listed.StartedMs = startMsAfterNow(t)
	p.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{listed}})
	if s := p.Stats(); s.Connections != 0 {
		t.Errorf("%d connections are left after the restart", s.Connections)
	}
	restarted.Store(true)
	if r := <-p.doAsync(p.newTestCall("new", "unsafe", patience)); r.Kind != Served || f.peers[0].Connections.Load() != 2 {
		t.Errorf("result %+v on %d connections", r, f.peers[0].Connections.Load())
	}
	p.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{listed}}) // connections to the listed process stay
	if s := p.Stats(); s.Connections != 1 {
		t.Errorf("%d connections are left that came up after the start", s.Connections)
	}
}

// Discovery whose clock is ahead lists a start in the future: the endpoint is used, and its
// connections are kept.
func TestFutureStartTimeDoesNotBlockEndpoint(t *testing.T) {
	f := newTestEndpoints(t, 1, writeServed)
	p := newTestPool(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
	inOneHour := time.Now().Add(time.Hour).UnixMilli()
	listed := EndpointList{Endpoints: []Endpoint{{ID: "a", Addr: f.addrs[0], StartedMs: inOneHour}}}
	for _, id := range []string{"r1", "r2"} {
		p.UpdateEndpoints(listed)
		if r := <-p.doAsync(p.newTestCall(id, "unsafe", patience)); r.Kind != Served {
			t.Errorf("result %+v", r)
		}
	}
	if n := f.peers[0].Connections.Load(); n != 1 {
		t.Errorf("%d connections were opened", n)
	}
}

// A connection that carries an attempt while its endpoint restarts is not kept for another one.
func TestConnFromBeforeRestartIsNotReturnedToPool(t *testing.T) {
	received, release := make(chan bool), make(chan bool)
	f := newTestEndpoints(t, 1, func(nc net.Conn, id string) bool {
		received <- true
		<-release
		return writeServed(nc, id)
	})
	p := newTestPool(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
	result := p.doAsync(p.newTestCall("r1", "safe", patience))
	<-received
	p.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{{ID: "a", Addr: f.addrs[0], StartedMs: startMsAfterNow(t)}}})
	close(release)
	if r := <-result; r.Kind != Served {
		t.Errorf("result %+v", r)
	}
	until(t, "the connection is closed", func() bool { return p.Stats().Connections == 0 })
}

// The deadline passes and the response arrives at the same time: whichever is handled first
// decides, once, and the other one changes nothing.
func TestDeadlineAndResponseAtSameTime(t *testing.T) {
	for _, cancelAllowed := range []bool{true, false} {
		for _, responseFirst := range []bool{true, false} {
			for class, timedOut := range map[string]ResultKind{"safe": Rejected, "unsafe": Failed} {
				received, release := make(chan bool, 1), make(chan bool)
				f := newTestEndpoints(t, 1, func(nc net.Conn, id string) bool {
					received <- true
					<-release
					return writeServed(nc, id)
				})
				// The Balancer gives up one resolution ahead of the deadline, the attempt at the deadline.
				p := newTestPool(t, balancer.Settings{CancelAllowed: cancelAllowed, Resolution: patience}, f.addrs...)
				p.stopTimer()
				due := p.Now() + 50*time.Millisecond
				result := p.doAsync(p.newTestCall("r1", class, due+patience-p.Now()))
				<-received
				until(t, "the deadline has passed", func() bool { return p.Now() > due })
				want := timedOut
				if responseFirst {
					want = Served
					close(release)
				} else {
					p.handleEvent(p.fireDueTimers)
				}
				if r := <-result; r.Kind != want {
					t.Errorf("cancel allowed %v, response first %v: result %+v", cancelAllowed, responseFirst, r)
				}
				if responseFirst {
					p.handleEvent(p.fireDueTimers)
				} else {
					close(release)
				}
				until(t, "nothing is in flight", func() bool { return p.Stats().Calls == 0 })
				if n := f.peers[0].Requests.Load(); n != 1 {
					t.Errorf("it was sent %d times", n)
				}
			}
		}
	}
}

// A hedged request is due when its client has disconnected, or its client disconnects while the
// connection is dialed: none is sent. A client that stays gets it.
func TestNoHedgedRequestForDisconnectedClient(t *testing.T) {
	for name, row := range map[string]struct{ leftBefore, leftDuring bool }{
		"stays":                                 {},
		"leaves before it is due":               {leftBefore: true},
		"leaves while its connection is dialed": {leftDuring: true},
	} {
		t.Run(name, func(t *testing.T) {
			received, release := make(chan bool, 2), make(chan bool)
			f := newTestEndpoints(t, 2, func(nc net.Conn, id string) bool {
				received <- true
				<-release
				return writeServed(nc, id)
			})
			p := newTestPool(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
			p.stopTimer()
			c := p.newTestCall("r1", "hedged", time.Minute)
			var left atomic.Bool
			c.ClientGone = left.Load
			result := p.doAsync(c)
			<-received
			dialed, releaseDial := p.dialer.holdNext()
			if row.leftBefore {
				left.Store(true)
				p.ClientLeft(c)
			}
			due := p.Now() + 2*time.Millisecond
			until(t, "the hedged request is due", func() bool { return p.Now() > due })
			p.handleEvent(p.fireDueTimers)
			if !row.leftBefore {
				<-dialed
			}
			if row.leftDuring {
				left.Store(true)
			}
			close(releaseDial)
			want := int32(1)
			if name == "stays" {
				<-received
				want = 2
			}
			until(t, "no dial is in progress", func() bool { return p.Stats().Connections <= int(want) })
			close(release)
			<-result
			until(t, "nothing is in flight", func() bool { return p.Stats().Calls == 0 })
			if n := f.peers[0].Requests.Load() + f.peers[1].Requests.Load(); n != want {
				t.Errorf("%d attempts were received", n)
			}
		})
	}
}

// The client disconnects when its attempt has been handed to the goroutine in Do, which has not
// taken it yet.
func TestAttemptHandedOverToDisconnectedClientIsNotSent(t *testing.T) {
	f := newTestEndpoints(t, 1, writeServed)
	p := newTestPool(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
	c := p.newTestCall("r1", "unsafe", patience)
	p.handleEvent(func(now time.Duration) { p.startCall(now, c) })
	if len(c.inlineAttempts) != 1 {
		t.Fatal("no attempt was handed over")
	}
	p.ClientLeft(c)
	if r := <-c.results; r.Kind != Failed {
		t.Errorf("result %+v", r)
	}
	p.runAbandonedAttempt(c)
	until(t, "nothing is in flight", func() bool { return p.Stats().Calls == 0 })
	if n, open := f.peers[0].Requests.Load(), p.Stats().Connections; n != 0 || open != 0 {
		t.Errorf("%d requests were received, %d connections are open", n, open)
	}
}
