package httpserver

import (
	"errors"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"rowancart/internal/platform"
	"rowancart/internal/proxy"
)

const (
	bufferIdleTimeout = time.Second            // an idle connection frees its buffers after this time
	lingerTimeout     = 500 * time.Millisecond // for the client to read an error before its connection is closed
	maxLingerBytes    = 256 << 10              // read and dropped meanwhile, of what a rejected client still sends
)

// conn serves one connection of a client, one request after the other. Its goroutine owns all
// fields, with two exceptions: the disconnectWatcher is also called from a timer and by the pool,
// and while a pool serves a request with a streamed body, the pool reads that body off the reader.
type conn struct {
	server       *Server
	netConn      *trackedConn
	reader       connReader
	output       []byte // the response being written
	disconnect   disconnectWatcher
	requestStart time.Time // the connection's, or the first byte of its current request
	requestRead  bool      // the head of its current request has been read

	writeDeadlineSet time.Time // when the write deadline was set last
}

// serveConn serves a connection until it ends, and closes it.
func (s *Server) serveConn(l *Listener, nc *trackedConn) {
	defer l.setState(nc, http.StateClosed)
	defer nc.Close()
	c := &conn{server: s, netConn: nc, requestStart: nc.since}
	defer func() {
		if cause := recover(); cause != nil { // a fault in one request must not end the process
			s.log.Error("a request failed", "cause", cause, "stack", string(debug.Stack()))
			c.answerPanic()
		}
	}()
	c.disconnect.attach(nc.Conn)
	c.reader = connReader{Conn: nc, kernel: &c.disconnect}
	if nc.SetReadDeadline(deadlineAfter(requestHeadTimeout)) != nil || c.reader.fill() != nil {
		return
	}
	for {
		l.setState(nc, http.StateActive)
		if !c.serveRequest() {
			return
		}
		if !c.reader.hasData() { // otherwise its next request has begun
			l.setState(nc, http.StateIdle)
		}
		if !c.waitForData() || !c.startRequest() {
			return
		}
	}
}

// answerPanic answers the request whose handling has panicked, unless its response has begun. The
// request may have run, so nothing is promised.
func (c *conn) answerPanic() {
	_ = c.disconnect.stop()
	if !c.requestRead || c.netConn.hasWrittenSinceRead() {
		return
	}
	c.reject(nil, closingRejection(http.StatusBadGateway, http.StatusText(http.StatusBadGateway)))
}

// startRequest starts the time of a request whose first byte has arrived. It reports whether the
// connection can be read from.
func (c *conn) startRequest() bool {
	c.requestStart = time.Now()
	return c.reader.hasCompleteHead() || c.netConn.SetReadDeadline(deadlineAfter(requestHeadTimeout)) == nil
}

// waitForData waits for the first byte of the next request and reports whether it has arrived. A
// connection that is idle for longer than bufferIdleTimeout frees its buffers meanwhile, because
// there are many of them.
func (c *conn) waitForData() bool {
	c.reader.startRequest()
	if c.reader.hasData() {
		return true
	}
	if c.netConn.SetReadDeadline(deadlineAfter(bufferIdleTimeout)) != nil {
		return false
	}
	err := c.reader.fill()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err == nil
	}
	c.reader.release()
	c.output = nil
	if c.netConn.SetReadDeadline(deadlineAfter(idleTimeout)) != nil {
		return false
	}
	return c.reader.readFirstByte()
}

// serveRequest reads one request and writes its response. It reports whether the connection can
// carry another request.
func (c *conn) serveRequest() bool {
	c.requestRead = false
	r, rejection, err := c.readRequestHead()
	if err != nil {
		return false
	}
	c.requestRead = true
	if rejection != nil {
		return c.reject(r, rejection)
	}
	body, rejection := c.readBody(r)
	if rejection != nil {
		return c.reject(r, rejection)
	}
	if r.URL.Path == platform.HealthPath {
		return c.serveHealthCheck(r, body)
	}
	target, rejection := c.server.router.Route(r)
	if rejection != nil {
		return c.rejectUnread(r, body, rejection)
	}
	return c.forward(r, &target, body)
}

