// Package proxy hosts one Balancer for one pool of endpoints: the lock under which it hears one event after the other, and
// the connections over which it sends. Fronts hand it calls, rosters hand it members. It carries out what the module decides
// and decides nothing.
package proxy

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rowancart/balancer"
)

// clock gives instants: a monotonic reading since the start, well above zero, so that 0 means long ago and starts
// of endpoints before this sidecar's own have instants too.
type clock struct{ started time.Time }

const clockStart = 24 * time.Hour

func (c clock) now() time.Duration { return clockStart + time.Since(c.started) }

// instant converts wall time. The offset is fixed: the same start must always give the same instant, or an old one
// would pass for a restart.
func (c clock) instant(unixMs int64) time.Duration {
	if unixMs <= 0 {
		return 0
	}
	return max(clockStart+time.Duration(unixMs-c.started.UnixMilli())*time.Millisecond, 0)
}

// ResultKind is what the final answer to a call is.
type ResultKind int

// The kinds. Only Refused and Duplicate promise that the call has not run.
const (
	Served    ResultKind = iota // an endpoint's whole answer
	Rejected                    // turned away; trying again is harmless
	Failed                      // nothing is promised
	Duplicate                   // its id is or was in use
)

// BodyNotReplayable is why a request is not served whose attempt failed after more of its body had gone out than is kept. The module's
// reasons stand beside it.
const BodyNotReplayable balancer.Reason = "body_gone"

// Result is the final answer to a call.
type Result struct {
	Kind       ResultKind
	Reason     balancer.Reason // for Refused and Failed; empty where the caller has left or the engine has ended
	RetryAfter time.Duration   // for Refused; 0: no advice
	Response   Response        // for Served
}

// Call is a request that a front has taken. NewCall makes one.
type Call struct {
	balancer.Request
	ClientGone func() bool // tells whether the caller has left; nil: nobody knows. It must not block
	message    *RequestMessage
	replies    chan Result   // takes the one final answer without blocking
	work       chan *attempt // takes an attempt for the goroutine that waits in Do

	// Engine.mu guards these:
	over     bool // answered, or the caller has left
	waits    bool // Do waits and can make an attempt by itself
	attempts []*attempt
	out      int // attempts out
}

// attempt is one Send.
type attempt struct {
	leash
	call     *Call
	n        int
	endpoint string
	sent     time.Duration
}

// NewCall makes a call of a request, as the module is to see it, and of the message that endpoints are to get.
func NewCall(r balancer.Request, m *RequestMessage) *Call {
	return &Call{Request: r, message: m, replies: make(chan Result, 1), work: make(chan *attempt, 1)}
}

// Endpoint is an endpoint as a roster lists it.
//
// The tags are the names in stored snapshots.
type Endpoint struct {
	ID        string         `json:"ID"`
	Addr      string         `json:"Addr"`
	Zone      string         `json:"Zone"`
	Kind      string         `json:"Kind"`
	Cell      int            `json:"Cell"`
	State     balancer.State `json:"State"`
	StartedMs int64          `json:"StartedMs"` // Unix time of the latest start; 0: long ago
}

// EndpointList is what a roster says: the whole list, or what has changed.
type EndpointList struct {
	Complete  bool
	Endpoints []Endpoint
	Unlisted  int // ready endpoints beside those that are ever listed to this instance
}

// Options are what an engine needs beside the module's settings.
type Options struct {
	ConnIdle    time.Duration // endpoints close a connection that has been idle for this long; 0: not told
	DialTimeout time.Duration // a connection not made by then has failed; 0: not told
	MaxConns    int           // connections open at once
	Quarantine  time.Duration // for which a connection rests after an answer: a second one that comes late shows meanwhile
	PassThrough bool          // answers below 500 are the endpoint's own and go on whole; else only 200 does, with its type
	Subscribe   func()        // asks the roster for all changes from now on, whatever breaks; it must not block
	Log         *slog.Logger
}

