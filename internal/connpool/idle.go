package connpool

import (
	"context"
	"time"
)

// sweepInterval is the time between two checks of all idle connections.
const sweepInterval = 100 * time.Millisecond

// Run closes idle connections on which a close or data has arrived, and those that have been idle
// for too long, until ctx is done. Then it closes all idle connections and returns.
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

// closeUnusableIdle closes the idle connections that must not be reused.
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

// usableLocked reports whether an idle connection may carry another request. If the endpoint has
// closed it, or sent data on it, the idle policy learns from how long it had been idle. mu must be
// held.
func (p *Pool) usableLocked(c *conn, now time.Time) bool {
	idleFor := now.Sub(c.idleSince)
	if c.hasPendingInput() {
		p.idlePolicy.observeClose(idleFor)
		return false
	}
	return p.idlePolicy.allowsReuse(idleFor)
}

// releaseConn makes a connection idle, so that another attempt can use it. It closes the connection
// instead if the endpoint has changed meanwhile or more connections are open than allowed. A
// response has been read from the connection completely, so the endpoint's latest failure is
// cleared.
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

// closeLocked closes a connection. The caller has to remove an idle one from its idleConns. mu must
// be held, so that the close and the change of the count are one step.
func (p *Pool) closeLocked(c *conn) {
	c.Close()
	p.openConns--
}

// closeIdleLocked closes an endpoint's idle connections. mu must be held.
func (p *Pool) closeIdleLocked(e *endpointConns) {
	p.closeIdleUnlessLocked(e, func(*conn) bool { return false })
}

// closeIdleUnlessLocked closes an endpoint's idle connections for which isUsable returns false. mu
// must be held.
func (p *Pool) closeIdleUnlessLocked(e *endpointConns, isUsable func(*conn) bool) {
	e.idle.removeIf(func(c *conn) bool {
		if isUsable(c) {
			return false
		}
		p.closeLocked(c)
		return true
	})
}

// evictOldestIdleLocked closes the connection that has been idle longest among all endpoints, and
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
