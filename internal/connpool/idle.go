package connpool

import (
	"context"
	"time"
)

// sweepInterval is the time between two checks of all idle connections.
const sweepInterval = 100 * time.Millisecond

// Run closes idle connections that are closed at the other end or have been idle for too long,
// until ctx is done. Then it closes all idle connections and returns.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeAllIdle()
			return
		case now := <-ticker.C:
			p.closeUnusableIdle(now)
		}
	}
}

// closeUnusableIdle closes the idle connections that may not be reused.
func (p *Pool) closeUnusableIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		p.closeIdleUnlessLocked(e, func(c *conn) bool { return p.usableLocked(c, now) })
	}
}

// closeAllIdle closes all idle connections.
func (p *Pool) closeAllIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		p.closeIdleLocked(e)
	}
}

// usableLocked reports whether an idle connection may carry another request. The policy learns from
// one that the endpoint has closed. mu must be held.
func (p *Pool) usableLocked(c *conn, now time.Time) bool {
	idleFor := now.Sub(c.idleSince)
	if c.hasPendingInput() {
		p.idlePolicy.observeClose(idleFor)
		return false
	}
	return p.idlePolicy.allowsReuse(idleFor)
}

// releaseConn makes a connection idle, for the next attempt, unless its endpoint has changed
// meanwhile or too many are open. A response has been read from it completely, so the endpoint's
// latest failure is forgotten.
func (p *Pool) releaseConn(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.endpoint.isCurrent(c) || p.openConns > p.maxConns {
		p.closeLocked(c)
		return
	}
	c.idleSince = time.Now()
	c.endpoint.lastFailure = ""
	c.endpoint.idle.add(c)
}

// closeConn closes a connection that is in use.
func (p *Pool) closeConn(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

// closeLocked closes a connection. An idle one has to be removed from its idleConns by the caller.
// mu must be held: the close and the count change together.
func (p *Pool) closeLocked(c *conn) {
	c.Close()
	p.openConns--
}

// closeIdleLocked closes an endpoint's idle connections. mu must be held.
func (p *Pool) closeIdleLocked(e *endpointConns) {
	p.closeIdleUnlessLocked(e, func(*conn) bool { return false })
}

// closeIdleUnlessLocked closes an endpoint's idle connections but for those that isUsable reports
// as usable. mu must be held.
func (p *Pool) closeIdleUnlessLocked(e *endpointConns, isUsable func(*conn) bool) {
	e.idle.removeIf(func(c *conn) bool {
		if isUsable(c) {
			return false
		}
		p.closeLocked(c)
		return true
	})
}

// evictOldestIdleLocked closes the connection that has been idle longest, of all endpoints, and
// reports whether there was one. mu must be held.
func (p *Pool) evictOldestIdleLocked() bool {
	var oldest *endpointConns
	for _, e := range p.endpoints {
		if len(e.idle) > 0 && (oldest == nil || e.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	p.closeLocked(oldest.idle.takeOldest())
	return true
}