// Pool owns a Balancer. All that happens is handled in turn under its lock, by the goroutine to which it happens: no
// request waits for another goroutine to wake up.
type Pool struct {
	clock    clock
	done     chan struct{}
	upstream *upstream
	ask      func()
	log      *slog.Logger

	mu       sync.Mutex // guards the rest
	balancer balancer.Events
	module   *balancer.Balancer // the same, for all that is no event
	banned   map[string]bool

	mayCall  bool // attempts can be called off: then the goroutine in Do may make them, and is free again when the answer is due
	alarm    *time.Timer
	rings    time.Duration // when the alarm is set to
	ended    bool
	endBy    time.Duration // final answers are due by then; 0: when calls say so
	calls    map[string]*Call
	taken    recent // ids of requests, answered ones included
	members  map[string]Endpoint
	timers   []time.Duration           // sorted
	later    []func(now time.Duration) // events that arose within a Host method
	unserved map[balancer.Reason]*unserved

	listed, avoided atomic.Int64 // endpoints, as of the latest event
}

// tellEvery is the time between two log lines about requests that were not served for one reason.
const tellEvery = 10 * time.Second

// unserved follows requests that were not served for one reason.
type unserved struct {
	since int           // the latest line
	told  time.Duration // at
}

// New returns an engine that knows the members given, the first that the module hears of. Run does the work.
func New(s balancer.Settings, known EndpointList, o Options) *Pool {
	l := &Pool{clock: clock{time.Now()}, done: make(chan struct{}), mayCall: s.CancelAllowed, upstream: newUpstream(o), ask: o.Subscribe, log: o.Log, calls: map[string]*Call{}, members: map[string]Endpoint{},
		banned:   map[string]bool{},
		unserved: map[balancer.Reason]*unserved{}}
	b := balancer.New(l.clock.now(), s, host{l})
	l.balancer, l.module = b, b
	l.alarm = time.AfterFunc(time.Hour, func() { l.post(l.ring) })
	l.rings = l.clock.now() + time.Hour
	l.post(func(now time.Duration) { l.list(now, known) })
	return l
}

// Now is the instant by the clock that the module's instants are of.
func (l *Pool) Now() time.Duration { return l.clock.now() }

// Do serves a call and gives the one final answer: Failed where the caller has left or the engine has ended, when none is
// owed any more.
func (l *Pool) Do(c *Call) Result {
	l.post(func(now time.Duration) { l.start(now, c) })
	for {
		select {
		case r := <-c.replies: // an answer comes before any more work
			l.rest(c)
			return r
		default:
		}
		select {
		case r := <-c.replies:
			l.rest(c)
			return r
		case a := <-c.work:
			l.make(a, true)
		case <-l.done:
			return Result{Kind: Failed}
		}
	}
}

// SetFinalDeadline makes all calls have their final answers by an instant, those that are still to come as well: the process has to end.
func (l *Pool) SetFinalDeadline(at time.Duration) {
	l.post(func(now time.Duration) {
		l.endBy = at
		l.module.CapDeadlines(now, at)
	})
}

// ClientLeft reports that the caller of a request that is being served has gone.
func (l *Pool) ClientLeft(c *Call) { l.post(func(now time.Duration) { l.leave(now, c) }) }

// rest sees to an attempt that was handed over just before the caller left.
func (l *Pool) rest(c *Call) {
	select {
	case a := <-c.work:
		go l.make(a, false)
	default:
	}
}

// make makes an attempt and reports how it ended. Inline tells that the goroutine in Do does so, and can make the next one.
func (l *Pool) make(a *attempt, inline bool) {
	result, answer := l.upstream.attempt(&a.leash, a.endpoint, a.call.message)
	l.post(func(now time.Duration) {
		a.call.waits = a.call.waits || inline && l.mayCall && !a.call.over
		if result == balancer.NotSent && a.left != nil && a.left() { // then it goes nowhere else either
			l.leave(now, a.call)
		}
		if answer.Stream != nil {
			l.begin(now, a, answer)
			return
		}
		l.report(now, a, result, answer)
	})
}

// UpdateEndpoints reports what a roster says.
func (l *Pool) UpdateEndpoints(m EndpointList) { l.post(func(now time.Duration) { l.list(now, m) }) }

// Configure replaces the settings and what the options say of connections; Subscribe and Log stay. All that was learned is
// kept, and calls that were taken before keep the classes that they came with (balancer.Balancer.Configure).
func (l *Pool) Configure(s balancer.Settings, o Options) {
	l.upstream.configure(o)
	l.post(func(now time.Duration) {
		l.mayCall = s.CancelAllowed
		l.module.Configure(now, s)
	})
}

