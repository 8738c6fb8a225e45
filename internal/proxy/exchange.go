package proxy

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"net/http"
	"os"
	"time"

	"rowancart/balancer"
)

// waitForQuarantine returns when an idle connection has rested, or the attempt is called off: the next hold tells.
func (p *connPool) waitForQuarantine(l *AttemptControl, c *conn, settle time.Duration) {
	until := c.idleSince.Add(settle)
	if !time.Now().Before(until) {
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	if l.setInProgress(cancelableWait{cancel}) {
		p.waitUntilDone(ctx)
	}
}

// acquireConn returns an idle connection to the endpoint, once it has rested, or else dials one.
func (p *connPool) acquireConn(l *AttemptControl, id string) (*conn, error) {
	e, addr, within, c, err := p.reserveConn(id)
	if c != nil {
		p.waitForQuarantine(l, c, within)
	}
	if c != nil || err != nil {
		return c, err
	}
	ctx, cancel := context.WithDeadline(context.Background(), l.Deadline)
	defer cancel()
	ctx, cancelDial := context.WithTimeout(ctx, within)
	defer cancelDial()
	if l.setInProgress(cancelableWait{cancelDial}) {
		var nc net.Conn
		if nc, err = p.dial(ctx, "tcp", addr); err == nil {
			if c, err = newConn(nc, e, addr); err == nil {
				return c, nil
			}
			nc.Close()
		}
	} else {
		err = context.Canceled
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns--
	return nil, err
}

// RoundTrip sends a request once and tells by evidence how that ended. When it was called off or its time is over, the
// connection is closed before attempt returns: no second attempt can be out beside this one.
func (p *connPool) RoundTrip(l *AttemptControl, id string, m *RequestMessage) (balancer.Result, Response) {
	for {
		c, err := p.acquireConn(l, id)
		if errors.Is(err, errNoConnection) {
			return balancer.NotSent, Response{}
		}
		if err != nil {
			if !l.isCanceled() {
				p.recordFailure(id, err)
			}
			return l.unlessCanceled(balancer.ConnectFailed), Response{}
		}
		if !l.setInProgress(c) || c.SetDeadline(l.Deadline) != nil {
			p.closeConn(c)
			return l.unlessCanceled(balancer.ConnectFailed), Response{}
		}
		used := !c.idleSince.IsZero()
		result, a, reusable, err := p.exchange(c, l, m)
		if errors.Is(err, errStaleConn) && used && l.setInProgress(nil) { // its endpoint has done with it: nothing was asked, another one will do
			p.closeConn(c)
			continue
		}
		if err != nil && result != balancer.Canceled && result != balancer.NotSent {
			p.recordFailure(id, err)
		}
		held := l.setInProgress(nil)
		switch {
		case held && a.Stream != nil: // the connection is the stream's
			return result, a
		case held && reusable:
			p.releaseConn(c)
		default:
			p.closeConn(c)
		}
		if a.Stream != nil {
			return balancer.Canceled, Response{}
		}
		return result, a
	}
}

// checkBeforeWrite tells whether a request may go out on a connection now, or why not. It is the last look before the first byte: while the
// connection came up, the list or the operators may have taken its endpoint out, the endpoint may have closed or begun to talk,
// and the caller may have left. What goes out from here on was right when it did.
func (p *connPool) checkBeforeWrite(c *conn, l *AttemptControl) error {
	p.mu.Lock()
	wanted := c.endpoint.isCurrent(c)
	p.mu.Unlock()
	switch {
	case !wanted:
		return errEndpointRemoved
	case l.ClientGone != nil && l.ClientGone():
		return errClientGone
	case !c.quiet():
		return errStaleConn
	}
	return nil
}

// resultOfBrokenRead is the outcome of an attempt whose last byte was written and whose whole answer has not come.
func (a *AttemptControl) resultOfBrokenRead(err error) balancer.Result {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return a.unlessCanceled(balancer.TimedOut)
	}
	return a.unlessCanceled(balancer.Reset)
}

// exchange writes the request and reads the answer, whole or, where it is long, its beginning.
func (p *connPool) exchange(c *conn, l *AttemptControl, m *RequestMessage) (r balancer.Result, a Response, reusable bool, err error) {
	if err := p.checkBeforeWrite(c, l); err != nil {
		return l.resultOfUnsent(err), Response{}, false, err
	}
	if err := c.writeRequest(l, m); err != nil {
		return p.resultOfPartialWrite(c, l, m, err)
	}
	l.markRequestWritten()
	p.requestsWritten.Add(1)
	if m.Upload != nil && l.OnRequestWritten != nil {
		l.OnRequestWritten()
	}
	a, last, err := c.readResponse(p, m.Method, l.Deadline)
	if err != nil {
		return l.resultOfBrokenRead(err), Response{}, false, err
	}
	reusable = !last && a.Stream == nil && c.reader.Buffered() == 0
	switch {
	case p.passesThrough(a.Status):
		if p.passThrough {
			a.Header = EndToEnd(a.Header)
		} else {
			maps.DeleteFunc(a.Header, func(name string, _ []string) bool { return name != "Content-Type" })
		}
		return balancer.OK, a, reusable, nil
	case isUnavailable(a.Status) && a.Header.Get(declinedHeader) == "1":
		return balancer.Rejected, Response{}, reusable, errDeclined
	}
	return balancer.Errored, Response{}, reusable, fmt.Errorf("the answer was %d", a.Status)
}

// passesThrough tells whether an answer goes on to the caller.
func (p *connPool) passesThrough(status int) bool {
	return status == http.StatusOK || p.passThrough && status < http.StatusInternalServerError
}

// resultOfUnsent tells how an attempt ended of which not a byte went out.
func (a *AttemptControl) resultOfUnsent(err error) balancer.Result {
	if errors.Is(err, errStaleConn) { // a new connection that breaks at once, or on which an answer stands that was not asked for
		return a.unlessCanceled(balancer.ConnectFailed)
	}
	return a.unlessCanceled(balancer.NotSent)
}

// maxBodyLength is how many bytes an answer's body may have. What a relay passes on has no bound that an engine knows of.
func (p *connPool) maxBodyLength() int64 {
	if p.passThrough {
		return math.MaxInt64
	}
	return MaxStreamedBody
}

// resultOfPartialWrite tells how an attempt ended that was not written whole. An endpoint begins a request when its last byte has come: it has
// not run, unless the endpoint says otherwise in an answer ahead of that.
func (p *connPool) resultOfPartialWrite(c *conn, l *AttemptControl, m *RequestMessage, err error) (balancer.Result, Response, bool, error) {
	if errors.Is(err, errUploadFailed) {
		return balancer.NotSent, Response{}, false, err // nothing that tells of the endpoint
	}
	if m.Upload == nil || l.isCanceled() {
		return l.unlessCanceled(balancer.ConnectFailed), Response{}, false, err
	}
	if c.SetReadDeadline(time.Now().Add(earlyResponseTimeout)) == nil {
		if a, _, early := c.readResponse(p, m.Method, time.Now().Add(earlyResponseTimeout)); early == nil {
			switch {
			case a.Status == http.StatusOK && a.Stream == nil:
				maps.DeleteFunc(a.Header, func(name string, _ []string) bool { return name != "Content-Type" })
				return balancer.OK, a, false, nil
			case isUnavailable(a.Status) && a.Header.Get(declinedHeader) == "1":
				return balancer.Rejected, Response{}, false, errDeclined
			}
			return balancer.Rejected, Response{}, false, fmt.Errorf("the answer ahead of the body's end was %d", a.Status)
		}
	}
	return l.unlessCanceled(balancer.ConnectFailed), Response{}, false, err
}

func isUnavailable(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}
