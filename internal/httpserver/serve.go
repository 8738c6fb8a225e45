package httpserver

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"rowancart/internal/http1"
	"rowancart/internal/proxy"
)

const (
	minAcceptBackoff   = 5 * time.Millisecond // between two failures to accept, doubled up to
	maxAcceptBackoff   = time.Second
	bufferIdleTimeout  = time.Second            // that an idle connection keeps its buffer
	writeDeadlineReuse = time.Second            // a deadline of writes this young is kept for the next
	lingerTimeout      = 500 * time.Millisecond // for an error to be read before its connection is closed
	maxLingerBytes     = 256 << 10              // bytes of what a refused caller goes on sending that are read meanwhile
)

// Serve serves connections until the listener is closed, and returns net.ErrClosed then.
func (s *Server) Serve(c *Listener) error {
	pause := time.Duration(0)
	for {
		nc, err := c.Accept()
		switch temporary := (interface{ Temporary() bool })(nil); {
		case err == nil:
		case errors.As(err, &temporary) && temporary.Temporary(): // lack of descriptors, mostly: it passes
			pause = min(max(2*pause, minAcceptBackoff), maxAcceptBackoff)
			s.log.Warn("accept failed", "err", err, "again_in", pause)
			time.Sleep(pause)
			continue
		default:
			return err
		}
		pause = 0
		go s.serveConn(c, nc.(*trackedConn))
	}
}

// conn is what a connection is served with.
type conn struct {
	*Server
	netConn      *trackedConn
	reader       connReader
	output       []byte // an answer
	disconnect   disconnectWatcher
	requestStart time.Time // the connection, or the first byte of its latest request

	writeDeadlineSet time.Time // when the deadline of writes was set
}

// serveConn serves one connection. Conns knows it until it is closed.
func (s *Server) serveConn(all *Listener, c *trackedConn) {
	defer all.setState(c, http.StateClosed)
	defer c.Close()
	defer func() {
		if cause := recover(); cause != nil { // one request's fault must not end the others
			s.log.Error("a request failed", "cause", cause, "stack", string(debug.Stack()))
		}
	}()
	t := &conn{Server: s, netConn: c, reader: connReader{Conn: c}, requestStart: c.since}
	t.disconnect.attach(c.Conn)
	if c.SetReadDeadline(deadlineAfter(requestHeadTimeout)) != nil {
		return
	}
	for first := true; first || t.waitForRequest(); first = false {
		if !first {
			t.requestStart = time.Now()
		}
		if !first && !t.reader.hasCompleteHead() && c.SetReadDeadline(deadlineAfter(requestHeadTimeout)) != nil {
			return
		}
		if first && t.reader.fill() != nil {
			return
		}
		all.setState(c, http.StateActive)
		if !t.serveRequest() {
			return
		}
		if t.reader.start == t.reader.end { // else its next request has begun
			all.setState(c, http.StateIdle)
		}
	}
}

// waitForRequest waits for the next request. One that is long in coming costs the connection its buffer: idle connections are many.
func (c *conn) waitForRequest() bool {
	if c.reader.start < c.reader.end {
		return true
	}
	if c.netConn.SetReadDeadline(deadlineAfter(bufferIdleTimeout)) != nil {
		return false
	}
	err := c.reader.fill()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err == nil
	}
	c.reader.buf, c.reader.start, c.reader.end, c.output = nil, 0, 0, nil
	if c.netConn.SetReadDeadline(deadlineAfter(idleTimeout)) != nil {
		return false
	}
	var one [1]byte
	n, _ := c.netConn.Read(one[:])
	if n == 0 {
		return false
	}
	c.reader.buf = append(make([]byte, 0, initialBufferSize), one[0])[:initialBufferSize]
	c.reader.end = 1
	return true
}