// ErrUnknownEndpoint says that no endpoint of that name is listed, or was when it was taken out.
var ErrUnknownEndpoint = errors.New("no such endpoint is listed")

// Disable takes an endpoint out at the operators' word: on return nothing new goes there. One that is not listed may be banned
// too; it stays out when it comes.
func (l *Pool) Disable(id string) {
	l.post(func(now time.Duration) {
		l.banned[id] = true
		l.keep(id)
		l.module.Disable(now, id)
	})
}

// Enable puts an endpoint back.
func (l *Pool) Enable(id string) {
	l.post(func(now time.Duration) {
		delete(l.banned, id)
		l.keep(id)
		l.module.Enable(now, id)
	})
}

// HasEndpoint tells whether an endpoint is listed.
func (l *Pool) HasEndpoint(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, listed := l.members[id]
	return listed
}

// keep tells the connections where an endpoint is, if it is anywhere, and whether they are worth keeping.
func (l *Pool) keep(id string) {
	if m, listed := l.members[id]; listed {
		l.upstream.setMember(id, m.Addr, m.State == balancer.Ready && !l.banned[id])
		l.upstream.started(id, time.UnixMilli(m.StartedMs))
	}
}

// Gauges are what can be told at any time without a wait.
type Gauges struct {
	Dispatches int64 // attempts written whole, so far
	Listed     int   // endpoints
	Avoided    int   // of them, out at the operators' word or by the module's choice
}

// Gauges reads them. It takes no lock that the way of requests takes.
func (l *Pool) Gauges() Gauges {
	return Gauges{Dispatches: l.upstream.written.Load(), Listed: int(l.listed.Load()), Avoided: int(l.avoided.Load())}
}

// SetMaxConns sets how many connections to endpoints may be open at once. Idle ones beyond that are closed.
func (l *Pool) SetMaxConns(most int) { l.upstream.limit(most) }

// Snapshot is what an engine knows that a successor can begin with.
// The tags are the names in stored snapshots.
type Snapshot struct {
	Learned   balancer.LearnedState `json:"Learned"`
	Endpoints []Endpoint            `json:"Members"`
}

// Snapshot gives what is known now.
func (l *Pool) Snapshot() Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Snapshot{Learned: l.module.LearnedState(l.clock.now()), Endpoints: slices.SortedFunc(maps.Values(l.members), func(x, y Endpoint) int {
		return cmp.Compare(x.ID, y.ID)
	})}
}

// Restore takes up what an engine before this one knew so long ago. Members are not believed: the roster says who they are. An
// endpoint that has another address, or has started since, is another one of which nothing is known.
func (l *Pool) Restore(m Snapshot, ago time.Duration) {
	l.post(func(now time.Duration) {
		was := map[string]Endpoint{}
		for _, e := range m.Endpoints {
			was[e.ID] = e
		}
		same := m.Learned
		same.Endpoints = slices.DeleteFunc(slices.Clone(m.Learned.Endpoints), func(e balancer.LearnedEndpoint) bool {
			old, known := was[e.ID]
			is, listed := l.members[e.ID]
			return !known || !listed || old.Addr != is.Addr || old.StartedMs != is.StartedMs
		})
		l.module.Restore(now, same, ago)
	})
}

// Stats is what an engine holds at a moment.
type Stats struct {
	Calls       int `json:"calls"`       // taken, not yet done with
	Ready       int `json:"ready"`       // endpoints that take new work
	Draining    int `json:"draining"`    // endpoints that do not
	Connections int `json:"connections"` // open to endpoints, idle ones included
}

// Stats tells what the engine holds.
func (l *Pool) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Stats{Calls: len(l.calls)}
	s.Ready, s.Draining, s.Connections = l.upstream.count()
	return s
}

// EndpointStatus is how an endpoint stands with an engine.
type EndpointStatus struct {
	balancer.EndpointStatus
	Addr        string
	IdleConns   int    // connections that wait for their next request
	LastFailure string // how the latest attempt that failed did so, until one succeeds
}

// Endpoints tells how all endpoints stand, in the order in which they were first heard of.
func (l *Pool) Endpoints() []EndpointStatus {
	l.mu.Lock()
	standings := l.module.EndpointStatuses(l.clock.now())
	addrs := make(map[string]string, len(l.members))
	for id, m := range l.members {
		addrs[id] = m.Addr
	}
	l.mu.Unlock()
	out := make([]EndpointStatus, len(standings))
	for i, s := range standings {
		out[i] = EndpointStatus{EndpointStatus: s, Addr: addrs[s.ID]}
		out[i].IdleConns, out[i].LastFailure = l.upstream.standing(s.ID)
	}
	return out
}

