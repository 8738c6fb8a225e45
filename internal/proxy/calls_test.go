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

// classes are what test calls are of.
var classes = []balancer.Class{{Name: "safe", LatencyObjective: time.Minute}, {Name: "unsafe", Repeat: balancer.NonIdempotent, LatencyObjective: time.Minute},
	{Name: "copied", LatencyObjective: time.Minute, HedgeAfter: time.Millisecond}}

// testEngine runs an engine before the endpoints given, named a, b, ...
func testEngine(t *testing.T, s balancer.Settings, addrs ...string) *Pool {
	t.Helper()
	s.Classes = classes
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

// silence stops the alarm of an engine, before its first call: the test rings.
func (l *Pool) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.alarm.Stop()
	l.alarm = time.AfterFunc(time.Hour, func() {})
}

// call makes one that waits for so long.
func (l *Pool) call(id, class string, wait time.Duration) *Call {
	m := &RequestMessage{Method: http.MethodPost, URL: &url.URL{Path: "/c"}, Host: "api.internal", Header: http.Header{"Req-Id": {id}}}
	return NewCall(balancer.Request{ID: id, Class: class, Deadline: l.Now() + wait}, m)
}

// answer gives the final answer to a call once it is there.
func (l *Pool) answer(c *Call) <-chan Result {
	replies := make(chan Result, 1)
	go func() { replies <- l.Do(c) }()
	return replies
}

// fleet is endpoints that note which requests they get.
type fleet struct {
	addrs []string
	peers []*testpeer.Endpoint

	mu   sync.Mutex
	came map[string][]string // ids by endpoint
}

func newFleet(t *testing.T, n int, serve func(nc net.Conn, id string) bool) *fleet {
	f := &fleet{came: map[string][]string{}}
	for i := range n {
		name := string(rune('a' + i))
		e := newEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
			id := r.Header.Get("Req-Id")
			f.mu.Lock()
			f.came[name] = append(f.came[name], id)
			f.mu.Unlock()
			return serve(nc, id)
		})
		f.addrs, f.peers = append(f.addrs, e.Addr), append(f.peers, e)
	}
	return f
}

// at gives the requests that an endpoint got.
func (f *fleet) at(name string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.came[name])
}

// named gives an endpoint's name by its address.
func (f *fleet) named(addr string) string { return string(rune('a' + slices.Index(f.addrs, addr))) }

func answers(nc net.Conn, _ string) bool {
	_, err := io.WriteString(nc, served)
	return err == nil
}

// The endpoint is taken out, in whatever way, between the choice and the first byte: not a byte goes there, and the request, safe or
// not, is served by another one.
func TestATakenOutEndpointGetsNothingThatWasChosenBefore(t *testing.T) {
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
				f := newFleet(t, 2, answers)
				e := testEngine(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
				up, letGo := held(e.upstream)
				reply := e.answer(e.call("r1", class, patience))
				addr := (<-up).RemoteAddr().String()
				happens(e, f.named(addr), addr)
				close(letGo)
				if r := <-reply; r.Kind != Served {
					t.Errorf("answered %+v", r)
				}
				if got := f.at(f.named(addr)); len(got) > 0 {
					t.Errorf("it got %v", got)
				}
			})
		}
	}
}

// justNow is a start, in milliseconds, behind all that has happened and ahead of all that is to come.
func justNow(t *testing.T) int64 {
	t.Helper()
	ms := time.Now().UnixMilli() + 1
	until(t, "that moment has come", func() bool { return time.Now().UnixMilli() > ms })
	return ms
}

// An endpoint that has started since has nobody any more at the other end of the connections before that. They may say nothing, where
// its machine had vanished: what is sent there is lost.
func TestConnectionsFromBeforeARestartAreNotUsed(t *testing.T) {
	var restarted atomic.Bool
	f := newFleet(t, 1, func(nc net.Conn, id string) bool {
		if id == "new" && !restarted.Load() {
			return true // it was the old process's connection
		}
		return answers(nc, id)
	})
	e := testEngine(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
	if r := <-e.answer(e.call("old", "unsafe", patience)); r.Kind != Served {
		t.Fatalf("answered %+v", r)
	}
	listed := Endpoint{ID: "a", Addr: f.addrs[0]}
	e.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{listed}}) // nothing new
	if s := e.Stats(); s.Connections != 1 {
		t.Errorf("%d connections are left after a list that says nothing new", s.Connections)
	}
	listed.StartedMs = justNow(t)
	e.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{listed}})
	if s := e.Stats(); s.Connections != 0 {
		t.Errorf("%d connections are left after the restart", s.Connections)
	}
	restarted.Store(true)
	if r := <-e.answer(e.call("new", "unsafe", patience)); r.Kind != Served || f.peers[0].Connections.Load() != 2 {
		t.Errorf("answered %+v on %d connections", r, f.peers[0].Connections.Load())
	}
	e.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{listed}}) // what leads to the process that was told of stays
	if s := e.Stats(); s.Connections != 1 {
		t.Errorf("%d connections are left that came up after the start", s.Connections)
	}
}

