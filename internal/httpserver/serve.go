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
	acceptPauseLeast = 5 * time.Millisecond // between two failures to accept, doubled up to
	acceptPauseMost  = time.Second
	keepBuffer       = time.Second            // that an idle connection keeps its buffer
	writeSlack       = time.Second            // a deadline of writes this young is kept for the next
	lastWords        = 500 * time.Millisecond // for an error to be read before its connection is closed
	lastRead         = 256 << 10              // bytes of what a refused caller goes on sending that are read meanwhile
)

// Serve serves connections until the listener is closed, and returns net.ErrClosed then.
func (s *Server) Serve(c *Listener) error {
	pause := time.Duration(0)
	for {
		nc, err := c.Accept()
		switch temporary := (interface{ Temporary() bool })(nil); {
		case err == nil:
		case errors.As(err, &temporary) && temporary.Temporary(): // lack of descriptors, mostly: it passes
			pause = min(max(2*pause, acceptPauseLeast), acceptPauseMost)
			s.log.Warn("accept failed", "err", err, "again_in", pause)
			time.Sleep(pause)
			continue
		default:
			return err
		}
		pause = 0
		go s.serve(c, nc.(*callerConn))
	}
}

// talk is what a connection is served with.
type talk struct {
	*Server
	conn *callerConn
	in   reader
	out  []byte // an answer
	look lookout
	came time.Time // the connection, or the first byte of its latest request

	writesFrom time.Time // when the deadline of writes was set
}

// serve serves one connection. Conns knows it until it is closed.
func (s *Server) serve(all *Listener, c *callerConn) {
	defer all.track(c, http.StateClosed)
	defer c.Close()
	defer func() {
		if cause := recover(); cause != nil { // one request's fault must not end the others
			s.log.Error("a request failed", "cause", cause, "stack", string(debug.Stack()))
		}
	}()
	t := &talk{Server: s, conn: c, in: reader{Conn: c}, came: c.since}
	t.look.of(c.Conn)
	if c.SetReadDeadline(after(headTimeout)) != nil {
		return
	}
	for first := true; first || t.await(); first = false {
		if !first {
			t.came = time.Now()
		}
		if !first && !t.in.whole() && c.SetReadDeadline(after(headTimeout)) != nil {
			return
		}
		if first && t.in.fill() != nil {
			return
		}
		all.track(c, http.StateActive)
		if !t.turn() {
			return
		}
		if t.in.start == t.in.end { // else its next request has begun
			all.track(c, http.StateIdle)
		}
	}
}

// await waits for the next request. One that is long in coming costs the connection its buffer: idle connections are many.
func (t *talk) await() bool {
	if t.in.start < t.in.end {
		return true
	}
	if t.conn.SetReadDeadline(after(keepBuffer)) != nil {
		return false
	}
	err := t.in.fill()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err == nil
	}
	t.in.buf, t.in.start, t.in.end, t.out = nil, 0, 0, nil
	if t.conn.SetReadDeadline(after(callersIdle)) != nil {
		return false
	}
	var one [1]byte
	n, _ := t.conn.Read(one[:])
	if n == 0 {
		return false
	}
	t.in.buf = append(make([]byte, 0, firstBuffer), one[0])[:firstBuffer]
	t.in.end = 1
	return true
}

// turn reads one request and writes its answer. It tells whether the connection goes on.
func (t *talk) turn() bool {
	head, err := t.in.head()
	switch {
	case errors.Is(err, errHeadTooLong):
		return t.refuse(nil, improper(http.StatusRequestHeaderFieldsTooLarge, err.Error()))
	case errors.Is(err, errBareLF):
		return t.refuse(nil, improper(http.StatusBadRequest, err.Error()))
	case err != nil:
		return false
	}
	r, f := readHead(head)
	if f != nil {
		return t.refuse(nil, f)
	}
	if f := checkHost(r.Host); f != nil {
		return t.refuse(r, f)
	}
	if r.ContentLength != 0 && !r.ProtoAtLeast(1, 1) {
		return t.refuse(r, improper(http.StatusHTTPVersionNotSupported, "a body is not taken in this version"))
	}
	body, free, more, f := t.readBody(r)
	if f != nil {
		return t.refuse(r, f)
	}
	release := func() {
		if free != nil {
			free()
		}
	}
	if r.URL.Path == healthPath {
		release()
		if more != nil {
			return t.refuse(r, refusal(errBodyTooLong))
		}
		return t.write(r, http.StatusOK, http.Header{"Content-Type": {"text/plain; charset=utf-8"}}, []byte("ok\n"), false)
	}
	v, f := t.desk.Route(r)
	if f != nil {
		release()
		f.Close = f.Close || more != nil
		return t.refuse(r, f)
	}
	taken, reply := false, proxy.Result{Kind: proxy.Failed}
	if v.Done != nil {
		defer func() { v.Done(taken, reply) }()
	}
	m := &proxy.RequestMessage{Body: body, Release: free}
	arrived := time.Now() // a request's time counts from its last byte
	c, f := t.read(r, &v, m, more != nil, arrived)
	if f != nil {
		release()
		f.Close = f.Close || more != nil
		return t.refuse(r, f)
	}
	c.ClientGone = t.look.gone // also of one that has just been read: nobody knows how long it stood in the kernel's queues
	leave := func() { v.Pool.ClientLeft(c) }
	if more == nil {
		taken = true
		t.look.start(leave)
		reply = v.Pool.Do(c)
		return t.answer(r, reply, t.look.stop()) // also to a caller that has left: one half-closed may still read
	}

	up, err := more.keep()
	if err != nil {
		release()
		return t.refuse(r, refusal(err))
	}
	m.Upload, m.Release = up, func() { release(); more.free() }
	c.Streamed = true
	c.Deadline = v.Pool.Now() + m.ClientTimeout
	if up.Remaining != nil {
		c.Deadline += more.within()
	}
	taken = true
	t.look.start(leave)
	reply = v.Pool.Do(c)
	left := t.look.stop()
	ended, err := more.drop()
	if err == nil && !ended && t.look.gone() { // nobody is there to send the rest of it
		err = io.ErrUnexpectedEOF
	}
	if err != nil && !errors.Is(err, errDropped) {
		reply.Kind = proxy.Failed
		return t.refuse(r, refusal(err))
	}
	if !ended { // what is still to come of it must not be taken for the next request
		t.answer(r, reply, true)
		return t.linger()
	}
	return t.answer(r, reply, left)
}

