package connpool

import (
	"errors"
	"maps"
	"net/http"
	"os"
	"time"

	"rowancart/internal/http1"
	"rowancart/internal/platform"
	"rowancart/internal/sharedbody"
)

// exchangeResult is the outcome of an exchange.
type exchangeResult struct {
	response Response
	err      error // nil or an *Error
	reusable bool  // the connection can carry another exchange
}

// RoundTrip sends a request to an endpoint once and returns the response, or an *Error that says
// how the attempt failed.
//
// If the attempt was canceled or its deadline has passed, its connection is closed before RoundTrip
// returns, so that this attempt and a retry are never in flight at the same time. If the response
// has a Stream, the Stream owns the connection from then on.
func (p *Pool) RoundTrip(a *Attempt, endpoint string, req *Request) (Response, error) {
	a.request = req
	for {
		a.progress = Progress{Phase: Connecting}
		c, err := p.acquireConn(a, endpoint)
		if err != nil {
			return Response{}, p.acquireFailure(a, endpoint, err)
		}
		if !a.setInProgress(c) || c.SetDeadline(a.Deadline) != nil {
			p.closeConn(c)
			return Response{}, a.failure(ConnectFailed, errConnClosed)
		}
		result := p.exchange(c, a, req)
		reusedConnIsStale := c.isReused() && errors.Is(result.err, errStaleConn)
		if reusedConnIsStale && a.setInProgress(nil) {
			p.closeConn(c) // nothing was sent on it, so the attempt continues on another connection
			continue
		}
		return p.endExchange(c, a, endpoint, result)
	}
}

// endExchange releases or closes the connection of an exchange, unless a Stream owns it, and
// returns the result of the attempt.
func (p *Pool) endExchange(c *conn, a *Attempt, endpoint string, result exchangeResult) (Response, error) {
	if isEndpointFailure(result.err) {
		p.recordFailure(endpoint, result.err)
	}
	isStreamed := result.response.Stream != nil
	wasCanceled := !a.setInProgress(nil)
	switch {
	case wasCanceled && isStreamed:
		p.closeConn(c)
		return Response{}, &Error{Kind: Canceled, Err: errAttemptCanceled}
	case isStreamed:
		return result.response, nil
	case wasCanceled || !result.reusable:
		p.closeConn(c)
	default:
		p.releaseConn(c)
	}
	return result.response, result.err
}

// acquireFailure returns the *Error of an attempt that got no connection.
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

// isCurrent reports whether a connection may carry a new request to its endpoint.
func (p *Pool) isCurrent(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.endpoint.isCurrent(c)
}

// checkBeforeWrite returns an error if a request may not be written to a connection now. It is the
// last check before the first byte is written. During the dial or the wait for the end of a
// quarantine, the endpoint may have been removed, drained, disabled, moved or restarted, it may
// have closed the connection or sent data, the retry deadline may have passed, and the client may
// have disconnected. What changes after this check counts as a change after the request was sent.
//
// Only the check of the endpoint holds the Pool's mu. ClientDisconnected is called and the socket
// is checked without it.
func (p *Pool) checkBeforeWrite(c *conn, a *Attempt) error {
	if !p.isCurrent(c) {
		return errEndpointNotCurrent
	}
	if !time.Now().Before(a.endsAt()) {
		return errDeadlinePassed
	}
	if err := a.limitWrites(c); err != nil {
		return err
	}
	if a.clientDisconnected() {
		return errClientDisconnected
	}
	if c.hasPendingInput() {
		return errStaleConn
	}
	return nil
}

// exchange writes the request and reads the response. The response has a Stream if its body is
// longer than MaxBody, or of unknown length and slow to end.
func (p *Pool) exchange(c *conn, a *Attempt, req *Request) exchangeResult {
	if err := p.checkBeforeWrite(c, a); err != nil {
		return exchangeResult{err: a.unsentFailure(err)}
	}
	if err := p.writeRequest(c, a, req); err != nil {
		response, err := p.resolvePartialWrite(c, a, req, err)
		return exchangeResult{response: response, err: err}
	}
	a.progress.Phase = AwaitsResponse
	a.markRequestWritten()
	p.requestsWritten.Add(1)
	if req.Body.IsLong() && a.OnRequestWritten != nil {
		a.OnRequestWritten()
	}
	received, err := responseReader{pool: p, conn: c, memory: req.Memory, deadline: a.Deadline}.read(req.Method)
	if err != nil {
		return exchangeResult{err: a.readFailure(err)}
	}
	isStreamed := received.response.Stream != nil
	result := exchangeResult{reusable: !received.isLast && !isStreamed && c.reader.Buffered() == 0}
	result.response, result.err = p.evaluateResponse(received.response)
	if result.err != nil {
		received.response.ReleaseBody(req.Memory)
	}
	return result
}