// serveRequest reads one request and writes its answer. It tells whether the connection goes on.
func (c *conn) serveRequest() bool {
	head, err := c.reader.readHead()
	switch {
	case errors.Is(err, errHeadTooLong):
		return c.reject(nil, closingRejection(http.StatusRequestHeaderFieldsTooLarge, err.Error()))
	case errors.Is(err, errBareLF):
		return c.reject(nil, closingRejection(http.StatusBadRequest, err.Error()))
	case err != nil:
		return false
	}
	r, rejection := parseHead(head)
	if rejection != nil {
		return c.reject(nil, rejection)
	}
	if rejection := validateHost(r.Host); rejection != nil {
		return c.reject(r, rejection)
	}
	if r.ContentLength != 0 && !r.ProtoAtLeast(1, 1) {
		return c.reject(r, closingRejection(http.StatusHTTPVersionNotSupported, "a body is not taken in this version"))
	}
	body, free, more, rejection := c.readBody(r)
	if rejection != nil {
		return c.reject(r, rejection)
	}
	release := func() {
		if free != nil {
			free()
		}
	}
	if r.URL.Path == healthPath {
		release()
		if more != nil {
			return c.reject(r, bodyRejection(errBodyTooLong))
		}
		return c.writeResponse(r, http.StatusOK, http.Header{"Content-Type": {"text/plain; charset=utf-8"}}, []byte("ok\n"), false)
	}
	target, rejection := c.router.Route(r)
	if rejection != nil {
		release()
		rejection.Close = rejection.Close || more != nil
		return c.reject(r, rejection)
	}
	forwarded, result := false, proxy.Result{Kind: proxy.Failed}
	if target.Done != nil {
		defer func() { target.Done(forwarded, result) }()
	}
	message := &proxy.RequestMessage{Body: body, Release: free}
	received := time.Now() // a request's time counts from its last byte
	call, rejection := c.newCall(r, &target, message, more != nil, received)
	if rejection != nil {
		release()
		rejection.Close = rejection.Close || more != nil
		return c.reject(r, rejection)
	}
	call.ClientGone = c.disconnect.clientGone // also of one that has just been read: nobody knows how long it stood in the kernel's queues
	leave := func() { target.Pool.ClientLeft(call) }
	if more == nil {
		forwarded = true
		c.disconnect.start(leave)
		result = target.Pool.Do(call)
		return c.writeResult(r, result, c.disconnect.stop()) // also to a caller that has left: one half-closed may still read
	}

	up, err := more.bufferAhead()
	if err != nil {
		release()
		return c.reject(r, bodyRejection(err))
	}
	message.Upload, message.Release = up, func() { release(); more.release() }
	call.Streamed = true
	call.Deadline = target.Pool.Now() + message.ClientTimeout
	if up.Remaining != nil {
		call.Deadline += more.timeLimit()
	}
	forwarded = true
	c.disconnect.start(leave)
	result = target.Pool.Do(call)
	left := c.disconnect.stop()
	ended, err := more.abandon()
	if err == nil && !ended && c.disconnect.clientGone() { // nobody is there to send the rest of it
		err = io.ErrUnexpectedEOF
	}
	if err != nil && !errors.Is(err, errBodyAbandoned) {
		result.Kind = proxy.Failed
		return c.reject(r, bodyRejection(err))
	}
	if !ended { // what is still to come of it must not be taken for the next request
		c.writeResult(r, result, true)
		return c.lingeringClose()
	}
	return c.writeResult(r, result, left)
}

// reject answers a request that nobody serves. What is no proper request ends its connection: whatever follows on it, the
// rest of a body or a request hidden in one, is never taken for one.
func (c *conn) reject(r *http.Request, rejection *Rejection) bool {
	h := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	c.setRetryAfter(h, rejection.RetryAfter)
	if rejection.Limit != "" {
		c.setProxyStatus(h, limitErrorType, rejection.Limit)
	}
	if len(rejection.Allow) > 0 {
		h["Allow"] = []string{strings.Join(rejection.Allow, ", ")}
	}
	if c.writeResponse(r, rejection.Status, h, []byte(rejection.Reason+"\n"), rejection.Close) {
		return true
	}
	return c.lingeringClose()
}

