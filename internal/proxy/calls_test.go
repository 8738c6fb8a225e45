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
	"sync/atomic"
	"testing"
	"time"

	"rowancart/balancer"
	"rowancart/internal/testpeer"
)

// testClasses are what test calls are of.
var testClasses = []balancer.Class{{Name: "safe", LatencyObjective: time.Minute}, {Name: "unsafe", Repeat: balancer.NonIdempotent, LatencyObjective: time.Minute},
	{Name: "copied", LatencyObjective: time.Minute, HedgeAfter: time.Millisecond}}

// newTestPool runs an engine before the endpoints given, named a, b, ...
func newTestPool(t *testing.T, s balancer.Settings, addrs ...string) *Pool {
	t.Helper()
	s.Classes = testClasses
	known := EndpointList{Complete: true}
	for i, addr := range addrs {
		known.Endpoints = append(known.Endpoints, Endpoint{ID: string(rune('a' + i)), Addr: addr})
	}
	e := New(s, known, Options{ConnIdle: time.Minute, DialTimeout: patience, MaxConns: 100, Log: slog.New(slog.DiscardHandler)})
	ctx, end := context.WithCancel(context.Background())
	ran := make(chan bool)
	go func() { e.Run(ctx); close(ran) }()
	t.Cleanup(func() { end(); <-ran })
	return e
}

// stopTimer stops the alarm of an engine, before its first call: the test rings.
func (p *Pool) stopTimer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer.Stop()
	p.timer = time.AfterFunc(time.Hour, func() {})
}

// newTestCall makes one that waits for so long.
func (p *Pool) newTestCall(id, class string, wait time.Duration) *Call {
	m := &RequestMessage{Method: http.MethodPost, URL: &url.URL{Path: "/c"}, Host: "api.internal", Header: http.Header{"Req-Id": {id}}}
	return NewCall(balancer.Request{ID: id, Class: class, Deadline: p.Now() + wait}, m)
}

// doAsync gives the final answer to a call once it is there.
func (p *Pool) doAsync(c *Call) <-chan Result {
	replies := make(chan Result, 1)
	go func() { replies <- p.Do(c) }()
	return replies
}

// testEndpoints is endpoints that note which requests they get.
type testEndpoints struct {
	addrs []string
	peers []*testpeer.Endpoint

	mu       sync.Mutex
	received map[string][]string // ids by endpoint
}

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

// receivedBy gives the requests that an endpoint got.
func (f *testEndpoints) receivedBy(name string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.received[name])
}

// nameOf gives an endpoint's name by its address.
func (f *testEndpoints) nameOf(addr string) string {
	return string(rune('a' + slices.Index(f.addrs, addr)))
}

func writeServed(nc net.Conn, _ string) bool {
	_, err := io.WriteString(nc, served)
	return err == nil
}

// The endpoint is taken out, in whatever way, between the choice and the first byte: not a byte goes there, and the request, safe or
// not, is served by another one.
func TestRemovedEndpointGetsNoPendingAttempt(t *testing.T) {
	for name, happens := range map[string]func(e *Pool, id, addr string){
		"banned": func(e *Pool, id, _ string) { e.Disable(id) },
		"draining": func(e *Pool, id, addr string) {
			e.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{{ID: id, Addr: addr, State: balancer.Draining}}})
		},
		"gone": func(e *Pool, id, addr string) {
			e.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{{ID: id, Addr: addr, State: balancer.Gone}}})
		},
	} {
		for _, class := range []string{"safe", "unsafe"} {
			t.Run(name+" "+class, func(t *testing.T) {
				f := newTestEndpoints(t, 2, writeServed)
				e := newTestPool(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
				up, letGo := holdNextDial(e.conns)
				reply := e.doAsync(e.newTestCall("r1", class, patience))
				addr := (<-up).RemoteAddr().String()
				happens(e, f.nameOf(addr), addr)
				close(letGo)
				if r := <-reply; r.Kind != Served {
					t.Errorf("answered %+v", r)
				}
				if got := f.receivedBy(f.nameOf(addr)); len(got) > 0 {
					t.Errorf("it got %v", got)
				}
			})
		}
	}
}