// refuse answers a request that nobody serves. What is no proper request ends its connection: whatever follows on it, the
// rest of a body or a request hidden in one, is never taken for one.
func (t *talk) refuse(r *http.Request, f *Rejection) bool {
	h := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	t.advise(h, f.RetryAfter)
	if f.Limit != "" {
		t.proxyStatus(h, limitType, f.Limit)
	}
	if len(f.Allow) > 0 {
		h["Allow"] = []string{strings.Join(f.Allow, ", ")}
	}
	if t.write(r, f.Status, h, []byte(f.Reason+"\n"), f.Close) {
		return true
	}
	return t.linger()
}

// linger lets a caller read its answer before the connection closes. A close before all that has come was read would end as a reset, and
// take the answer with it.
func (t *talk) linger() bool {
	if half, ok := t.conn.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = t.conn.SetReadDeadline(after(lastWords))
		_, _ = io.CopyN(io.Discard, t.conn, lastRead)
	}
	return false
}

// last tells whether the answer to a request is to be the last on its connection. At the end of the process it is, unless the next
// request stands behind it: that has been taken as well. A request that could not be read is nil.
func (t *talk) last(r *http.Request) bool {
	return r == nil || r.Close || t.ending.Load() && t.in.start == t.in.end && !t.look.pending()
}

// answer writes the final answer of an engine, as the last on its connection or not.
func (t *talk) answer(r *http.Request, a proxy.Result, end bool) bool {
	if a.Kind == proxy.Served {
		if a.Response.Stream != nil {
			return t.stream(r, &a.Response, end)
		}
		return t.write(r, a.Response.Status, a.Response.Header, a.Response.Body, end)
	}
	status := statuses[a.Kind]
	h := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	t.advise(h, a.RetryAfter)
	t.proxyStatus(h, errorTypes[a.Reason], string(a.Reason))
	return t.write(r, status, h, []byte(http.StatusText(status)+"\n"), end)
}

// stream passes an answer on as it comes: what is read off the endpoint is written at once, and only then more is read. One that breaks
// off ends its connection short of what it has promised, so that the caller can tell.
func (t *talk) stream(r *http.Request, a *proxy.Response, end bool) bool {
	defer a.Stream.Close()
	end = end || t.last(r)
	chunked := a.Length < 0 && r.ProtoAtLeast(1, 1)
	toClose := a.Length < 0 && !chunked // it ends with the connection
	end = end || toClose
	if toClose { // only a reset shows that it broke off, whoever ends it: an endpoint, the end of the process or a signal
		t.setLinger(0)
	}
	t.head(r, a.Status, a.Header, end)
	switch {
	case chunked:
		t.out = append(t.out, "Transfer-Encoding: chunked\r\n\r\n"...)
	case a.Length < 0:
		t.out = append(t.out, "\r\n"...)
	default:
		t.out = append(strconv.AppendInt(append(t.out, "Content-Length: "...), a.Length, 10), "\r\n\r\n"...)
	}
	t.look.start(a.Stream.Cancel)
	defer t.look.stop()
	b := http1.Buffers.Get().(*[]byte)
	defer http1.Buffers.Put(b)
	room := (*b)[http1.ChunkHead : len(*b)-http1.ChunkTail]
	n := copy(room, a.Body)
	for more, ended := a.Body[n:], false; ; {
		if n > 0 {
			if chunked {
				t.out = append(t.out, http1.AppendChunkFraming(*b, n)...)
			} else if len(t.out) > 0 {
				t.out = append(t.out, room[:n]...)
			}
		}
		if ended && chunked {
			t.out = append(t.out, http1.LastChunk...)
		}
		if !t.push(t.out) || len(t.out) == 0 && !t.push(room[:n]) {
			return false
		}
		if t.out = t.out[:0]; ended {
			if toClose {
				t.setLinger(-1)
			}
			return !end
		}
		if n = copy(room, more); n > 0 {
			more = more[n:]
			continue
		}
		var err error
		n, err = a.Stream.Read(room)
		if ended = errors.Is(err, io.EOF) || a.Stream.Ended(); err != nil && !ended {
			return false
		}
	}
}

