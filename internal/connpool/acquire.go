package connpool

import (
	"context"
	"time"
)

// reservation is what reserveConn grants: an idle connection, or the right to dial one.
type reservation struct {
	conn       *conn         // nil: dial
	quarantine time.Duration // of conn, counted from its idleSince

	endpoint    *endpointConns
	addr        string
	dialTimeout time.Duration
}

// acquireConn returns an idle connection to the endpoint, once its quarantine is over, or else
// dials one. The error is an errNoConnection if none could be tried, else that of the dial.
func (p *Pool) acquireConn(a *Attempt, id string) (*conn, error) {
	r, err := p.reserveConn(id)
	if err != nil {
		return nil, err
	}
	if r.conn != nil {
		p.waitForQuarantine(a, r.conn, r.quarantine)
		return r.conn, nil
	}
	return p.dialConn(a, r)
}

// reserveConn takes an idle connection. One in quarantine is taken if there is no other: a short
// wait costs less than a new connection. With none idle it counts a new connection as open, which
// its caller has to dial.
func (p *Pool) reserveConn(id string) (reservation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[id]
	if e == nil || !e.accepting {
		return reservation{}, errNotAccepting
	}
	now := time.Now()
	for len(e.idle) > 0 {
		c := e.idle.takeBest(now, p.idlePolicy.quarantine)
		if p.usableLocked(c, now) {
			return reservation{conn: c, quarantine: p.idlePolicy.quarantine}, nil
		}
		p.closeLocked(c)
	}
	if p.openConns >= p.maxConns && !p.evictOldestIdleLocked() {
		return reservation{}, errConnLimit
	}
	p.openConns++
	return reservation{endpoint: e, addr: e.addr, dialTimeout: p.dialTimeout}, nil
}

// dialConn dials the connection that a reservation counts as open.
func (p *Pool) dialConn(a *Attempt, r reservation) (*conn, error) {
	c, err := p.dialReserved(a, r)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.openConns--
	}
	return c, err
}

// dialReserved dials until the dial timeout, the attempt's deadline or its cancellation. No lock is
// held meanwhile: checkBeforeWrite finds what changes during the dial.
func (p *Pool) dialReserved(a *Attempt, r reservation) (*conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), a.Deadline)
	defer cancel()
	ctx, cancelDial := context.WithTimeout(ctx, r.dialTimeout)
	defer cancelDial()
	if !a.setInProgress(cancelableWait{cancelDial}) {
		return nil, context.Canceled
	}
	nc, err := p.dialWithRetry(ctx, r.addr)
	if err != nil {
		return nil, err
	}
	c, err := newConn(nc, r.endpoint, r.addr)
	if err != nil {
		nc.Close()
		return nil, err
	}
	return c, nil
}

// waitForQuarantine returns when the quarantine of an idle connection is over or the attempt is
// canceled, which the next setInProgress reports. No lock is held meanwhile.
func (p *Pool) waitForQuarantine(a *Attempt, c *conn, quarantine time.Duration) {
	until := c.idleSince.Add(quarantine)
	if !time.Now().Before(until) {
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	if a.setInProgress(cancelableWait{cancel}) {
		p.waitUntilDone(ctx)
	}
}
