// Package proxy hosts one Balancer for one pool of endpoints: the lock under which it handles one
// event after the other, the calls and attempts in flight, and the connections over which attempts
// are made. Servers pass calls to it, and endpoint discovery passes endpoint lists. It carries out
// what the Balancer decides and decides nothing itself.
package proxy

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"rowancart/balancer"
	"rowancart/internal/connpool"
)

// Options are what a Pool needs besides the Balancer's settings.
type Options struct {
	IdleTimeout time.Duration // after which endpoints close an idle connection; 0: unknown
	DialTimeout time.Duration // after which a dial has failed; 0: the connection pool's default
	MaxConns    int           // connections open at once
	Quarantine  time.Duration // between a response and the reuse of its connection, in which a second response shows
	PassThrough bool          // responses below 500 are passed on as they are; else only 200 is, with its type
	Subscribe   func()        // subscribes to all changes of the endpoint list, for good; it must not block
	Log         *slog.Logger

	dialContext connpool.DialFunc // of tests; nil: a net.Dialer
}

// connOptions returns the options of the connection pool.
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

// Pool owns a Balancer. Every event is handled under the Pool's lock by the goroutine in which it
// occurs: no request waits for another goroutine to be scheduled.
type Pool struct {
	clock     clock
	done      chan struct{} // closed when Run ends
	conns     *connpool.Pool
	subscribe func()
	log       *slog.Logger

	// mu serializes events: handleEvent holds it during an event, including all actions of the
	// Balancer, so that nothing comes between the Balancer's choice of an endpoint and its Send. It is
	// also held to read a consistent state. It is never held during I/O or any wait. connpool's locks
	// may be taken while it is held, but not the other way round.
	mu            sync.Mutex
	events        balancer.Events    // the Balancer as a receiver of events; tests replace it
	balancer      *balancer.Balancer // the same Balancer, for all else
	cancelAllowed bool               // attempts may be canceled, see canRunInline of Call
	closed        bool
	finalDeadline time.Duration // by which all calls have to have their results; 0: their own deadlines hold
	calls         callSet
	endpoints     endpointSet
	timer         eventTimer
	deferred      eventQueue
	unserved      unservedLog

	counts endpointCounts // written under mu at the end of each event, read without it
}

// endpointCounts are numbers of endpoints that are read without a lock.
type endpointCounts struct{ listed, unselectable atomic.Int64 }

// set replaces the numbers.
func (c *endpointCounts) set(listed, unselectable int) {
	c.listed.Store(int64(listed))
	c.unselectable.Store(int64(unselectable))
}

// New returns a Pool with the endpoints given as the first list of its Balancer. Its calls are
// carried out from now on; Run maintains its connections and closes it.
func New(s balancer.Settings, known EndpointList, o Options) *Pool {
	c := clock{started: time.Now()}
	p := &Pool{
		clock:         c,
		done:          make(chan struct{}),
		conns:         connpool.New(o.connOptions()),
		subscribe:     o.Subscribe,
		log:           o.Log,
		cancelAllowed: s.CancelAllowed,
		calls:         callSet{byID: map[string]*Call{}},
		endpoints:     newEndpointSet(c),
		unserved:      unservedLog{log: o.Log, byReason: map[balancer.Reason]*unservedCount{}},
	}
	p.timer = newEventTimer(p.clock.now(), func() { p.handleEvent(p.fireDueTimers) })
	p.balancer = balancer.New(p.clock.now(), s, host{p}) // may request timers
	p.events = p.balancer
	p.handleEvent(func(now time.Duration) { p.applyEndpointList(now, known) })
	return p
}

// Run maintains the connections until ctx is done and closes the Pool: calls that have no result by
// then get Failed, and no further event is handled.
func (p *Pool) Run(ctx context.Context) {
	p.conns.Run(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.timer.stop()
	close(p.done)
}

// handleEvent handles an event and those that arise from it. It must not be called while mu is
// held.
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

// fireDueTimers reports the instants of the timer that have come. One that is requested meanwhile
// waits for the next event, so that timers can't keep other events out. p.mu must be held.
func (p *Pool) fireDueTimers(now time.Duration) {
	for range p.timer.takeDue(now) {
		p.events.Timer(now)
	}
}

// Now returns the present instant by the clock of all instants that the Balancer sees.
func (p *Pool) Now() time.Duration { return p.clock.now() }

// SetFinalDeadline sets the instant by which all calls, those still to come included, have to have
// their results: the process ends then.
func (p *Pool) SetFinalDeadline(at time.Duration) {
	p.handleEvent(func(now time.Duration) {
		p.finalDeadline = at
		p.balancer.CapDeadlines(now, at)
	})
}

// Configure replaces the settings and the options of connections, except PassThrough; Subscribe and
// Log stay too. All learned state is kept, and calls that were started before keep the classes that
// they came with (see balancer.Balancer.Configure).
func (p *Pool) Configure(s balancer.Settings, o Options) {
	p.conns.Configure(o.connOptions())
	p.handleEvent(func(now time.Duration) {
		p.cancelAllowed = s.CancelAllowed
		p.balancer.Configure(now, s)
	})
}

// SetMaxConns sets how many connections to endpoints may be open at once. Idle ones beyond that are
// closed.
func (p *Pool) SetMaxConns(n int) { p.conns.SetMaxConns(n) }

// Gauges are the numbers of a Pool that can be read at any time without waiting for its lock.
type Gauges struct {
	RequestsWritten int64 // requests written completely, so far
	Listed          int   // endpoints
	Unselectable    int   // of them, disabled or not chosen by the Balancer at present
}

// Gauges returns the numbers as of the latest event. It takes no lock that requests take.
func (p *Pool) Gauges() Gauges {
	return Gauges{
		RequestsWritten: p.conns.RequestsWritten(),
		Listed:          int(p.counts.listed.Load()),
		Unselectable:    int(p.counts.unselectable.Load()),
	}
}

// Stats are a Pool's numbers at one moment.
type Stats struct {
	Calls       int `json:"calls"`       // in flight
	Ready       int `json:"ready"`       // endpoints that take new requests
	Draining    int `json:"draining"`    // endpoints that do not
	Connections int `json:"connections"` // open to endpoints, idle ones included
}

// Stats returns the present numbers.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.conns.Counts()
	return Stats{
		Calls: p.calls.size(), Ready: conns.Accepting, Draining: conns.Draining, Connections: conns.Open,
	}
}