// startMsAfterNow is a start, in milliseconds, behind all that has happened and ahead of all that is to come.
func startMsAfterNow(t *testing.T) int64 {
	t.Helper()
	ms := time.Now().UnixMilli() + 1
	until(t, "that moment has come", func() bool { return time.Now().UnixMilli() > ms })
	return ms
}

// An endpoint that has started since has nobody any more at the other end of the connections before that. They may say nothing, where
// its machine had vanished: what is sent there is lost.
func TestConnsFromBeforeRestartAreNotReused(t *testing.T) {
	var restarted atomic.Bool
	f := newTestEndpoints(t, 1, func(nc net.Conn, id string) bool {
		if id == "new" && !restarted.Load() {
			return true // it was the old process's connection
		}
		return writeServed(nc, id)
	})
	e := newTestPool(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
	if r := <-e.doAsync(e.newTestCall("old", "unsafe", patience)); r.Kind != Served {
		t.Fatalf("answered %+v", r)
	}
	listed := Endpoint{ID: "a", Addr: f.addrs[0]}
	e.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{listed}}) // nothing new
	if s := e.Stats(); s.Connections != 1 {
		t.Errorf("%d connections are left after a list that says nothing new", s.Connections)
	}
	listed.StartedMs = startMsAfterNow(t)
	e.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{listed}})
	if s := e.Stats(); s.Connections != 0 {
		t.Errorf("%d connections are left after the restart", s.Connections)
	}
	restarted.Store(true)
	if r := <-e.doAsync(e.newTestCall("new", "unsafe", patience)); r.Kind != Served || f.peers[0].Connections.Load() != 2 {
		t.Errorf("answered %+v on %d connections", r, f.peers[0].Connections.Load())
	}
	e.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{listed}}) // what leads to the process that was told of stays
	if s := e.Stats(); s.Connections != 1 {
		t.Errorf("%d connections are left that came up after the start", s.Connections)
	}
}

// A roster whose clock is ahead tells of a start in the future: the endpoint is used, and its connections are kept.
func TestFutureStartTimeDoesNotBlockEndpoint(t *testing.T) {
	f := newTestEndpoints(t, 1, writeServed)
	e := newTestPool(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
	listed := EndpointList{Endpoints: []Endpoint{{ID: "a", Addr: f.addrs[0], StartedMs: time.Now().Add(time.Hour).UnixMilli()}}}
	for _, id := range []string{"r1", "r2"} {
		e.UpdateEndpoints(listed)
		if r := <-e.doAsync(e.newTestCall(id, "unsafe", patience)); r.Kind != Served {
			t.Errorf("answered %+v", r)
		}
	}
	if n := f.peers[0].Connections.Load(); n != 1 {
		t.Errorf("%d connections were opened", n)
	}
}

// A connection that carries an attempt while its endpoint restarts is not kept for another one.
func TestConnFromBeforeRestartIsNotReturnedToPool(t *testing.T) {
	came, release := make(chan bool), make(chan bool)
	f := newTestEndpoints(t, 1, func(nc net.Conn, id string) bool {
		came <- true
		<-release
		return writeServed(nc, id)
	})
	e := newTestPool(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
	reply := e.doAsync(e.newTestCall("r1", "safe", patience))
	<-came
	e.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{{ID: "a", Addr: f.addrs[0], StartedMs: startMsAfterNow(t)}}})
	close(release)
	if r := <-reply; r.Kind != Served {
		t.Errorf("answered %+v", r)
	}
	until(t, "the connection is closed", func() bool { return e.Stats().Connections == 0 })
}