// serveHealthCheck answers a health check of this process. Its body, if any, is dropped.
func (c *conn) serveHealthCheck(r *http.Request, body receivedBody) bool {
	body.release()
	if body.streamed != nil {
		return c.reject(r, bodyRejection(errBodyTooLong))
	}
	return c.writeResponse(r, http.StatusOK, plainTextHeader(), []byte("ok\n"), false)
}

// rejectUnread rejects a request whose body may not have been read to its end: then the connection
// cannot go on.
func (c *conn) rejectUnread(r *http.Request, body receivedBody, rejection *Rejection) bool {
	body.release()
	rejection.Close = rejection.Close || body.streamed != nil
	return c.reject(r, rejection)
}

// forward passes a request to its pool and writes the pool's response.
func (c *conn) forward(r *http.Request, target *Target, body receivedBody) bool {
	outcome := Outcome{Result: proxy.Result{Kind: proxy.Failed}}
	if target.Done != nil {
		defer func() { target.Done(outcome) }()
	}
	message := &proxy.RequestMessage{Body: body.data, Release: body.releaseData}
	call, rejection := c.server.newCall(r, target, message, body.streamed != nil, c.reader.arrivedAt)
	if rejection != nil {
		return c.rejectUnread(r, body, rejection)
	}
	// A request that has just been read may have stood in the kernel's queues for long, so its client
	// may be gone already.
	call.ClientDisconnected = c.disconnect.clientGone
	if body.streamed != nil {
		return c.forwardStreamed(r, target.Pool, call, message, body, &outcome)
	}
	outcome.Forwarded = true
	var disconnected bool
	outcome.Result, disconnected = c.do(target.Pool, call)
	// A client that has closed only its sending side may still read the response.
	return c.writeResult(r, outcome.Result, disconnected)
}

// forwardStreamed is forward for a request with a long body, which the pool reads on from the
// connection.
func (c *conn) forwardStreamed(r *http.Request, pool *proxy.Pool, call *proxy.Call, message *proxy.RequestMessage,
	body receivedBody, outcome *Outcome) bool {
	streamed := body.streamed
	upload, err := streamed.bufferAhead()
	if err != nil {
		body.release()
		return c.reject(r, bodyRejection(err))
	}
	message.Upload = upload
	message.Release = func() {
		body.release()
		streamed.release()
	}
	call.Streamed = true
	call.Deadline = pool.Now() - time.Since(c.reader.arrivedAt) + message.ClientTimeout
	if upload.Remaining != nil {
		call.Deadline = pool.Now() + message.ClientTimeout + streamed.timeLimit()
	}
	outcome.Forwarded = true
	var disconnected bool
	outcome.Result, disconnected = c.do(pool, call)
	ended, err := streamed.abandon()
	if err == nil && !ended && c.disconnect.clientGone() { // the rest will never arrive
		err = io.ErrUnexpectedEOF
	}
	if err != nil && !errors.Is(err, errBodyAbandoned) {
		outcome.Result.Kind = proxy.Failed
		return c.reject(r, bodyRejection(err))
	}
	if !ended { // the rest of the body must not be read as the next request
		c.writeResult(r, outcome.Result, true)
		return c.lingeringClose()
	}
	return c.writeResult(r, outcome.Result, disconnected)
}

// do passes a call to its pool and waits for the result, while it watches whether the client
// disconnects.
func (c *conn) do(pool *proxy.Pool, call *proxy.Call) (result proxy.Result, disconnected bool) {
	c.disconnect.start(func() { pool.ClientDisconnected(call) })
	result = pool.Do(call)
	return result, c.disconnect.stop()
}

// lingeringClose gives the client time to read its response before the connection is closed, and
// returns false. Closing a connection with unread data would reset it, and the client would lose
// the response.
func (c *conn) lingeringClose() bool {
	if half, ok := c.netConn.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = c.netConn.SetReadDeadline(deadlineAfter(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.netConn, maxLingerBytes)
	}
	return false
}

// deadlineAfter returns the instant d from now.
func deadlineAfter(d time.Duration) time.Time { return time.Now().Add(d) }
