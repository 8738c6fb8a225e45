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

const clockEpoch = 24 * time.Hour

func (c clock) now() time.Duration { return clockEpoch + time.Since(c.started) }

// instant converts wall time. The offset is fixed: the same start must always give the same instant, or an old one
// would pass for a restart.
func (c clock) instant(unixMs int64) time.Duration {
	if unixMs <= 0 {
		return 0
	}
	return max(clockEpoch+time.Duration(unixMs-c.started.UnixMilli())*time.Millisecond, 0)
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
	ClientGone     func() bool // tells whether the caller has left; nil: nobody knows. It must not block
	message        *RequestMessage
	results        chan Result   // takes the one final answer without blocking
	inlineAttempts chan *attempt // takes an attempt for the goroutine that waits in Do

	// Engine.mu guards these:
	finished         bool // answered, or the caller has left
	canRunInline     bool // Do waits and can make an attempt by itself
	attempts         []*attempt
	attemptsInFlight int // attempts out
}

// attempt is one Send.
type attempt struct {
	AttemptControl
	call     *Call
	number   int
	endpoint string
	sentAt   time.Duration
}

// NewCall makes a call of a request, as the module is to see it, and of the message that endpoints are to get.
func NewCall(r balancer.Request, m *RequestMessage) *Call {
	return &Call{Request: r, message: m, results: make(chan Result, 1), inlineAttempts: make(chan *attempt, 1)}
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
	clock     clock
	done      chan struct{}
	conns     *connPool
	subscribe func()
	log       *slog.Logger

	mu       sync.Mutex // guards the rest
	events   balancer.Events
	balancer *balancer.Balancer // the same, for all that is no event
	disabled map[string]bool

	cancelAllowed  bool // attempts can be called off: then the goroutine in Do may make them, and is free again when the answer is due
	timer          *time.Timer
	timerDeadline  time.Duration // when the alarm is set to
	closed         bool
	finalDeadline  time.Duration // final answers are due by then; 0: when calls say so
	calls          map[string]*Call
	recentIDs      recentIDs // ids of requests, answered ones included
	endpoints      map[string]Endpoint
	timerInstants  []time.Duration           // sorted
	deferredEvents []func(now time.Duration) // events that arose within a Host method
	failureLogs    map[balancer.Reason]*failureLog

	listedCount, avoidedCount atomic.Int64 // endpoints, as of the latest event
}

// failureLogInterval is the time between two log lines about requests that were not served for one reason.
const failureLogInterval = 10 * time.Second

// failureLog follows requests that were not served for one reason.
type failureLog struct {
	count    int           // the latest line
	loggedAt time.Duration // at
}

// New returns an engine that knows the members given, the first that the module hears of. Run does the work.
func New(s balancer.Settings, known EndpointList, o Options) *Pool {
	p := &Pool{clock: clock{time.Now()}, done: make(chan struct{}), cancelAllowed: s.CancelAllowed, conns: newConnPool(o), subscribe: o.Subscribe, log: o.Log, calls: map[string]*Call{}, endpoints: map[string]Endpoint{},
		disabled:    map[string]bool{},
		failureLogs: map[balancer.Reason]*failureLog{}}
	b := balancer.New(p.clock.now(), s, host{p})
	p.events, p.balancer = b, b
	p.timer = time.AfterFunc(time.Hour, func() { p.handleEvent(p.fireDueTimers) })
	p.timerDeadline = p.clock.now() + time.Hour
	p.handleEvent(func(now time.Duration) { p.applyEndpointList(now, known) })
	return p
}

// Now is the instant by the clock that the module's instants are of.
func (p *Pool) Now() time.Duration { return p.clock.now() }