// The time is over and the answer there in one moment: whichever is heard first decides, once, and the other one changes nothing.
func TestDeadlineAndResponseAtSameTime(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		for _, answerFirst := range []bool{true, false} {
			for class, over := range map[string]ResultKind{"safe": Rejected, "unsafe": Failed} {
				came, release := make(chan bool, 1), make(chan bool)
				f := newTestEndpoints(t, 1, func(nc net.Conn, id string) bool {
					came <- true
					<-release
					return writeServed(nc, id)
				})
				// The module gives up a resolution ahead of the deadline, the attempt at the deadline.
				e := newTestPool(t, balancer.Settings{CancelAllowed: mayCancel, Resolution: patience}, f.addrs...)
				e.stopTimer()
				due := e.Now() + 50*time.Millisecond
				reply := e.doAsync(e.newTestCall("r1", class, due+patience-e.Now()))
				<-came
				until(t, "the time is over", func() bool { return e.Now() > due })
				want := over
				if answerFirst {
					want = Served
					close(release)
				} else {
					e.handleEvent(e.fireDueTimers)
				}
				if r := <-reply; r.Kind != want {
					t.Errorf("cancel %v, answer first %v: answered %+v", mayCancel, answerFirst, r)
				}
				if answerFirst {
					e.handleEvent(e.fireDueTimers)
				} else {
					close(release)
				}
				until(t, "all is done with", func() bool { return e.Stats().Calls == 0 })
				if n := f.peers[0].Requests.Load(); n != 1 {
					t.Errorf("it was sent %d times", n)
				}
			}
		}
	}
}

// A second copy is due when its caller has left, or its connection comes up then: none goes out. One that stays gets it.
func TestNoHedgedRequestForDisconnectedClient(t *testing.T) {
	for name, row := range map[string]struct{ leavesBefore, leavesDuring bool }{
		"stays": {}, "leaves before it is due": {leavesBefore: true}, "leaves while its connection comes up": {leavesDuring: true},
	} {
		t.Run(name, func(t *testing.T) {
			came, release := make(chan bool, 2), make(chan bool)
			f := newTestEndpoints(t, 2, func(nc net.Conn, id string) bool {
				came <- true
				<-release
				return writeServed(nc, id)
			})
			e := newTestPool(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
			e.stopTimer()
			c := e.newTestCall("r1", "copied", time.Minute)
			var left atomic.Bool
			c.ClientGone = left.Load
			reply := e.doAsync(c)
			<-came
			up, letGo := holdNextDial(e.conns)
			if row.leavesBefore {
				left.Store(true)
				e.ClientLeft(c)
			}
			due := e.Now() + 2*time.Millisecond
			until(t, "the copy is due", func() bool { return e.Now() > due })
			e.handleEvent(e.fireDueTimers)
			if !row.leavesBefore {
				<-up
			}
			if row.leavesDuring {
				left.Store(true)
			}
			close(letGo)
			want := int32(1)
			if name == "stays" {
				<-came
				want = 2
			}
			until(t, "no attempt is on its way", func() bool { return e.Stats().Connections <= int(want) })
			close(release)
			<-reply
			until(t, "all is done with", func() bool { return e.Stats().Calls == 0 })
			if n := f.peers[0].Requests.Load() + f.peers[1].Requests.Load(); n != want {
				t.Errorf("%d attempts came", n)
			}
		})
	}
}

// The caller leaves when its attempt has been handed to the goroutine that serves it, and has not been taken up.
func TestAttemptHandedOverToDisconnectedClientIsNotSent(t *testing.T) {
	f := newTestEndpoints(t, 1, writeServed)
	e := newTestPool(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
	c := e.newTestCall("r1", "unsafe", patience)
	e.handleEvent(func(now time.Duration) { e.startCall(now, c) })
	if len(c.inlineAttempts) != 1 {
		t.Fatal("no attempt was handed over")
	}
	e.ClientLeft(c)
	if r := <-c.results; r.Kind != Failed {
		t.Errorf("answered %+v", r)
	}
	e.runAbandonedAttempt(c)
	until(t, "all is done with", func() bool { return e.Stats().Calls == 0 })
	if n, open := f.peers[0].Requests.Load(), e.Stats().Connections; n != 0 || open != 0 {
		t.Errorf("%d requests came, %d connections are open", n, open)
	}
}
