package proxy

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxInterimResponses = 8 // 1xx answers ahead of the one that counts
	sweepInterval       = 100 * time.Millisecond
	minIdleAge          = 100 * time.Millisecond // idle connections this young are used whatever closes were seen
	defaultIdleTimeout  = 15 * time.Second
	defaultDialTimeout  = 250 * time.Millisecond
	idleTimeoutFraction = 0.9 // of the endpoint's idle limit, after which a connection is no longer used
	declinedHeader      = "Srv-Declined"
)

// connPool makes attempts over connections of its own. net/http's Transport is not used: it sends some requests
// again by itself when a reused connection breaks, which is a second copy, and dials spare connections.
type connPool struct {
	dial            func(ctx context.Context, network, addr string) (net.Conn, error)
	waitUntilDone   func(ctx context.Context) // until its end
	passThrough     bool                      // answers below 500 are passed on as they are
	requestsWritten atomic.Int64              // requests, whole

	mu                  sync.Mutex
	dialTimeout         time.Duration
	maxConns            int           // connections open at once
	quarantine          time.Duration // for which a connection rests after an answer
	endpointIdleTimeout time.Duration // as the options say
	maxIdleAge          time.Duration // after which an idle connection is no longer used
	openConns           int
	endpoints           map[string]*endpointConns // by endpoint id
}

// endpointConns holds the idle connections to one endpoint, the one used last at the end.
type endpointConns struct {
	addr        string
	accepting   bool      // connections are worth keeping
	listedStart time.Time // when the endpoint has started, as the roster says,
	startedAt   time.Time // and as that can be true; nobody is at the other end of connections from before, though they may say nothing
	lastFailure string    // how the latest attempt that failed did so; empty once one has succeeded
	idle        []*conn
}

// countQuarantined is how many of the idle connections have not rested yet: those at the end.
func (e *endpointConns) countQuarantined(now time.Time, settle time.Duration) int {
	n := 0
	for n < len(e.idle) && now.Sub(e.idle[len(e.idle)-1-n].idleSince) < settle {
		n++
	}
	return n
}

// isCurrent tells whether a connection to the endpoint leads to what it is now, and is worth keeping. The upstream's lock is held.
func (e *endpointConns) isCurrent(c *conn) bool {
	return e.accepting && e.addr == c.dialedAddr && !c.connectedAt.Before(e.startedAt)
}

func newConnPool(o Options) *connPool {
	u := &connPool{dial: (&net.Dialer{}).DialContext, waitUntilDone: func(ctx context.Context) { <-ctx.Done() }, passThrough: o.PassThrough, endpoints: map[string]*endpointConns{}}
	u.Configure(o)
	return u
}

// Configure sets the limits. How soon endpoints were seen to close stands until the options say something new.
func (p *connPool) Configure(o Options) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.ConnIdle <= 0 {
		o.ConnIdle = defaultIdleTimeout
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if p.endpointIdleTimeout != o.ConnIdle {
		p.endpointIdleTimeout, p.maxIdleAge = o.ConnIdle, time.Duration(float64(o.ConnIdle)*idleTimeoutFraction)
	}
	p.dialTimeout, p.maxConns, p.quarantine = o.DialTimeout, o.MaxConns, o.Quarantine
}

// SetMaxConns sets how many connections may be open at once.
func (p *connPool) SetMaxConns(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = most
	for p.openConns > p.maxConns && p.evictOldestIdleLocked() {
		continue
	}
}

// Counts tells how many endpoints may be sent to, how many not, and how many connections are open.
func (p *connPool) Counts() (ready, draining, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		if e.accepting {
			ready++
		} else {
			draining++
		}
	}
	return ready, draining, p.openConns
}

// SetEndpoint says where an endpoint is and whether connections to it are worth keeping. Those to an old address, or
// to an endpoint that takes nothing new, are closed.
func (p *connPool) SetEndpoint(id, addr string, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[id]
	if e == nil {
		e = &endpointConns{}
		p.endpoints[id] = e
	}
	if e.addr != addr || !keep {
		p.closeIdleLocked(e)
	}
	e.addr, e.accepting = addr, keep
}

// SetStartTime says when an endpoint has started. Idle connections from before that are closed. A start in the future is one by now: else a
// clock that is ahead would keep all connections from being used.
func (p *connPool) SetStartTime(id string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[id]
	if e == nil || !at.After(e.listedStart) {
		return
	}
	e.listedStart, e.startedAt = at, at
	if now := time.Now(); at.After(now) {
		e.startedAt = now
	}
	e.idle = slices.DeleteFunc(e.idle, func(c *conn) bool {
		if e.isCurrent(c) {
			return false
		}
		p.closeLocked(c)
		return true
	})
}