// lingeringClose lets a caller read its answer before the connection closes. A close before all that has come was read would end as a reset, and
// take the answer with it.
func (c *conn) lingeringClose() bool {
	if half, ok := c.netConn.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = c.netConn.SetReadDeadline(deadlineAfter(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.netConn, maxLingerBytes)
	}
	return false
}

// isLastResponse tells whether the answer to a request is to be the last on its connection. At the end of the process it is, unless the next
// request stands behind it: that has been taken as well. A request that could not be read is nil.
func (c *conn) isLastResponse(r *http.Request) bool {
	return r == nil || r.Close || c.draining.Load() && c.reader.start == c.reader.end && !c.disconnect.hasUnreadBytes()
}

// writeResult writes the final answer of an engine, as the last on its connection or not.
func (c *conn) writeResult(r *http.Request, result proxy.Result, closeAfter bool) bool {
	if result.Kind == proxy.Served {
		if result.Response.Stream != nil {
			return c.streamResponse(r, &result.Response, closeAfter)
		}
		return c.writeResponse(r, result.Response.Status, result.Response.Header, result.Response.Body, closeAfter)
	}
	status := resultStatuses[result.Kind]
	h := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	c.setRetryAfter(h, result.RetryAfter)
	c.setProxyStatus(h, proxyErrorTypes[result.Reason], string(result.Reason))
	return c.writeResponse(r, status, h, []byte(http.StatusText(status)+"\n"), closeAfter)
}

// streamResponse passes an answer on as it comes: what is read off the endpoint is written at once, and only then more is read. One that breaks
// off ends its connection short of what it has promised, so that the caller can tell.
func (c *conn) streamResponse(r *http.Request, response *proxy.Response, closeAfter bool) bool {
	defer response.Stream.Close()
	closeAfter = closeAfter || c.isLastResponse(r)
	chunked := response.Length < 0 && r.ProtoAtLeast(1, 1)
	toClose := response.Length < 0 && !chunked // it ends with the connection
	closeAfter = closeAfter || toClose
	if toClose { // only a reset shows that it broke off, whoever ends it: an endpoint, the end of the process or a signal
		c.setLinger(0)
	}
	c.appendHead(r, response.Status, response.Header, closeAfter)
	switch {
	case chunked:
		c.output = append(c.output, "Transfer-Encoding: chunked\r\n\r\n"...)
	case response.Length < 0:
		c.output = append(c.output, "\r\n"...)
	default:
		c.output = append(strconv.AppendInt(append(c.output, "Content-Length: "...), response.Length, 10), "\r\n\r\n"...)
	}
	c.disconnect.start(response.Stream.Cancel)
	defer c.disconnect.stop()
	b := http1.Buffers.Get().(*[]byte)
	defer http1.Buffers.Put(b)
	room := (*b)[http1.ChunkHead : len(*b)-http1.ChunkTail]
	n := copy(room, response.Body)
	for more, ended := response.Body[n:], false; ; {
		if n > 0 {
			if chunked {
				c.output = append(c.output, http1.AppendChunkFraming(*b, n)...)
			} else if len(c.output) > 0 {
				c.output = append(c.output, room[:n]...)
			}
		}
		if ended && chunked {
			c.output = append(c.output, http1.LastChunk...)
		}
		if !c.writePart(c.output) || len(c.output) == 0 && !c.writePart(room[:n]) {
			return false
		}
		if c.output = c.output[:0]; ended {
			if toClose {
				c.setLinger(-1)
			}
			return !closeAfter
		}
		if n = copy(room, more); n > 0 {
			more = more[n:]
			continue
		}
		var err error
		n, err = response.Stream.Read(room)
		if ended = errors.Is(err, io.EOF) || response.Stream.Ended(); err != nil && !ended {
			return false
		}
	}
}

// writePart writes a part of an answer. A caller may take seconds to read it, but not for ever.
func (c *conn) writePart(b []byte) bool {
	if len(b) == 0 {
		return true
	}
	if c.netConn.Conn.SetWriteDeadline(deadlineAfter(http1.MaxReadIdle)) != nil {
		return false
	}
	c.writeDeadlineSet = time.Time{}
	_, err := c.netConn.Write(b)
	return err == nil
}