// Run works until ctx ends. Calls that have no answer by then get Failed.
func (l *Pool) Run(ctx context.Context) {
	l.upstream.run(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	l.alarm.Stop()
	close(l.done)
}

// post handles an event. It must not be called from within another.
func (l *Pool) post(event func(now time.Duration)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	now := l.clock.now()
	event(now)
	for len(l.later) > 0 {
		next := l.later[0]
		l.later = l.later[1:]
		now = l.clock.now()
		next(now)
	}
	listed, avoided := l.module.Counts()
	l.listed.Store(int64(listed))
	l.avoided.Store(int64(avoided))
	if len(l.timers) > 0 && (l.timers[0] < l.rings || l.rings <= now) {
		l.rings = l.timers[0]
		l.alarm.Reset(l.rings - now)
	}
}

// ring reports the timers that are due. One asked for meanwhile waits for the next turn, so that timers can't keep
// other events out.
func (l *Pool) ring(now time.Duration) {
	due, _ := slices.BinarySearch(l.timers, now+1)
	l.timers = slices.Delete(l.timers, 0, due)
	for range due {
		l.balancer.Timer(now)
	}
}

// start takes a request. One whose id is or was in use is turned away: every request of a caller's own has a new one,
// and a repeat must neither disturb the first nor reach an endpoint.
func (l *Pool) start(now time.Duration, c *Call) {
	if !l.taken.add(c.ID) || l.calls[c.ID] != nil {
		c.replies <- Result{Kind: Duplicate}
		return
	}
	if l.endBy > 0 {
		c.Deadline = min(c.Deadline, l.endBy)
	}
	l.calls[c.ID] = c
	c.waits = l.mayCall
	l.balancer.Request(now, c.Request)
}

// leave reports that the caller of a request has gone.
func (l *Pool) leave(now time.Duration, c *Call) {
	if l.calls[c.ID] == c && !c.over {
		l.end(c, Result{Kind: Failed})
		l.balancer.ClientLeft(now, c.ID)
		l.forget(c)
	}
}

// end makes a call over, with its one final answer. What of its attempts has not gone out stays here.
func (l *Pool) end(c *Call, r Result) {
	c.over, c.waits = true, false
	c.replies <- r
	for _, a := range c.attempts {
		a.withdraw()
	}
}

// finish gives the final answer, once.
func (l *Pool) finish(c *Call, r Result) {
	if c == nil || c.over {
		return
	}
	l.end(c, r)
	l.forget(c)
}

// forget drops a call of which nothing is to come any more: no attempt is out, and Send makes none for a call that is not
// known.
func (l *Pool) forget(c *Call) {
	if c.over && c.out == 0 && l.calls[c.ID] == c {
		delete(l.calls, c.ID)
		if c.message.Release != nil {
			c.message.Release()
		}
	}
}

// begin passes an answer on that is still coming. The attempt ends with it.
func (l *Pool) begin(now time.Duration, a *attempt, answer Response) {
	c := a.call
	if c.over { // nobody is there to read it
		answer.Stream.Cancel()
		l.later = append(l.later, func(now time.Duration) { l.report(now, a, balancer.Canceled, Response{}) })
		l.upstream.discard(answer.Stream.conn)
		return
	}
	answer.Stream.over = func(r balancer.Result) {
		l.post(func(now time.Duration) { l.report(now, a, r, Response{}) })
	}
	l.finish(c, Result{Kind: Served, Response: answer})
	l.balancer.StreamStarted(now, c.ID, a.n)
}

// report tells the module how an attempt ended. A whole answer is passed on at once; one that comes too late is dropped.
func (l *Pool) report(now time.Duration, a *attempt, r balancer.Result, answer Response) {
	c := a.call
	c.out--
	o := balancer.Outcome{ID: c.ID, Attempt: a.n, Endpoint: a.endpoint, Result: r, Latency: now - a.sent, Final: c.over}
	if r == balancer.OK && !c.over {
		o.Final = true
		l.finish(c, Result{Kind: Served, Response: answer})
	}
	if !c.over && c.message.gone() { // no other attempt is possible, whatever the module would say
		kind := Failed
		if r == balancer.Rejected || r == balancer.ConnectFailed || r == balancer.NotSent {
			kind = Rejected
		}
		o.Final = true
		host{l}.give(c.ID, Result{Kind: kind, Reason: BodyNotReplayable})
	}
	l.balancer.Outcome(now, o)
	l.forget(c)
}

// list tells the module and the connections what a roster says.
func (l *Pool) list(now time.Duration, m EndpointList) {
	out := balancer.EndpointList{Complete: m.Complete, Unlisted: m.Unlisted}
	listed := map[string]bool{}
	for _, s := range m.Endpoints {
		out.Entries = append(out.Entries, balancer.Endpoint{ID: s.ID, State: s.State, Zone: s.Zone, Kind: s.Kind,
			Cell: s.Cell, Started: l.clock.instant(s.StartedMs)})
		listed[s.ID] = true
		if s.State == balancer.Gone {
			l.remove(s.ID)
			continue
		}
		l.members[s.ID] = s
		l.keep(s.ID)
	}
	if m.Complete {
		for id := range l.members {
			if !listed[id] {
				l.remove(id)
			}
		}
	}
	l.balancer.EndpointList(now, out)
}

func (l *Pool) remove(id string) {
	delete(l.members, id)
	l.upstream.removeMember(id)
}

// wrote reports that a long request has been written whole.
func (l *Pool) wrote(now time.Duration, a *attempt) {
	a.sent = now
	l.module.RequestWritten(now, a.call.ID, a.n)
}

// host carries out what the Balancer asks for. It runs under the engine's lock, blocks on nothing and does not call back.
type host struct{ *Pool }

var _ balancer.Host = host{}

// Send implements balancer.Host.
func (h host) Send(id, endpoint string, timeout time.Duration) {
	c := h.calls[id]
	if c == nil {
		return // not a request of ours: nothing to report either
	}
	now := h.clock.now()
	a := &attempt{call: c, n: len(c.attempts), endpoint: endpoint, sent: now}
	a.left = c.ClientGone
	a.deadline = time.Now().Add(min(timeout, c.Deadline-now))
	if c.Streamed {
		a.written = func() { h.post(func(now time.Duration) { h.wrote(now, a) }) }
	}
	c.attempts = append(c.attempts, a)
	c.out++
	switch {
	case c.over:
		h.later = append(h.later, func(now time.Duration) { h.report(now, a, balancer.NotSent, Response{}) })
	case c.waits:
		c.waits = false
		c.work <- a
	default: // a copy beside the first attempt, or one that cannot be called off and must not hold up the answer
		go h.make(a, false)
	}
}

// Cancel implements balancer.Host.
func (h host) Cancel(id string, n int) {
	if c := h.calls[id]; c != nil && n >= 0 && n < len(c.attempts) {
		c.attempts[n].cancel()
	}
}

// Reject implements balancer.Host.
func (h host) Reject(id string, why balancer.Reason, retryAfter time.Duration) {
	h.give(id, Result{Kind: Rejected, Reason: why, RetryAfter: retryAfter})
}

// Fail implements balancer.Host.
func (h host) Fail(id string, why balancer.Reason) { h.give(id, Result{Kind: Failed, Reason: why}) }

// give gives a final answer that is not an endpoint's, and says so now and then: lines must not come as fast as requests.
func (h host) give(id string, r Result) {
	c := h.calls[id]
	if c == nil || c.over {
		return
	}
	u := h.unserved[r.Reason]
	if u == nil {
		u = &unserved{}
		h.unserved[r.Reason] = u
	}
	u.since++
	if now := h.clock.now(); u.told == 0 || now-u.told >= tellEvery {
		h.log.Warn("not served", "why", string(r.Reason), "requests", u.since, "latest", id)
		u.since, u.told = 0, now
	}
	h.finish(c, r)
}

// Subscribe implements balancer.Host.
func (h host) Subscribe() { h.ask() }

// Timer implements balancer.Host.
func (h host) Timer(at time.Duration) {
	i, _ := slices.BinarySearch(h.timers, at)
	h.timers = slices.Insert(h.timers, i, at)
}

// Log implements balancer.Host.
func (h host) Log(line string) { h.log.Info(line) }