// Do serves a call and gives the one final answer: Failed where the caller has left or the engine has ended, when none is
// owed any more.
func (p *Pool) Do(c *Call) Result {
	p.handleEvent(func(now time.Duration) { p.startCall(now, c) })
	for {
		select {
		case r := <-c.results: // an answer comes before any more work
			p.runAbandonedAttempt(c)
			return r
		default:
		}
		select {
		case r := <-c.results:
			p.runAbandonedAttempt(c)
			return r
		case a := <-c.inlineAttempts:
			p.runAttempt(a, true)
		case <-p.done:
			return Result{Kind: Failed}
		}
	}
}

// SetFinalDeadline makes all calls have their final answers by an instant, those that are still to come as well: the process has to end.
func (p *Pool) SetFinalDeadline(at time.Duration) {
	p.handleEvent(func(now time.Duration) {
		p.finalDeadline = at
		p.balancer.CapDeadlines(now, at)
	})
}

// ClientLeft reports that the caller of a request that is being served has gone.
func (p *Pool) ClientLeft(c *Call) {
	p.handleEvent(func(now time.Duration) { p.handleClientLeft(now, c) })
}

// runAbandonedAttempt sees to an attempt that was handed over just before the caller left.
func (p *Pool) runAbandonedAttempt(c *Call) {
	select {
	case a := <-c.inlineAttempts:
		go p.runAttempt(a, false)
	default:
	}
}

// runAttempt makes an attempt and reports how it ended. Inline tells that the goroutine in Do does so, and can make the next one.
func (p *Pool) runAttempt(a *attempt, inline bool) {
	result, answer := p.conns.RoundTrip(&a.AttemptControl, a.endpoint, a.call.message)
	p.handleEvent(func(now time.Duration) {
		a.call.canRunInline = a.call.canRunInline || inline && p.cancelAllowed && !a.call.finished
		if result == balancer.NotSent && a.ClientGone != nil && a.ClientGone() { // then it goes nowhere else either
			p.handleClientLeft(now, a.call)
		}
		if answer.Stream != nil {
			p.startStream(now, a, answer)
			return
		}
		p.reportOutcome(now, a, result, answer)
	})
}

// UpdateEndpoints reports what a roster says.
func (p *Pool) UpdateEndpoints(m EndpointList) {
	p.handleEvent(func(now time.Duration) { p.applyEndpointList(now, m) })
}

// Configure replaces the settings and what the options say of connections; Subscribe and Log stay. All that was learned is
// kept, and calls that were taken before keep the classes that they came with (balancer.Balancer.Configure).
func (p *Pool) Configure(s balancer.Settings, o Options) {
	p.conns.Configure(o)
	p.handleEvent(func(now time.Duration) {
		p.cancelAllowed = s.CancelAllowed
		p.balancer.Configure(now, s)
	})
}

// ErrUnknownEndpoint says that no endpoint of that name is listed, or was when it was taken out.
var ErrUnknownEndpoint = errors.New("no such endpoint is listed")

// Disable takes an endpoint out at the operators' word: on return nothing new goes there. One that is not listed may be banned
// too; it stays out when it comes.
func (p *Pool) Disable(id string) {
	p.handleEvent(func(now time.Duration) {
		p.disabled[id] = true
		p.updateConns(id)
		p.balancer.Disable(now, id)
	})
}

// Enable puts an endpoint back.
func (p *Pool) Enable(id string) {
	p.handleEvent(func(now time.Duration) {
		delete(p.disabled, id)
		p.updateConns(id)
		p.balancer.Enable(now, id)
	})
}

// HasEndpoint tells whether an endpoint is listed.
func (p *Pool) HasEndpoint(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, listed := p.endpoints[id]
	return listed
}

// updateConns tells the connections where an endpoint is, if it is anywhere, and whether they are worth keeping.
func (p *Pool) updateConns(id string) {
	if m, listed := p.endpoints[id]; listed {
		p.conns.SetEndpoint(id, m.Addr, m.State == balancer.Ready && !p.disabled[id])
		p.conns.SetStartTime(id, time.UnixMilli(m.StartedMs))
	}
}

