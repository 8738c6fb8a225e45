// Package connpool manages the connections to a pool's endpoints and carries out one HTTP/1.1
// exchange at a time on each: it dials, writes a request, reads the response and reuses the
// connection for the next request.
//
// It never retries. A request of which a single byte has been written ends as a response or as an
// *Error, whose kind says what is known: whether the request can have run, and what ended it. The
// Balancer decides whether to retry. net/http's Transport is not used because it resends some
// requests by itself when a reused connection breaks, which would be a second attempt that the
// Balancer did not decide on, and because it dials spare connections.
package connpool

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	defaultIdleTimeout = 15 * time.Second
	defaultDialTimeout = 250 * time.Millisecond
)

// Options configure a Pool.
type Options struct {
	IdleTimeout time.Duration // after which endpoints close an idle connection; 0: 15 s
	DialTimeout time.Duration // after which a dial has failed; 0: 250 ms
	MaxConns    int           // connections open at once, idle ones and dials included
	Quarantine  time.Duration // between a response and the reuse of its connection, see Pool
	PassThrough bool          // whether all responses with a status below 500 are successes; else only 200 is
	DialContext DialFunc      // opens connections; nil: a net.Dialer
}

// DialFunc opens a TCP connection to an address. Its signature is that of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Pool has the connections to the endpoints that were set with SetEndpoint.
//
// A connection that has carried a complete response becomes idle and is in quarantine at first: an
// endpoint that sends a second response sends it soon after the first, and it must not be taken for
// the response to the next request. The most recently used connection past its quarantine is reused
// first.
type Pool struct {
	dial            DialFunc
	waitUntilDone   func(ctx context.Context) // blocks until ctx is done; tests replace it
	passThrough     bool
	requestsWritten atomic.Int64

	// mu guards the fields below, those of every endpointConns, and the idleSince of connections. It
	// is held for bookkeeping and for the calls that don't block (the close of a connection, the
	// check for pending input), never while a connection is dialed, read or written, nor while an
	// attempt waits. No other lock of this package is taken while it is held.
	mu          sync.Mutex
	dialTimeout time.Duration
	maxConns    int
	openConns   int // connections that are open or being dialed
	idlePolicy  idlePolicy
	endpoints   map[string]*endpointConns
}

// New returns a Pool without endpoints.
func New(o Options) *Pool {
	p := &Pool{
		dial:          o.DialContext,
		waitUntilDone: func(ctx context.Context) { <-ctx.Done() },
		passThrough:   o.PassThrough,
		endpoints:     map[string]*endpointConns{},
	}
	if p.dial == nil {
		p.dial = (&net.Dialer{}).DialContext
	}
	p.Configure(o)
	return p
}

// Configure replaces the timeouts and limits; PassThrough and DialContext stay as they were in New.
// What was learned from the endpoints' closes is kept until IdleTimeout changes.
func (p *Pool) Configure(o Options) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	p.dialTimeout = o.DialTimeout
	p.maxConns = o.MaxConns
	p.idlePolicy.configure(o.IdleTimeout, o.Quarantine)
}

// SetMaxConns sets how many connections may be open at once. Idle connections beyond that are
// closed, the oldest first; those in use are closed when their exchange ends.
func (p *Pool) SetMaxConns(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = n
	for p.openConns > p.maxConns && p.evictOldestIdleLocked() {
		continue
	}
}

// RequestsWritten returns how many requests have been written completely so far. It takes no lock.
func (p *Pool) RequestsWritten() int64 { return p.requestsWritten.Load() }
