package httpserver

import (
	"errors"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"rowancart/internal/membudget"
	"rowancart/internal/platform"
)

const (
	bufferIdleTimeout = time.Second            // an idle connection frees its buffers after this time
	lingerTimeout     = 500 * time.Millisecond // time for the client to read the last response before the close
	maxIdleOutput     = 8 << 10                // bytes of the output buffer that a connection keeps between two requests
	maxLingerBytes    = 256 << 10              // maximum bytes that are read and discarded during lingerTimeout
)

// conn serves the requests of one client connection, one after the other. Its goroutine owns all
// fields, with two exceptions: the disconnectWatcher is also called from a timer, and while a pool
// serves a request, the pool queries the socket and reads a streamed body from the reader.
type conn struct {
	server      *Server
	netConn     *trackedConn
	socket      socket
	reader      connReader
	output      []byte // the response being written
	disconnect  disconnectWatcher
	lastRequest bool // the current request is the last: its response closes the connection

	requestMemory *membudget.Account // of the current request
	unserved      bool               // the current request was answered without an endpoint
	share         workShare

	requestStart time.Time // when the connection was accepted, or the first byte of its current request was read
	responseDue  bool      // the current request's head has been read or rejected, so it must get a response

	writeDeadlineSet time.Time // when the write deadline was last set
}

// newConn returns a conn for an accepted connection.
func newConn(s *Server, nc *trackedConn) *conn {
	socket := socketOf(nc.Conn)
	return &conn{
		server:       s,
		netConn:      nc,
		socket:       socket,
		reader:       connReader{Conn: nc, socket: socket, memory: s.memory.NewAccount()},
		disconnect:   disconnectWatcher{socket: socket},
		requestStart: nc.since,
	}
}

// serveConn serves a connection until it ends, and closes it.
func (s *Server) serveConn(l *Listener, nc *trackedConn) {
	defer l.setState(nc, http.StateClosed)
	defer nc.Close()
	c := newConn(s, nc)
	defer c.reader.memory.Close()
	defer func() {
		if value := recover(); value != nil { // a panic in one request must not end the process
			s.log.Error("request panicked", "panic", value, "stack", string(debug.Stack()))
			c.respondAfterPanic()
		}
	}()
	if nc.SetReadDeadline(deadlineAfter(requestHeadTimeout)) != nil || c.reader.fill() != nil {
		return
	}
	for {
		l.setState(nc, http.StateActive)
		if !c.serveRequest() {
			return
		}
		c.pauseIfUnserved()
		if !c.reader.hasData() { // otherwise the next request is already buffered
			l.setState(nc, http.StateIdle)
		}
		if !c.waitForData() || !c.startRequest() {
			return
		}
	}
}

// pauseIfUnserved keeps the connection to its share of work for requests that need no endpoint.
func (c *conn) pauseIfUnserved() {
	if !c.unserved {
		return
	}
	if pause := c.share.pauseAfterUnserved(time.Now()); pause > 0 {
		time.Sleep(pause)
	}
}

// respondAfterPanic responds to the request whose handling has panicked, unless its response has
// begun. An endpoint may have processed the request, so the status must not be one that promises
// clients a safe retry.
func (c *conn) respondAfterPanic() {
	_ = c.disconnect.stop()
	if !c.responseDue || c.netConn.hasWrittenSinceRead() {
		return
	}
	c.reject(nil, closingRejection(http.StatusBadGateway, http.StatusText(http.StatusBadGateway)))
}

// startRequest records the start of a request whose first byte has been read, and sets the deadline
// for its head. It reports whether the connection can be read from.
func (c *conn) startRequest() bool {
	c.requestStart = time.Now()
	return c.reader.hasCompleteHead() || c.netConn.SetReadDeadline(deadlineAfter(requestHeadTimeout)) == nil
}

// waitForData waits for the first byte of the next request and reports whether it has been read. A
// connection that is idle for longer than bufferIdleTimeout frees its buffers, because there may
// be thousands of idle connections.
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
	c.responseDue = false
	c.unserved = true
	c.requestMemory = c.server.memory.NewAccount()
	defer c.releaseMemory()
	r, err := c.readRequestHead()
	if err != nil {
		return c.rejectHead(r, err)
	}
	c.responseDue = true
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
	return c.forward(r, target, body)
}

// releaseMemory gives back the memory of the current request, except for small buffers that the
// next request reuses.
func (c *conn) releaseMemory() {
	c.requestMemory.Close()
	c.reader.shrink()
	if cap(c.output) > maxIdleOutput {
		c.output = nil
	}
}

// rejectHead handles an error of readRequestHead. It reports whether the connection can carry
// another request.
func (c *conn) rejectHead(r *http.Request, err error) bool {
	var rejection *Rejection
	if !errors.As(err, &rejection) {
		return false
	}
	c.responseDue = true
	return c.reject(r, rejection)
}

// serveHealthCheck responds to a health check of this process. The request's body, if any, is
// discarded.
func (c *conn) serveHealthCheck(r *http.Request, body receivedBody) bool {
	body.release()
	if body.streamed != nil {
		return c.reject(r, bodyRejection(errBodyTooLong))
	}
	return c.writeResponse(r, responseHead{http.StatusOK, plainTextHeader()}, []byte("ok\n"))
}

// rejectUnread rejects a request whose body may not have been read to its end. If it has not, the
// connection is closed.
func (c *conn) rejectUnread(r *http.Request, body receivedBody, rejection *Rejection) bool {
	body.release()
	rejection.Close = rejection.Close || body.streamed != nil
	return c.reject(r, rejection)
}

// lingeringClose gives the client time to read its response before the connection is closed, and
// returns false. Closing a connection with unread data would reset it, and the client would lose
// the response.
func (c *conn) lingeringClose() bool {
	if halfCloser, ok := c.netConn.Conn.(interface{ CloseWrite() error }); ok && halfCloser.CloseWrite() == nil {
		_ = c.netConn.SetReadDeadline(deadlineAfter(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.netConn, maxLingerBytes)
	}
	return false
}

// deadlineAfter returns the current time plus d.
func deadlineAfter(d time.Duration) time.Time { return time.Now().Add(d) }