// A roster whose clock is ahead tells of a start in the future: the endpoint is used, and its connections are kept.
func TestAStartInTheFutureKeepsNobodyOut(t *testing.T) {
	f := newFleet(t, 1, answers)
	e := testEngine(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
	listed := EndpointList{Endpoints: []Endpoint{{ID: "a", Addr: f.addrs[0], StartedMs: time.Now().Add(time.Hour).UnixMilli()}}}
	for _, id := range []string{"r1", "r2"} {
		e.UpdateEndpoints(listed)
		if r := <-e.answer(e.call(id, "unsafe", patience)); r.Kind != Served {
			t.Errorf("answered %+v", r)
		}
	}
	if n := f.peers[0].Connections.Load(); n != 1 {
		t.Errorf("%d connections were opened", n)
	}
}

// A connection that carries an attempt while its endpoint restarts is not kept for another one.
func TestAConnectionFromBeforeARestartIsNotGivenBack(t *testing.T) {
	came, release := make(chan bool), make(chan bool)
	f := newFleet(t, 1, func(nc net.Conn, id string) bool {
		came <- true
		<-release
		return answers(nc, id)
	})
	e := testEngine(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
	reply := e.answer(e.call("r1", "safe", patience))
	<-came
	e.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{{ID: "a", Addr: f.addrs[0], StartedMs: justNow(t)}}})
	close(release)
	if r := <-reply; r.Kind != Served {
		t.Errorf("answered %+v", r)
	}
	until(t, "the connection is closed", func() bool { return e.Stats().Connections == 0 })
}

// The time is over and the answer there in one moment: whichever is heard first decides, once, and the other one changes nothing.
func TestADeadlineAndAnAnswerInOneMoment(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		for _, answerFirst := range []bool{true, false} {
			for class, over := range map[string]ResultKind{"safe": Rejected, "unsafe": Failed} {
				came, release := make(chan bool, 1), make(chan bool)
				f := newFleet(t, 1, func(nc net.Conn, id string) bool {
					came <- true
					<-release
					return answers(nc, id)
				})
				// The module gives up a resolution ahead of the deadline, the attempt at the deadline.
				e := testEngine(t, balancer.Settings{CancelAllowed: mayCancel, Resolution: patience}, f.addrs...)
				e.silence()
				due := e.Now() + 50*time.Millisecond
				reply := e.answer(e.call("r1", class, due+patience-e.Now()))
				<-came
				until(t, "the time is over", func() bool { return e.Now() > due })
				want := over
				if answerFirst {
					want = Served
					close(release)
				} else {
					e.post(e.ring)
				}
				if r := <-reply; r.Kind != want {
					t.Errorf("cancel %v, answer first %v: answered %+v", mayCancel, answerFirst, r)
				}
				if answerFirst {
					e.post(e.ring)
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
func TestNoSecondCopyForACallerThatLeft(t *testing.T) {
	for name, row := range map[string]struct{ leavesBefore, leavesDuring bool }{
		"stays": {}, "leaves before it is due": {leavesBefore: true}, "leaves while its connection comes up": {leavesDuring: true},
	} {
		t.Run(name, func(t *testing.T) {
			came, release := make(chan bool, 2), make(chan bool)
			f := newFleet(t, 2, func(nc net.Conn, id string) bool {
				came <- true
				<-release
				return answers(nc, id)
			})
			e := testEngine(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
			e.silence()
			c := e.call("r1", "copied", time.Minute)
			var left atomic.Bool
			c.ClientGone = left.Load
			reply := e.answer(c)
			<-came
			up, letGo := held(e.upstream)
			if row.leavesBefore {
				left.Store(true)
				e.ClientLeft(c)
			}
			due := e.Now() + 2*time.Millisecond
			until(t, "the copy is due", func() bool { return e.Now() > due })
			e.post(e.ring)
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
func TestAnAttemptHandedOverToACallerThatLeft(t *testing.T) {
	f := newFleet(t, 1, answers)
	e := testEngine(t, balancer.Settings{CancelAllowed: true}, f.addrs...)
	c := e.call("r1", "unsafe", patience)
	e.post(func(now time.Duration) { e.start(now, c) })
	if len(c.work) != 1 {
		t.Fatal("no attempt was handed over")
	}
	e.ClientLeft(c)
	if r := <-c.replies; r.Kind != Failed {
		t.Errorf("answered %+v", r)
	}
	e.rest(c)
	until(t, "all is done with", func() bool { return e.Stats().Calls == 0 })
	if n, open := f.peers[0].Requests.Load(), e.Stats().Connections; n != 0 || open != 0 {
		t.Errorf("%d requests came, %d connections are open", n, open)
	}
}
