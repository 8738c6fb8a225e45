package connpool

import (
	"slices"
	"time"
)

// endpointConns is what a Pool knows of one endpoint. The Pool's mu guards it.
//
// An endpoint that is removed and listed again gets a new endpointConns. Connections of the old one
// belong to nothing any more, since its accepting is false from then on.
type endpointConns struct {
	addr        string
	accepting   bool      // whether the endpoint takes new requests, so that connections are worth keeping
	listedStart time.Time // the endpoint's start as it was listed
	startedAt   time.Time // the same, or the time of the listing if that was earlier
	lastFailure string    // how the latest attempt that failed did so; empty once one has succeeded
	idle        []*conn   // in the order in which they became idle, the most recent last
}

// isCurrent reports whether a connection leads to the endpoint as it is now, at its present address
// and since its latest start, and whether the endpoint takes new requests. Nobody is at the other
// end of a connection from before a restart, even if no close was received: the machine may have
// vanished. The Pool's mu must be held.
func (e *endpointConns) isCurrent(c *conn) bool {
	return e.accepting && e.addr == c.dialedAddr && !c.connectedAt.Before(e.startedAt)
}

// countQuarantined returns how many idle connections are still in quarantine. They are the last
// ones of idle. The Pool's mu must be held.
func (e *endpointConns) countQuarantined(now time.Time, quarantine time.Duration) int {
	n := 0
	for n < len(e.idle) && now.Sub(e.idle[len(e.idle)-1-n].idleSince) < quarantine {
		n++
	}
	return n
}

// SetEndpoint sets an endpoint's address and whether it takes new requests. Idle connections to an
// old address, or to an endpoint that takes nothing new, are closed.
func (p *Pool) SetEndpoint(id, addr string, accepting bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[id]
	if e == nil {
		e = &endpointConns{}
		p.endpoints[id] = e
	}
	if e.addr != addr || !accepting {
		p.closeIdleLocked(e)
	}
	e.addr, e.accepting = addr, accepting
}

// SetStartTime sets when an endpoint started. Idle connections from before that are closed. A start
// in the future counts as one at this moment: else a clock that is ahead would keep all connections
// from being used.
func (p *Pool) SetStartTime(id string, start time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[id]
	if e == nil || !start.After(e.listedStart) {
		return
	}
	e.listedStart, e.startedAt = start, start
	if now := time.Now(); start.After(now) {
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

// RemoveEndpoint forgets an endpoint and closes its idle connections. Connections in use are closed
// when their exchange ends.
func (p *Pool) RemoveEndpoint(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		p.closeIdleLocked(e)
		e.accepting = false
		delete(p.endpoints, id)
	}
}
