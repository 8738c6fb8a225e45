package connpool

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"time"

	"rowancart/internal/http1"
	"rowancart/internal/platform"
)

const (
	// earlyResponseTimeout is how long a response that arrived ahead of the request's end may take to
	// be read.
	earlyResponseTimeout = 200 * time.Millisecond
)

// RoundTrip sends a request to an endpoint once and returns its response, or an *Error that says
// how the attempt failed.
//
// When the attempt was canceled or its deadline has passed, its connection is closed before
// RoundTrip returns, so that no second attempt can be in flight beside this one. A Response with a
// Stream owns the connection from then on.
func (p *Pool) RoundTrip(a *Attempt, endpoint string, req *Request) (Response, error) {
	for {
		c, err := p.acquireConn(a, endpoint)
		if err != nil {
			return Response{}, p.acquireFailure(a, endpoint, err)
		}
		if !a.setInProgress(c) || c.SetDeadline(a.Deadline) != nil {
			p.closeConn(c)
			return Response{}, a.failure(ConnectFailed, errConnClosed)
		}
		reused := !c.idleSince.IsZero()
		resp, reusable, err := p.exchange(c, a, req)
		if errors.Is(err, errStaleConn) && reused && a.setInProgress(nil) {
			p.closeConn(c) // nothing was sent on it, so another connection will do
			continue
		}
		if isEndpointFailure(err) {
			p.recordFailure(endpoint, err)
		}
		wanted := a.setInProgress(nil)
		switch {
		case wanted && resp.Stream != nil: // the connection is the stream's
			return resp, nil
		case wanted && reusable:
			p.releaseConn(c)
		default:
			p.closeConn(c)
		}
		if resp.Stream != nil {
			return Response{}, &Error{Kind: Canceled, Err: errAttemptCanceled}
		}
		return resp, err
	}
}

// acquireFailure returns the error of an attempt that got no connection.
func (p *Pool) acquireFailure(a *Attempt, endpoint string, err error) error {
	if errors.Is(err, errNoConnection) {
		return &Error{Kind: NotSent, Err: err}
	}
	if isLocalDialError(err) {
		return a.failure(NotSent, err)
	}
	if !a.isCanceled() {
		p.recordFailure(endpoint, err)
	}
	return a.failure(ConnectFailed, err)
}

// checkBeforeWrite returns why a request may not be written to a connection now, or nil. It is the
// last check before the first byte: while the connection came up, or its quarantine passed, the
// endpoint list or the operators may have taken the endpoint out, the endpoint may have closed the
// connection or begun to write, the time for a retry may be over, and the client may have
// disconnected. What is sent from here on was right when it was sent.
//
// Only the look at the endpoint takes mu. ClientDisconnected and the look at the socket come after,
// without it.
func (p *Pool) checkBeforeWrite(c *conn, a *Attempt) error {
	p.mu.Lock()
	current := c.endpoint.isCurrent(c)
	p.mu.Unlock()
	switch {
	case !current:
		return errEndpointRemoved
	case !a.WriteBy.IsZero() && (time.Now().After(a.WriteBy) || c.SetWriteDeadline(a.WriteBy) != nil):
		return errTooLateToWrite
	case a.ClientDisconnected != nil && a.ClientDisconnected():
		return errClientDisconnected
	case c.hasPendingInput():
		return errStaleConn
	}
	return nil
}

// exchange writes the request and reads the response, completely or, where it is long, its
// beginning. It reports whether the connection can carry another exchange. Its error is an *Error.
func (p *Pool) exchange(c *conn, a *Attempt, req *Request) (resp Response, reusable bool, err error) {
	if err := p.checkBeforeWrite(c, a); err != nil {
		return Response{}, false, a.unsentFailure(err)
	}
	if err := c.writeRequest(a, req); err != nil {
		resp, err = p.resolvePartialWrite(c, a, req, err)
		return resp, false, err
	}
	a.markRequestWritten()
	p.requestsWritten.Add(1)
	if req.Upload != nil && a.OnRequestWritten != nil {
		a.OnRequestWritten()
	}
	resp, last, err := responseReader{pool: p, conn: c, deadline: a.Deadline}.read(req.Method)
	if err != nil {
		return Response{}, false, a.readFailure(err)
	}
	reusable = !last && resp.Stream == nil && c.reader.Buffered() == 0
	switch {
	case p.isSuccess(resp.Status):
		if p.passThrough {
			resp.Header = http1.RemoveHopByHop(resp.Header)
		} else {
			keepContentType(resp.Header)
		}
		return resp, reusable, nil
	case isDeclined(resp):
		return Response{}, reusable, &Error{Kind: Declined, Err: errDeclined}
	}
	return Response{}, reusable, &Error{Kind: ErrorStatus, Err: fmt.Errorf("response status %d", resp.Status)}
}

// unsentFailure returns the error of an attempt of which no byte was sent.
func (a *Attempt) unsentFailure(err error) error {
	if errors.Is(err, errStaleConn) { // a new connection that broke at once, or that the endpoint wrote to unasked
		return a.failure(ConnectFailed, err)
	}
	return a.failure(NotSent, err)
}

// readFailure returns the error of an attempt whose request was written completely and whose
// complete response has not come.
func (a *Attempt) readFailure(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return a.failure(TimedOut, err)
	}
	return a.failure(Reset, err)
}

// resolvePartialWrite returns the outcome of an attempt whose request was not written completely.
// An endpoint begins a request when its last byte has come, so it has not run, unless the endpoint
// says otherwise in a response that arrived ahead of the request's end.
func (p *Pool) resolvePartialWrite(c *conn, a *Attempt, req *Request, err error) (Response, error) {
	if errors.Is(err, errUploadFailed) {
		return Response{}, &Error{Kind: NotSent, Err: err} // says nothing of the endpoint
	}
	if req.Upload == nil || a.isCanceled() {
		return Response{}, a.failure(ConnectFailed, err)
	}
	if c.SetReadDeadline(time.Now().Add(earlyResponseTimeout)) != nil {
		return Response{}, a.failure(ConnectFailed, err)
	}
	early := responseReader{pool: p, conn: c, deadline: time.Now().Add(earlyResponseTimeout)}
	resp, _, readErr := early.read(req.Method)
	switch {
	case readErr != nil:
		return Response{}, a.failure(ConnectFailed, err)
	case resp.Status == http.StatusOK && resp.Stream == nil:
		keepContentType(resp.Header)
		return resp, nil
	case isDeclined(resp):
		return Response{}, &Error{Kind: Declined, Err: errDeclined}
	}
	err = fmt.Errorf("response status %d ahead of the request's end", resp.Status)
	return Response{}, &Error{Kind: Declined, Err: err}
}

// isSuccess reports whether a response of this status is passed on to the client.
func (p *Pool) isSuccess(status int) bool {
	return status == http.StatusOK || p.passThrough && status < http.StatusInternalServerError
}

// isDeclined reports whether a response says that the endpoint has not run the request.
func isDeclined(resp Response) bool {
	unavailable := resp.Status == http.StatusServiceUnavailable || resp.Status == http.StatusGatewayTimeout
	return unavailable && resp.Header.Get(platform.RejectedHeader) == platform.RejectedValue
}

// keepContentType deletes all headers but Content-Type.
func keepContentType(h http.Header) {
	maps.DeleteFunc(h, func(name string, _ []string) bool { return name != "Content-Type" })
}
