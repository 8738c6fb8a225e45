package connpool

import "time"

// endpointConns is what a Pool knows of one endpoint. The Pool's mu guards it.
//
// An endpoint that is removed and listed again gets a new endpointConns. Connections of the old one
// are closed after their exchange, since its accepting is false from then on.
type endpointConns struct {
	addr        string
	accepting   bool      // whether the endpoint takes new requests, so that connections are worth keeping
	listedStart time.Time // the endpoint's start as it was listed
	startedAt   time.Time // the same, or the time of the listing if that was earlier
	lastFailure string    // how the latest attempt that failed did so; empty once one has succeeded
	idle        idleConns
}

// isCurrent reports whether a connection leads to the endpoint as it is now, at its present address
// and since its latest start, and whether the endpoint takes new requests. A connection from before
// a restart has no process at the other end, even if no close was received: the machine may have
// failed. The Pool's mu must be held.
func (e *endpointConns) isCurrent(c *conn) bool {
	return e.accepting && e.addr == c.dialedAddr && !c.connectedAt.Before(e.startedAt)
}

// SetEndpoint sets an endpoint's address and whether it takes new requests. Idle connections to an
// old address, or to an endpoint that takes no new requests, are closed.
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
	e.addr = addr
	e.accepting = accepting
}

// SetStartTime sets when an endpoint started. Idle connections from before that are closed. A start
// in the future counts as one at this moment: otherwise a clock that is ahead would prevent the use
// of all connections.
func (p *Pool) SetStartTime(id string, start time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[id]
	if e == nil || !start.After(e.listedStart) {
		return
	}
	e.listedStart = start
	e.startedAt = start
	if now := time.Now(); start.After(now) {
		e.startedAt = now
	}
	p.closeIdleUnlessLocked(e, e.isCurrent)
}

// RemoveEndpoint removes an endpoint and closes its idle connections. Connections in use are closed
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

// Counts are the numbers of a Pool at one moment.
type Counts struct {
	Accepting int // endpoints that take new requests
	Draining  int // endpoints that do not
	Open      int // connections that are open or being dialed, idle ones included
}

// Counts returns the present numbers.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := Counts{Open: p.openConns}
	for _, e := range p.endpoints {
		if e.accepting {
			counts.Accepting++
		} else {
			counts.Draining++
		}
	}
	return counts
}

// EndpointStatus returns how many connections to an endpoint are idle, and how the latest failed
// attempt there failed. The failure is empty if no attempt has failed since the latest success.
func (p *Pool) EndpointStatus(id string) (idle int, lastFailure string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		return len(e.idle), e.lastFailure
	}
	return 0, ""
}

// recordFailure notes how an attempt at an endpoint failed.
func (p *Pool) recordFailure(id string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		e.lastFailure = err.Error()
	}
}
