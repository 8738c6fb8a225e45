// Package connpool manages the connections to a pool's endpoints and carries out one HTTP/1.1
// exchange at a time on each: it dials, writes a request, reads the response and reuses the
// connection for the next request.
//
// It never retries a request. Once a byte of a request has been written, the attempt ends with a
// response or an *Error, whose kind says what is known: whether the request can have run, and why
// the attempt failed. The Balancer decides whether to retry. net/http's Transport is not used
// because it resends some requests by itself when a reused connection breaks, which would be a
// second attempt that the Balancer did not decide on, and because it dials spare connections.
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
	DialTimeout time.Duration // after which a dial fails; 0: 250 ms
	MaxConns    int           // maximum number of open connections, including idle ones and dials in progress
	Quarantine  time.Duration // minimum time between a response and the reuse of its connection, see Pool
	PassThrough bool          // whether every status below 500 is a success; otherwise only 200 is
	DialContext DialFunc      // opens connections; nil: that of a net.Dialer
}

// DialFunc opens a TCP connection to an address. Its signature is that of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Pool manages the connections to the endpoints that were set with SetEndpoint.
//
// A connection that has carried a complete response becomes idle, and no request is written to it
// until its quarantine ends. A faulty endpoint that sends a second response does so soon after the
// first, and the second must not be taken for the response to the next request. The most recently
// used connection past its quarantine is reused first.
type Pool struct {
	dial            DialFunc
	waitUntilDone   func(ctx context.Context) // blocks until ctx is done; tests replace it
	passThrough     bool
	requestsWritten atomic.Int64
	bodyConflicts   atomic.Int64 // attempts not sent because another attempt was writing their body

	// mu guards the fields below, the fields of every endpointConns, and the idleSince of idle
	// connections. It is held for bookkeeping and for calls that don't block (closing a connection,
	// checking it for pending input), but never while a connection is dialed, read or written, or
	// while an attempt waits. No other lock of this package is taken while mu is held.
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

// Configure replaces the timeouts and limits. It ignores PassThrough and DialContext, which stay as
// they were in New. The maximum idle time that was learned from endpoints' closes is kept until
// IdleTimeout changes.
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
// closed, starting with the one that has been idle longest. If that is not enough, connections in
// use are closed when their exchange ends.
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

// BodyConflicts returns how many attempts were not sent because another attempt of the same request
// was writing its body. It takes no lock.
func (p *Pool) BodyConflicts() int64 { return p.bodyConflicts.Load() }