// Gauges are what can be told at any time without a wait.
type Gauges struct {
	Dispatches int64 // attempts written whole, so far
	Listed     int   // endpoints
	Avoided    int   // of them, out at the operators' word or by the module's choice
}

// Gauges reads them. It takes no lock that the way of requests takes.
func (p *Pool) Gauges() Gauges {
	return Gauges{Dispatches: p.conns.requestsWritten.Load(), Listed: int(p.listedCount.Load()), Avoided: int(p.avoidedCount.Load())}
}

// SetMaxConns sets how many connections to endpoints may be open at once. Idle ones beyond that are closed.
func (p *Pool) SetMaxConns(most int) { p.conns.SetMaxConns(most) }

// Snapshot is what an engine knows that a successor can begin with.
// The tags are the names in stored snapshots.
type Snapshot struct {
	Learned   balancer.LearnedState `json:"Learned"`
	Endpoints []Endpoint            `json:"Members"`
}

// Snapshot gives what is known now.
func (p *Pool) Snapshot() Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Snapshot{Learned: p.balancer.LearnedState(p.clock.now()), Endpoints: slices.SortedFunc(maps.Values(p.endpoints), func(x, y Endpoint) int {
		return cmp.Compare(x.ID, y.ID)
	})}
}

// Restore takes up what an engine before this one knew so long ago. Members are not believed: the roster says who they are. An
// endpoint that has another address, or has started since, is another one of which nothing is known.
func (p *Pool) Restore(m Snapshot, ago time.Duration) {
	p.handleEvent(func(now time.Duration) {
		was := map[string]Endpoint{}
		for _, e := range m.Endpoints {
			was[e.ID] = e
		}
		same := m.Learned
		same.Endpoints = slices.DeleteFunc(slices.Clone(m.Learned.Endpoints), func(e balancer.LearnedEndpoint) bool {
			old, known := was[e.ID]
			is, listed := p.endpoints[e.ID]
			return !known || !listed || old.Addr != is.Addr || old.StartedMs != is.StartedMs
		})
		p.balancer.Restore(now, same, ago)
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
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{Calls: len(p.calls)}
	s.Ready, s.Draining, s.Connections = p.conns.Counts()
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
func (p *Pool) Endpoints() []EndpointStatus {
	p.mu.Lock()
	standings := p.balancer.EndpointStatuses(p.clock.now())
	addrs := make(map[string]string, len(p.endpoints))
	for id, m := range p.endpoints {
		addrs[id] = m.Addr
	}
	p.mu.Unlock()
	out := make([]EndpointStatus, len(standings))
	for i, s := range standings {
		out[i] = EndpointStatus{EndpointStatus: s, Addr: addrs[s.ID]}
		out[i].IdleConns, out[i].LastFailure = p.conns.EndpointStatus(s.ID)
	}
	return out
}

// Run works until ctx ends. Calls that have no answer by then get Failed.
func (p *Pool) Run(ctx context.Context) {
	p.conns.Run(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.timer.Stop()
	close(p.done)
}

// handleEvent handles an event. It must not be called from within another.
func (p *Pool) handleEvent(event func(now time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	now := p.clock.now()
	event(now)
	for len(p.deferredEvents) > 0 {
		next := p.deferredEvents[0]
		p.deferredEvents = p.deferredEvents[1:]
		now = p.clock.now()
		next(now)
	}
	listed, avoided := p.balancer.Counts()
	p.listedCount.Store(int64(listed))
	p.avoidedCount.Store(int64(avoided))
	if len(p.timerInstants) > 0 && (p.timerInstants[0] < p.timerDeadline || p.timerDeadline <= now) {
		p.timerDeadline = p.timerInstants[0]
		p.timer.Reset(p.timerDeadline - now)
	}
}

// fireDueTimers reports the timers that are due. One asked for meanwhile waits for the next turn, so that timers can't keep
// other events out.
func (p *Pool) fireDueTimers(now time.Duration) {
	due, _ := slices.BinarySearch(p.timerInstants, now+1)
	p.timerInstants = slices.Delete(p.timerInstants, 0, due)
	for range due {
		p.events.Timer(now)
	}
}

// startCall takes a request. One whose id is or was in use is turned away: every request of a caller's own has a new one,
// and a repeat must neither disturb the first nor reach an endpoint.
func (p *Pool) startCall(now time.Duration, c *Call) {
	if !p.recentIDs.add(c.ID) || p.calls[c.ID] != nil {
		c.results <- Result{Kind: Duplicate}
		return
	}
	if p.finalDeadline > 0 {
		c.Deadline = min(c.Deadline, p.finalDeadline)
	}
	p.calls[c.ID] = c
	c.canRunInline = p.cancelAllowed
	p.events.Request(now, c.Request)
}

// handleClientLeft reports that the caller of a request has gone.
func (p *Pool) handleClientLeft(now time.Duration, c *Call) {
	if p.calls[c.ID] == c && !c.finished {
		p.setResult(c, Result{Kind: Failed})
		p.events.ClientLeft(now, c.ID)
		p.removeIfDone(c)
	}
}

// setResult makes a call over, with its one final answer. What of its attempts has not gone out stays here.
func (p *Pool) setResult(c *Call, r Result) {
	c.finished, c.canRunInline = true, false
	c.results <- r
	for _, a := range c.attempts {
		a.CancelUnlessWritten()
	}
}

// finishCall gives the final answer, once.
func (p *Pool) finishCall(c *Call, r Result) {
	if c == nil || c.finished {
		return
	}
	p.setResult(c, r)
	p.removeIfDone(c)
}

// removeIfDone drops a call of which nothing is to come any more: no attempt is out, and Send makes none for a call that is not
// known.
func (p *Pool) removeIfDone(c *Call) {
	if c.finished && c.attemptsInFlight == 0 && p.calls[c.ID] == c {
		delete(p.calls, c.ID)
		if c.message.Release != nil {
			c.message.Release()
		}
	}
}

// startStream passes an answer on that is still coming. The attempt ends with it.
func (p *Pool) startStream(now time.Duration, a *attempt, answer Response) {
	c := a.call
	if c.finished { // nobody is there to read it
		answer.Stream.Cancel()
		p.deferredEvents = append(p.deferredEvents, func(now time.Duration) { p.reportOutcome(now, a, balancer.Canceled, Response{}) })
		p.conns.closeConn(answer.Stream.conn)
		return
	}
	answer.Stream.onClose = func(r balancer.Result) {
		p.handleEvent(func(now time.Duration) { p.reportOutcome(now, a, r, Response{}) })
	}
	p.finishCall(c, Result{Kind: Served, Response: answer})
	p.events.StreamStarted(now, c.ID, a.number)
}

// reportOutcome tells the module how an attempt ended. A whole answer is passed on at once; one that comes too late is dropped.
func (p *Pool) reportOutcome(now time.Duration, a *attempt, r balancer.Result, answer Response) {
	c := a.call
	c.attemptsInFlight--
	o := balancer.Outcome{ID: c.ID, Attempt: a.number, Endpoint: a.endpoint, Result: r, Latency: now - a.sentAt, Final: c.finished}
	if r == balancer.OK && !c.finished {
		o.Final = true
		p.finishCall(c, Result{Kind: Served, Response: answer})
	}
	if !c.finished && c.message.bodyConsumed() { // no other attempt is possible, whatever the module would say
		kind := Failed
		if r == balancer.Rejected || r == balancer.ConnectFailed || r == balancer.NotSent {
			kind = Rejected
		}
		o.Final = true
		host{p}.finishUnserved(c.ID, Result{Kind: kind, Reason: BodyNotReplayable})
	}
	p.events.Outcome(now, o)
	p.removeIfDone(c)
}

// applyEndpointList tells the module and the connections what a roster says.
func (p *Pool) applyEndpointList(now time.Duration, m EndpointList) {
	out := balancer.EndpointList{Complete: m.Complete, Unlisted: m.Unlisted}
	listed := map[string]bool{}
	for _, s := range m.Endpoints {
		out.Entries = append(out.Entries, balancer.Endpoint{ID: s.ID, State: s.State, Zone: s.Zone, Kind: s.Kind,
			Cell: s.Cell, Started: p.clock.instant(s.StartedMs)})
		listed[s.ID] = true
		if s.State == balancer.Gone {
			p.removeEndpoint(s.ID)
			continue
		}
		p.endpoints[s.ID] = s
		p.updateConns(s.ID)
	}
	if m.Complete {
		for id := range p.endpoints {
			if !listed[id] {
				p.removeEndpoint(id)
			}
		}
	}
	p.events.EndpointList(now, out)
}

func (p *Pool) removeEndpoint(id string) {
	delete(p.endpoints, id)
	p.conns.RemoveEndpoint(id)
}

// reportRequestWritten reports that a long request has been written whole.
func (p *Pool) reportRequestWritten(now time.Duration, a *attempt) {
	a.sentAt = now
	p.balancer.RequestWritten(now, a.call.ID, a.number)
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
	a := &attempt{call: c, number: len(c.attempts), endpoint: endpoint, sentAt: now}
	a.ClientGone = c.ClientGone
	a.Deadline = time.Now().Add(min(timeout, c.Deadline-now))
	if c.Streamed {
		a.OnRequestWritten = func() { h.handleEvent(func(now time.Duration) { h.reportRequestWritten(now, a) }) }
	}
	c.attempts = append(c.attempts, a)
	c.attemptsInFlight++
	switch {
	case c.finished:
		h.deferredEvents = append(h.deferredEvents, func(now time.Duration) { h.reportOutcome(now, a, balancer.NotSent, Response{}) })
	case c.canRunInline:
		c.canRunInline = false
		c.inlineAttempts <- a
	default: // a copy beside the first attempt, or one that cannot be called off and must not hold up the answer
		go h.runAttempt(a, false)
	}
}

// Cancel implements balancer.Host.
func (h host) Cancel(id string, n int) {
	if c := h.calls[id]; c != nil && n >= 0 && n < len(c.attempts) {
		c.attempts[n].Cancel()
	}
}

// Reject implements balancer.Host.
func (h host) Reject(id string, why balancer.Reason, retryAfter time.Duration) {
	h.finishUnserved(id, Result{Kind: Rejected, Reason: why, RetryAfter: retryAfter})
}

// Fail implements balancer.Host.
func (h host) Fail(id string, why balancer.Reason) {
	h.finishUnserved(id, Result{Kind: Failed, Reason: why})
}

// finishUnserved gives a final answer that is not an endpoint's, and says so now and then: lines must not come as fast as requests.
func (h host) finishUnserved(id string, r Result) {
	c := h.calls[id]
	if c == nil || c.finished {
		return
	}
	u := h.failureLogs[r.Reason]
	if u == nil {
		u = &failureLog{}
		h.failureLogs[r.Reason] = u
	}
	u.count++
	if now := h.clock.now(); u.loggedAt == 0 || now-u.loggedAt >= failureLogInterval {
		h.log.Warn("not served", "why", string(r.Reason), "requests", u.count, "latest", id)
		u.count, u.loggedAt = 0, now
	}
	h.finishCall(c, r)
}

// Subscribe implements balancer.Host.
func (h host) Subscribe() { h.subscribe() }

// Timer implements balancer.Host.
func (h host) Timer(at time.Duration) {
	i, _ := slices.BinarySearch(h.timerInstants, at)
	h.timerInstants = slices.Insert(h.timerInstants, i, at)
}

// Log implements balancer.Host.
func (h host) Log(line string) { h.log.Info(line) }
