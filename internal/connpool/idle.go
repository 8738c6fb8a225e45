package connpool

import (
	"context"
	"time"
)

const (
	sweepInterval = 100 * time.Millisecond // between two checks of all idle connections
	minIdleAge    = 100 * time.Millisecond // idle connections this young are reused whatever closes were seen
)

// Run closes idle connections that have died or have been idle for too long, until ctx is done.
// Then it closes all idle connections and returns.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.sweepIdle(func(*conn) bool { return false })
			return
		case now := <-ticker.C:
			p.sweepIdle(func(c *conn) bool { return p.usableLocked(c, now) })
		}
	}
}

// sweepIdle closes the idle connections for which keep returns false. It calls keep with mu held.
func (p *Pool) sweepIdle(keep func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		remaining := e.idle[:0]
		for _, c := range e.idle {
			if keep(c) {
				remaining = append(remaining, c)
			} else {
				p.closeLocked(c)
			}
		}
		clear(e.idle[len(remaining):])
		e.idle = remaining
	}
}

// usableLocked reports whether an idle connection may carry another request, and learns from one
// that its endpoint has closed.
//
// Endpoints may close sooner than the options say, and a request that crosses the close ends as a
// reset, which may not be retried if the request must not run twice. So from the first close seen
// on, connections are reused for half of the shortest idle time that ended in a close. A close
// right behind a response says nothing of how long endpoints keep idle connections. mu must be
// held.
func (p *Pool) usableLocked(c *conn, now time.Time) bool {
	idleFor := now.Sub(c.idleSince)
	if c.hasPendingInput() {
		if idleFor > p.quarantine+sweepInterval { // else it may have come during the quarantine
			p.maxIdleAge = min(p.maxIdleAge, max(idleFor/2, minIdleAge))
		}
		return false
	}
	return idleFor < p.maxIdleAge
}

// releaseConn keeps a connection for the next attempt, unless its endpoint has changed meanwhile or
// too many are open. A response has been read from it completely, so the endpoint's latest failure
// is forgotten.
func (p *Pool) releaseConn(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.endpoint.isCurrent(c) || p.openConns > p.maxConns {
		p.closeLocked(c)
		return
	}
	c.idleSince, c.endpoint.lastFailure = time.Now(), ""
	c.endpoint.idle = append(c.endpoint.idle, c)
}

// closeConn closes a connection that is in use.
func (p *Pool) closeConn(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

// closeLocked closes a connection. The caller takes it out of the idle ones where it is one of
// them. mu must be held: the close and the count change together.
func (p *Pool) closeLocked(c *conn) {
	c.Close()
	p.openConns--
}

// closeIdleLocked closes an endpoint's idle connections. mu must be held.
func (p *Pool) closeIdleLocked(e *endpointConns) {
	for _, c := range e.idle {
		p.closeLocked(c)
	}
	e.idle = nil
}

// evictOldestIdleLocked closes the connection that has been idle longest, at whatever endpoint, and
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
	p.closeLocked(oldest.idle[0])
	oldest.idle = append(oldest.idle[:0], oldest.idle[1:]...)
	return true
}
