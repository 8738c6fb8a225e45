package connpool

import "time"

// endpointConns is a Pool's state for one endpoint. The Pool's mu guards it.
//
// An endpoint that is removed and set again gets a new endpointConns. In the old one, accepting
// stays false, so that its connections in use are closed after their exchange.
type endpointConns struct {
	addr        string
	accepting   bool      // whether the endpoint takes new requests; if not, its connections are not kept
	listedStart time.Time // the endpoint's start time according to the endpoint list
	startedAt   time.Time // listedStart or, if that was in the future when SetStartTime was called, the time of the call
	lastFailure string    // error text of the endpoint's latest failure; cleared when a connection becomes idle
	idle        idleConns
}

// isCurrent reports whether the endpoint takes new requests and the connection leads to its present
// address and was established after its latest start. A connection from before a restart has no
// process at the other end, even if no close was received: the machine may have failed. The Pool's
// mu must be held.
func (e *endpointConns) isCurrent(c *conn) bool {
	return e.accepting && e.addr == c.dialedAddr && !c.connectedAt.Before(e.startedAt)
}

// SetEndpoint adds an endpoint, or updates its address and whether it takes new requests. Idle
// connections to an old address, or to an endpoint that takes no new requests, are closed.
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

// SetStartTime sets when an endpoint started, if that is later than its known start. Idle
// connections that were established before are closed. A start in the future is taken as the
// present time: otherwise a clock that is ahead would prevent the use of all connections.
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

// Counts are the numbers of a Pool's endpoints and connections at one moment.
type Counts struct {
	Accepting int // endpoints that take new requests
	Draining  int // endpoints that do not
	Open      int // connections that are open or being dialed, idle ones included
}

// Counts returns the present numbers of endpoints and connections.
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

// EndpointStatus returns how many connections to an endpoint are idle, and the error text of the
// latest RoundTrip that counts as a failure of the endpoint, which NotSent and Canceled do not. The
// text is empty if there was none since a connection to the endpoint last became idle after a
// complete response.
func (p *Pool) EndpointStatus(id string) (idle int, lastFailure string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		return len(e.idle), e.lastFailure
	}
	return 0, ""
}

// recordFailure records an error that counts as a failure of the endpoint, for EndpointStatus.
func (p *Pool) recordFailure(id string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		e.lastFailure = err.Error()
	}
}
