// Package proxy forwards requests to a pool of endpoints. A Pool runs one Balancer. It passes
// events to the Balancer one at a time, under a lock, and carries out the Balancer's decisions; it
// makes no balancing decisions itself. It tracks the calls and attempts in flight and owns the
// connections to endpoints. Servers pass calls to a Pool, and endpoint discovery passes endpoint
// lists to it.
package proxy

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"rowancart/balancer"
	"rowancart/internal/connpool"
	"rowancart/internal/recentids"
)

// Options configure a Pool, except for its Balancer, which balancer.Settings configure.
type Options struct {
	IdleTimeout time.Duration  // after which endpoints close an idle connection; 0: unknown, use connpool's default
	DialTimeout time.Duration  // after which a dial fails; 0: the connection pool's default
	MaxConns    int            // maximum number of open connections, including idle ones and dials in progress
	Quarantine  time.Duration  // minimum time from a response to its connection's reuse, to detect a second response
	PassThrough bool           // forward all responses below 500; else only 200, with only its Content-Type header
	RecentIDs   *recentids.Set // ids of requests, which other pools and processes may share; nil: the Pool has its own
	IDScope     string         // name of the Pool among those that share RecentIDs: each has its own ids
	Subscribe   func()         // subscribes permanently to all changes of the endpoint list; must not block
	Log         *slog.Logger

	dialContext connpool.DialFunc // set by tests; nil: use a net.Dialer
}

// connOptions returns the options for the connection pool.
func (o Options) connOptions() connpool.Options {
	return connpool.Options{
		IdleTimeout: o.IdleTimeout,
		DialTimeout: o.DialTimeout,
		MaxConns:    o.MaxConns,
		Quarantine:  o.Quarantine,
		PassThrough: o.PassThrough,
		DialContext: o.dialContext,
	}
}

// Pool runs a Balancer and executes calls. Every event is handled under the Pool's lock, in the
// goroutine in which it occurs, so that no request has to wait until another goroutine is
// scheduled.
type Pool struct {
	clock     clock
	done      chan struct{} // closed when Run ends
	conns     *connpool.Pool
	subscribe func()
	log       *slog.Logger

	// mu serializes events. handleEvent holds it while an event is handled, including all actions
	// of the Balancer, so that nothing changes between the Balancer's choice of an endpoint and its
	// Send. It is also held to read a consistent state. It is never held during I/O or while
	// waiting. Lock order: connpool's locks may be acquired while mu is held, but not the reverse.
	mu            sync.Mutex
	events        balancer.Events    // the Balancer as the receiver of events; tests replace it
	balancer      *balancer.Balancer // the same Balancer, for all other methods
	cancelAllowed bool               // attempts may be canceled, see Call.canRunInline
	closed        bool
	finalDeadline time.Duration // upper bound for the deadlines of all calls; 0: none
	calls         callSet
	endpoints     endpointSet
	timer         eventTimer
	deferred      eventQueue
	failures      failureLog
	unserved      unservedLog

	counts endpointCounts // written with mu held at the end of each event, read without mu
}

// endpointCounts are numbers of endpoints that can be read without a lock.
type endpointCounts struct{ listed, unselectable atomic.Int64 }

// set replaces both numbers.
func (c *endpointCounts) set(listed, unselectable int) {
	c.listed.Store(int64(listed))
	c.unselectable.Store(int64(unselectable))
}

// New returns a Pool whose Balancer receives initial as its first endpoint list. The Pool executes
// calls at once. Run must be called to maintain its connections and to close it.
func New(s balancer.Settings, initial EndpointList, o Options) *Pool {
	c := clock{started: time.Now()}
	p := &Pool{
		clock:         c,
		done:          make(chan struct{}),
		conns:         connpool.New(o.connOptions()),
		subscribe:     o.Subscribe,
		log:           o.Log,
		cancelAllowed: s.CancelAllowed,
		calls:         newCallSet(o),
		endpoints:     newEndpointSet(c),
		failures:      failureLog{log: o.Log},
		unserved:      unservedLog{log: o.Log, byReason: map[balancer.Reason]*unservedCount{}},
	}
	p.timer = newEventTimer(p.clock.now(), func() { p.handleEvent(p.fireDueTimers) })
	// p.timer must be set before this call, because balancer.New may call host.Timer.
	p.balancer = balancer.New(p.clock.now(), s, host{p})
	p.events = p.balancer
	p.handleEvent(func(now time.Duration) { p.applyEndpointList(now, initial) })
	return p
}

