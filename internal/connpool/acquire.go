package connpool

import (
	"context"
	"time"
)

// reservation is the result of reserveConn: an idle connection and its quarantine, or the endpoint,
// address and timeout with which the caller has to dial a new connection.
type reservation struct {
	conn       *conn         // nil: none is usable
	quarantine time.Duration // how long conn must not be used, counted from its idleSince

	endpoint    *endpointConns
	addr        string
	dialTimeout time.Duration
}

// acquireConn returns an idle connection to the endpoint, after waiting for its quarantine to end,
// or dials a new one if none is idle. The error wraps errNoConnection if the endpoint accepts no
// requests or the connection limit is reached. Otherwise it says why no connection was established;
// it is context.Canceled if the attempt was canceled before the dial.
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

// reserveConn takes an idle connection out of the pool. It takes one that is in quarantine if there
// is no other, because a short wait costs less than a new connection. If no connection is idle, it
// counts a new one as open, which the caller has to dial. At the connection limit, it first closes
// the connection to any other endpoint that has been idle longest; the error is errConnLimit if
// there is none.
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

// dialConn dials the connection that reserveConn has counted as open, and corrects the count if the
// dial fails.
func (p *Pool) dialConn(a *Attempt, r reservation) (*conn, error) {
	c, err := p.dialReserved(a, r)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.openConns--
	}
	return c, err
}

// dialReserved dials a connection. The dial ends at the dial timeout, at the attempt's deadline or
// when the attempt is canceled. No lock is held during the dial: checkBeforeWrite detects what has
// changed meanwhile.
func (p *Pool) dialReserved(a *Attempt, r reservation) (*conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), a.endsAt())
	defer cancel()
	ctx, cancelDial := context.WithTimeout(ctx, r.dialTimeout)
	defer cancelDial()
	if !a.setInProgress(cancelCloser{cancelDial}) {
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

// waitForQuarantine blocks until the quarantine of an idle connection ends or the attempt is
// canceled. The next call of setInProgress reports a cancellation. No lock is held during the wait.
func (p *Pool) waitForQuarantine(a *Attempt, c *conn, quarantine time.Duration) {
	until := c.idleSince.Add(quarantine)
	if !time.Now().Before(until) {
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	if a.setInProgress(cancelCloser{cancel}) {
		p.waitUntilDone(ctx)
	}
}