// push writes a part of an answer. A caller may take seconds to read it, but not for ever.
func (t *talk) push(b []byte) bool {
	if len(b) == 0 {
		return true
	}
	if t.conn.Conn.SetWriteDeadline(after(http1.MaxReadIdle)) != nil {
		return false
	}
	t.writesFrom = time.Time{}
	_, err := t.conn.Write(b)
	return err == nil
}

// setLinger makes the end of the connection a reset (0) or an ordinary end (-1).
func (t *talk) setLinger(seconds int) {
	if c, ok := t.conn.Conn.(*net.TCPConn); ok {
		_ = c.SetLinger(seconds) // of one that is closed the next write tells
	}
}

// date is the time as headers have it, made once a second.
type date struct{ latest atomic.Pointer[stamp] }

type stamp struct {
	second int64
	text   string
}

var now date

func (d *date) get(at time.Time) string {
	s := d.latest.Load()
	if s == nil || s.second != at.Unix() {
		s = &stamp{at.Unix(), at.UTC().Format(http.TimeFormat)}
		d.latest.Store(s)
	}
	return s.text
}

// framings are the headers that are written for the connection, whatever an answer has.
var framings = map[string]bool{"Content-Length": true, "Connection": true, "Transfer-Encoding": true, "Date": true}

// appender is a byte slice that is written to.
type appender struct{ b *[]byte }

// Write implements io.Writer.
func (a appender) Write(p []byte) (int, error) { *a.b = append(*a.b, p...); return len(p), nil }

// WriteString implements io.StringWriter.
func (a appender) WriteString(s string) (int, error) { *a.b = append(*a.b, s...); return len(s), nil }

// head begins an answer, up to what its framing says. A request that could not be read is nil.
func (t *talk) head(r *http.Request, status int, h http.Header, end bool) {
	t.out = append(t.out[:0], "HTTP/1.1 "...)
	t.out = strconv.AppendInt(t.out, int64(status), 10)
	t.out = append(append(append(t.out, ' '), http.StatusText(status)...), "\r\nDate: "...)
	if date := h["Date"]; len(date) == 1 { // an endpoint's own
		t.out = append(t.out, date[0]...)
	} else {
		t.out = append(t.out, now.get(time.Now())...)
	}
	t.out = append(t.out, "\r\n"...)
	_ = h.WriteSubset(appender{&t.out}, framings)
	switch {
	case end:
		t.out = append(t.out, "Connection: close\r\n"...)
	case r != nil && !r.ProtoAtLeast(1, 1):
		t.out = append(t.out, "Connection: keep-alive\r\n"...)
	}
}

// write writes an answer and tells whether the connection goes on. A request that could not be read is nil.
func (t *talk) write(r *http.Request, status int, h http.Header, body []byte, end bool) bool {
	at := time.Now()
	end = end || t.last(r)
	t.head(r, status, h, end)
	bodiless := r != nil && r.Method == http.MethodHead
	switch {
	case status < 200 || status == http.StatusNoContent || status == http.StatusNotModified:
		bodiless = true
	case bodiless && h.Get("Content-Length") != "": // of what the answer to HEAD stands for
		t.out = append(append(append(t.out, "Content-Length: "...), h.Get("Content-Length")...), "\r\n"...)
	default:
		t.out = append(strconv.AppendInt(append(t.out, "Content-Length: "...), int64(len(body)), 10), "\r\n"...)
	}
	t.out = append(t.out, "\r\n"...)
	if bodiless {
		body = nil
	}
	// Bounded, so that a caller that does not read can't hold a connection for good.
	if at.Sub(t.writesFrom) > writeSlack {
		if t.conn.Conn.SetWriteDeadline(at.Add(writeSlack+writeTimeout)) != nil {
			return false
		}
		t.writesFrom = at
	}
	var err error
	if len(body) <= firstBuffer {
		t.out = append(t.out, body...)
		_, err = t.conn.Write(t.out)
	} else if _, err = t.conn.Write(t.out); err == nil {
		_, err = t.conn.Write(body)
	}
	return err == nil && !end
}