// writeRequest writes a request to a connection, and counts a body that is in use.
func (p *Pool) writeRequest(c *conn, a *Attempt, req *Request) error {
	err := c.writeRequest(a, req)
	if errors.Is(err, sharedbody.ErrInUse) {
		p.bodyConflicts.Add(1)
	}
	return err
}

// evaluateResponse returns a response as it is passed on to the client, or an *Error if the
// response means that the attempt failed.
func (p *Pool) evaluateResponse(r Response) (Response, error) {
	switch {
	case isDeclined(r):
		return Response{}, &Error{Kind: Declined, Err: errDeclined}
	case !p.isSuccess(r.Status):
		return Response{}, &Error{Kind: ErrorStatus, Err: &StatusError{Status: r.Status}}
	case p.passThrough:
		r.Header = http1.RemoveHopByHop(r.Header)
	default:
		retainContentType(r.Header)
	}
	return r, nil
}

// unsentFailure returns the *Error of an attempt that has not sent a byte.
func (a *Attempt) unsentFailure(err error) error {
	if errors.Is(err, errStaleConn) { // a new connection that broke, or received data, before a request was sent on it
		return a.failure(ConnectFailed, err)
	}
	return a.failure(NotSent, err)
}

// readFailure returns the *Error of an attempt whose request was written completely, but whose
// response could not be read.
func (a *Attempt) readFailure(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return a.failure(TimedOut, err)
	}
	return a.failure(Reset, err)
}

// resolvePartialWrite returns the result of an attempt whose request was not written completely. An
// endpoint does not run a request before its last byte has arrived. So the request counts as not
// run, unless an early response with status 200 was read.
func (p *Pool) resolvePartialWrite(c *conn, a *Attempt, req *Request, writeErr error) (Response, error) {
	if errors.Is(writeErr, errUploadFailed) || errors.Is(writeErr, errBodyUnavailable) {
		return Response{}, a.failure(NotSent, writeErr) // not a failure of the endpoint
	}
	if !req.Body.IsLong() || a.isCanceled() || errors.Is(writeErr, errWriteTimedOut) {
		return Response{}, a.failure(ConnectFailed, writeErr)
	}
	early, err := p.readEarlyResponse(c, req, a.earlyResponseEndsAt(errors.Is(writeErr, errEarlyResponse)))
	switch {
	case err != nil:
		return Response{}, a.failure(ConnectFailed, writeErr)
	case early.Status == http.StatusOK:
		return p.passEarlyResponse(early)
	case isDeclined(early):
		return Response{}, &Error{Kind: Declined, Err: errDeclined}
	}
	early.ReleaseBody(req.Memory)
	return Response{}, &Error{Kind: Declined, Err: &StatusError{Status: early.Status, Early: true}}
}

// passEarlyResponse returns an early response as it is passed on to the client. Its connection
// can't carry another request, since the present one was not written completely.
func (p *Pool) passEarlyResponse(early Response) (Response, error) {
	if early.Stream != nil {
		early.Stream.lastOnConn = true
	}
	return p.evaluateResponse(early)
}

// readEarlyResponse reads a response that may have arrived before the request was written
// completely.
func (p *Pool) readEarlyResponse(c *conn, req *Request, deadline time.Time) (Response, error) {
	if err := c.SetReadDeadline(deadline); err != nil {
		return Response{}, err
	}
	received, err := responseReader{pool: p, conn: c, memory: req.Memory, deadline: deadline}.read(req.Method)
	return received.response, err
}

// isSuccess reports whether a response with this status is passed on to the client.
func (p *Pool) isSuccess(status int) bool {
	return status == http.StatusOK || p.passThrough && status < http.StatusInternalServerError
}

// isDeclined reports whether a response states that the endpoint has not run the request.
func isDeclined(r Response) bool {
	isUnavailable := r.Status == http.StatusServiceUnavailable || r.Status == http.StatusGatewayTimeout
	return isUnavailable && r.Header.Get(platform.RejectedHeader) == platform.RejectedValue
}

// retainContentType deletes all headers except Content-Type.
func retainContentType(h http.Header) {
	maps.DeleteFunc(h, func(name string, _ []string) bool { return name != "Content-Type" })
}
