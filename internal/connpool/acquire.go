package connpool

import (
	"context"
	"net"
	"slices"
	"time"
)

// reservation is what reserveConn grants: an idle connection, or the right to dial one.
type reservation struct {
	conn       *conn         // nil: dial
	quarantine time.Duration // of conn, from its idleSince on

	endpoint    *endpointConns
	addr        string
	dialTimeout time.Duration
}

// acquireConn returns an idle connection to the endpoint, once its quarantine is over, or else
// dials one. The error is errNoConnection where none could be tried, else that of the dial.
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

// reserveConn takes the most recently used idle connection past its quarantine, or else the one
// whose quarantine ends first: a short wait costs less than a new connection. With none idle it
// counts a new connection as open, which the caller has to dial.
func (p *Pool) reserveConn(id string) (reservation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[id]
	if e == nil || !e.accepting {
		return reservation{}, errNoConnection
	}
	now := time.Now()
	for len(e.idle) > 0 {
		i := max(len(e.idle)-1-e.countQuarantined(now, p.quarantine), 0)
		c := e.idle[i]
		e.idle = slices.Delete(e.idle, i, i+1)
		if p.usableLocked(c, now) {
			return reservation{conn: c, quarantine: p.quarantine}, nil
		}
		p.closeLocked(c)
	}
	if p.openConns >= p.maxConns && !p.evictOldestIdleLocked() {
		return reservation{}, errNoConnection
	}
	p.openConns++
	return reservation{endpoint: e, addr: e.addr, dialTimeout: p.dialTimeout}, nil
}

// dialConn dials the connection that a reservation counts as open, until the dial timeout, the
// attempt's deadline or its cancellation. No lock is held meanwhile: what changes during the dial
// is seen by checkBeforeWrite.
func (p *Pool) dialConn(a *Attempt, r reservation) (*conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), a.Deadline)
	defer cancel()
	ctx, cancelDial := context.WithTimeout(ctx, r.dialTimeout)
	defer cancelDial()
	err := context.Canceled
	if a.setInProgress(cancelableWait{cancelDial}) {
		var nc net.Conn
		if nc, err = p.dialUntilMade(ctx, r.addr); err == nil {
			var c *conn
			if c, err = newConn(nc, r.endpoint, r.addr); err == nil {
				return c, nil
			}
			nc.Close()
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns--
	return nil, err
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
