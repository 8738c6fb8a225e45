// Package proxy hosts one Balancer for one pool of endpoints: the lock under which it hears one event after the other, and
// the connections over which it sends. Fronts hand it calls, rosters hand it members. It carries out what the module decides
// and decides nothing.
package proxy

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"rowancart/balancer"
)

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

// SetFinalDeadline makes all calls have their final answers by an instant, those that are still to come as well: the process has to end.
func (p *Pool) SetFinalDeadline(at time.Duration) {
	p.handleEvent(func(now time.Duration) {
		p.finalDeadline = at
		p.balancer.CapDeadlines(now, at)
	})
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