// RemoveEndpoint forgets an endpoint.
func (p *connPool) RemoveEndpoint(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		p.closeIdleLocked(e)
		e.accepting = false
		delete(p.endpoints, id)
	}
}

// closeIdleLocked closes a pool's idle connections. u.mu is held.
func (p *connPool) closeIdleLocked(e *endpointConns) {
	for _, c := range e.idle {
		p.closeLocked(c)
	}
	e.idle = nil
}

func (p *connPool) closeLocked(c *conn) {
	c.Close()
	p.openConns--
}

func (p *connPool) closeConn(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

// EndpointStatus tells how many connections to an endpoint are idle, and how the latest attempt there failed, if it did.
func (p *connPool) EndpointStatus(id string) (idle int, fault string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		return len(e.idle), e.lastFailure
	}
	return 0, ""
}

// recordFailure notes how an attempt failed.
func (p *connPool) recordFailure(id string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		e.lastFailure = err.Error()
	}
}

// Run closes idle connections that have died or stood too long, until ctx ends; then it closes all idle ones.
func (p *connPool) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.sweepIdle(func(*conn) bool { return false })
			return
		case now := <-tick.C:
			p.sweepIdle(func(c *conn) bool { return p.usableLocked(c, now) })
		}
	}
}

func (p *connPool) sweepIdle(keep func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		kept := e.idle[:0]
		for _, c := range e.idle {
			if keep(c) {
				kept = append(kept, c)
			} else {
				p.closeLocked(c)
			}
		}
		clear(e.idle[len(kept):])
		e.idle = kept
	}
}

// usableLocked tells whether an idle connection may carry another request, and learns from one that its endpoint has closed.
// Endpoints may close sooner than the settings say, and a request that crosses the close ends as a reset and may not be
// sent again. So from the first close seen on, connections are used for half of the shortest such time only. A close right
// behind an answer says nothing of how long endpoints keep what is idle. u.mu is held.
func (p *connPool) usableLocked(c *conn, now time.Time) bool {
	idle := now.Sub(c.idleSince)
	if !c.quiet() {
		if idle > p.quarantine+sweepInterval { // else it may have come while the connection rested
			p.maxIdleAge = min(p.maxIdleAge, max(idle/2, minIdleAge))
		}
		return false
	}
	return idle < p.maxIdleAge
}

// reserveConn takes the idle connection used last of those that have rested, or else the one that will have first, within the time
// returned from its latest answer: a short rest costs less than a new connection. With none idle it takes the right to open one to the
// address returned, within the time returned.
func (p *connPool) reserveConn(id string) (e *endpointConns, addr string, within time.Duration, c *conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e = p.endpoints[id]
	if e == nil || !e.accepting {
		return nil, "", 0, nil, errNoConnection
	}
	now := time.Now()
	for len(e.idle) > 0 {
		i := max(len(e.idle)-1-e.countQuarantined(now, p.quarantine), 0)
		c := e.idle[i]
		e.idle = slices.Delete(e.idle, i, i+1)
		if p.usableLocked(c, now) {
			return e, e.addr, p.quarantine, c, nil
		}
		p.closeLocked(c)
	}
	if p.openConns >= p.maxConns && !p.evictOldestIdleLocked() {
		return nil, "", 0, nil, errNoConnection
	}
	p.openConns++
	return e, e.addr, p.dialTimeout, nil, nil
}

// evictOldestIdleLocked closes the connection that has been idle longest, wherever it leads. u.mu is held.
func (p *connPool) evictOldestIdleLocked() bool {
	var oldest *endpointConns
	for _, e := range p.endpoints {
		if len(e.idle) > 0 && (oldest == nil || e.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	p.closeLocked(oldest.idle[0])
	oldest.idle = append(oldest.idle[:0], oldest.idle[1:]...)
	return true
}

// releaseConn keeps a connection for the next attempt, if the endpoint is still where it leads.
func (p *connPool) releaseConn(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.endpoint.isCurrent(c) || p.openConns > p.maxConns {
		p.closeLocked(c)
		return
	}
	c.idleSince, c.endpoint.lastFailure = time.Now(), ""
	c.endpoint.idle = append(c.endpoint.idle, c)
}