// Run maintains the connections until ctx is done, then closes the Pool. Calls that still have
// no result get the result Failed, and no further event is handled.
func (p *Pool) Run(ctx context.Context) {
	p.conns.Run(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.timer.stop()
	close(p.done)
}

// handleEvent handles an event and the events that were deferred meanwhile. It must not be called
// while mu is held.
func (p *Pool) handleEvent(event func(now time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	now := p.clock.now()
	event(now)
	for next := p.deferred.pop(); next != nil; next = p.deferred.pop() {
		now = p.clock.now()
		next(now)
	}
	listed, unselectable := p.balancer.Counts()
	p.counts.set(listed, unselectable)
	p.timer.reset(now)
}

// fireDueTimers sends the Balancer one Timer event for each due instant. Instants that are
// requested meanwhile are left for a later event, even if they are already due, so that timers
// cannot starve other events. p.mu must be held.
func (p *Pool) fireDueTimers(now time.Duration) {
	p.refreshDeadlines(now)
	for range p.timer.takeDue(now) {
		p.events.Timer(now)
	}
}

// Now returns the current instant on the Pool's clock. All instants that are passed to the Balancer
// are measured on this clock.
func (p *Pool) Now() time.Duration { return p.clock.now() }

// SetFinalDeadline sets the time by which every call must have its result, because the process ends
// then. It also applies to calls that start later.
func (p *Pool) SetFinalDeadline(t time.Time) {
	p.handleEvent(func(now time.Duration) {
		at := now + time.Until(t)
		p.finalDeadline = at
		p.refreshDeadlines(now)
		p.capAttempts(now, at)
		p.balancer.CapDeadlines(now, at)
	})
}

// Configure replaces the Balancer's settings and the options of the connection pool. The options
// PassThrough, Subscribe and Log do not change. All learned state is kept, and calls that have
// already started keep their class as it was (see balancer.Balancer.Configure).
func (p *Pool) Configure(s balancer.Settings, o Options) {
	p.conns.Configure(o.connOptions())
	p.handleEvent(func(now time.Duration) {
		p.cancelAllowed = s.CancelAllowed
		p.balancer.Configure(now, s)
	})
}

// SetMaxConns sets the maximum number of open connections to endpoints. Idle connections above the
// maximum are closed.
func (p *Pool) SetMaxConns(n int) { p.conns.SetMaxConns(n) }

// Gauges are metrics of a Pool that can be read at any time without waiting for its lock.
type Gauges struct {
	RequestsWritten int64 // total number of requests written completely
	Listed          int   // listed endpoints
	Unselectable    int   // ready endpoints that are disabled or not in the Balancer's ordinary selection
}

// Gauges returns the metrics as of the latest event. It acquires no lock that requests need.
func (p *Pool) Gauges() Gauges {
	return Gauges{
		RequestsWritten: p.conns.RequestsWritten(),
		Listed:          int(p.counts.listed.Load()),
		Unselectable:    int(p.counts.unselectable.Load()),
	}
}

// Stats are the numbers of a Pool's calls, endpoints and connections at one moment.
type Stats struct {
	Calls       int `json:"calls"`       // in progress
	Ready       int `json:"ready"`       // endpoints that accept new requests
	Draining    int `json:"draining"`    // endpoints that do not, since they are draining or disabled
	Connections int `json:"connections"` // open connections to endpoints, including idle ones and dials in progress

	// BodyConflicts counts the attempts that found the body of their request in use by another
	// attempt.
	BodyConflicts int64 `json:"body_conflicts"`
}

// Stats returns the current numbers.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.conns.Counts()
	return Stats{
		Calls: p.calls.size(), Ready: conns.Accepting, Draining: conns.Draining, Connections: conns.Open,
		BodyConflicts: p.conns.BodyConflicts(),
	}
}