// setLinger makes the end of the connection a reset (0) or an ordinary end (-1).
func (c *conn) setLinger(seconds int) {
	if c, ok := c.netConn.Conn.(*net.TCPConn); ok {
		_ = c.SetLinger(seconds) // of one that is closed the next write tells
	}
}

// dateCache is the time as headers have it, made once a second.
type dateCache struct{ latest atomic.Pointer[dateText] }

type dateText struct {
	second int64
	text   string
}

var currentDate dateCache

func (d *dateCache) get(at time.Time) string {
	s := d.latest.Load()
	if s == nil || s.second != at.Unix() {
		s = &dateText{at.Unix(), at.UTC().Format(http.TimeFormat)}
		d.latest.Store(s)
	}
	return s.text
}

// connectionHeaders are the headers that are written for the connection, whatever an answer has.
var connectionHeaders = map[string]bool{"Content-Length": true, "Connection": true, "Transfer-Encoding": true, "Date": true}

// sliceWriter is a byte slice that is written to.
type sliceWriter struct{ b *[]byte }

// Write implements io.Writer.
func (a sliceWriter) Write(p []byte) (int, error) { *a.b = append(*a.b, p...); return len(p), nil }

// WriteString implements io.StringWriter.
func (a sliceWriter) WriteString(s string) (int, error) {
	*a.b = append(*a.b, s...)
	return len(s), nil
}

// appendHead begins an answer, up to what its framing says. A request that could not be read is nil.
func (c *conn) appendHead(r *http.Request, status int, h http.Header, closeAfter bool) {
	c.output = append(c.output[:0], "HTTP/1.1 "...)
	c.output = strconv.AppendInt(c.output, int64(status), 10)
	c.output = append(append(append(c.output, ' '), http.StatusText(status)...), "\r\nDate: "...)
	if date := h["Date"]; len(date) == 1 { // an endpoint's own
		c.output = append(c.output, date[0]...)
	} else {
		c.output = append(c.output, currentDate.get(time.Now())...)
	}
	c.output = append(c.output, "\r\n"...)
	_ = h.WriteSubset(sliceWriter{&c.output}, connectionHeaders)
	switch {
	case closeAfter:
		c.output = append(c.output, "Connection: close\r\n"...)
	case r != nil && !r.ProtoAtLeast(1, 1):
		c.output = append(c.output, "Connection: keep-alive\r\n"...)
	}
}

// writeResponse writes an answer and tells whether the connection goes on. A request that could not be read is nil.
func (c *conn) writeResponse(r *http.Request, status int, h http.Header, body []byte, closeAfter bool) bool {
	now := time.Now()
	closeAfter = closeAfter || c.isLastResponse(r)
	c.appendHead(r, status, h, closeAfter)
	bodiless := r != nil && r.Method == http.MethodHead
	switch {
	case status < 200 || status == http.StatusNoContent || status == http.StatusNotModified:
		bodiless = true
	case bodiless && h.Get("Content-Length") != "": // of what the answer to HEAD stands for
		c.output = append(append(append(c.output, "Content-Length: "...), h.Get("Content-Length")...), "\r\n"...)
	default:
		c.output = append(strconv.AppendInt(append(c.output, "Content-Length: "...), int64(len(body)), 10), "\r\n"...)
	}
	c.output = append(c.output, "\r\n"...)
	if bodiless {
		body = nil
	}
	// Bounded, so that a caller that does not read can't hold a connection for good.
	if now.Sub(c.writeDeadlineSet) > writeDeadlineReuse {
		if c.netConn.Conn.SetWriteDeadline(now.Add(writeDeadlineReuse+writeTimeout)) != nil {
			return false
		}
		c.writeDeadlineSet = now
	}
	var err error
	if len(body) <= initialBufferSize {
		c.output = append(c.output, body...)
		_, err = c.netConn.Write(c.output)
	} else if _, err = c.netConn.Write(c.output); err == nil {
		_, err = c.netConn.Write(body)
	}
	return err == nil && !closeAfter
}
