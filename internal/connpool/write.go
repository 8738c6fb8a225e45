package connpool

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"rowancart/internal/http1"
	"rowancart/internal/platform"
)

// maxCoalescedBody is the length up to which a body is copied behind its head, so that both go out
// in one write.
const maxCoalescedBody = 4 << 10

// uploadCheckInterval is the time between two looks at the client while an endpoint reads nothing.
const uploadCheckInterval = 100 * time.Millisecond

// perAttemptHeaders are the headers that are written for each attempt, or never.
var perAttemptHeaders = map[string]bool{
	"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true, platform.DeadlineHeader: true,
}

// appendHead appends the request's head, with how long this side waits for the response.
func (r *Request) appendHead(b []byte, wait time.Duration) []byte {
	text := func(parts ...string) {
		for _, s := range parts {
			b = append(b, s...)
		}
	}
	text(r.Method, " ", r.URL.RequestURI(), " HTTP/1.1\r\nHost: ", r.Host, "\r\n")
	for name, values := range r.Header { // the order of different names means nothing (RFC 9110, section 5.3)
		if perAttemptHeaders[name] {
			continue
		}
		for _, v := range values {
			text(name, ": ", v, "\r\n")
		}
	}
	switch length := r.bodyLength(); {
	case length < 0:
		text("Transfer-Encoding: chunked\r\n")
	case length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		text("Content-Length: ")
		b = strconv.AppendInt(b, length, 10)
		text("\r\n")
	}
	text(platform.DeadlineHeader, ": ")
	b = strconv.AppendInt(b, max(wait.Milliseconds(), 1), 10)
	return append(b, "\r\n\r\n"...)
}

// writeRequest writes a request completely, or returns why it did not: errWriteFailed,
// errEarlyResponse or errUploadFailed.
func (c *conn) writeRequest(a *Attempt, req *Request) error {
	if req.Upload != nil {
		return c.writeUploadRequest(a, req)
	}
	c.writeBuffer = req.appendHead(c.writeBuffer[:0], time.Until(a.Deadline))
	if len(req.Body) <= maxCoalescedBody {
		c.writeBuffer = append(c.writeBuffer, req.Body...)
		if n, _ := c.Write(c.writeBuffer); n != len(c.writeBuffer) {
			return errWriteFailed
		}
		return nil
	}
	length := int64(len(c.writeBuffer) + len(req.Body))
	buffers := net.Buffers{c.writeBuffer, req.Body}
	if n, _ := buffers.WriteTo(c.Conn); n != length {
		return errWriteFailed
	}
	return nil
}

// writeUploadRequest writes a request with a long body. What is read from the client is written at
// once, so that a slow endpoint slows its client down and nothing accumulates here.
func (c *conn) writeUploadRequest(a *Attempt, req *Request) error {
	upload := req.Upload
	if upload.Remaining != nil && upload.consumed.Load() {
		return errUploadFailed // another attempt has read it
	}
	wait := time.Until(a.Deadline)
	if upload.Remaining != nil {
		wait = time.Until(req.clientDeadline())
	}
	c.writeBuffer = req.appendHead(c.writeBuffer[:0], wait)
	if err := c.writeAll(c.writeBuffer); err != nil {
		return err
	}
	buffer := http1.Buffers.Get().(*[]byte)
	defer http1.Buffers.Put(buffer)
	w := uploadWriter{conn: c, request: req, upload: upload, buffer: *buffer}
	if err := w.writeBuffered(req.Body); err != nil {
		return err
	}
	for _, b := range upload.Buffered {
		if err := w.writeBuffered(b); err != nil {
			return err
		}
	}
	if upload.Remaining == nil {
		return nil
	}
	if err := w.writeRemaining(); err != nil {
		return err
	}
	a.Deadline = req.clientDeadline()
	// An error means that the attempt was canceled, which the read of the response finds. The request
	// has been written by now and may run, so that this is no failed write.
	_ = c.SetDeadline(a.Deadline)
	return nil
}

// uploadWriter writes the pieces of a long body to a connection.
type uploadWriter struct {
	conn    *conn
	request *Request
	upload  *Upload
	buffer  []byte // one of http1.Buffers: a piece of the body, with room for its chunk framing
}

// piece returns the part of the buffer that a piece of the body is read into.
func (w *uploadWriter) piece() []byte {
	return w.buffer[http1.ChunkHead : http1.ChunkHead+http1.BufferSize]
}

// writePiece writes the first n bytes of piece, as a chunk where the length of the body is unknown.
func (w *uploadWriter) writePiece(n int) error { return w.conn.writeAll(w.framedPiece(n)) }

// framedPiece returns the first n bytes of piece as they are written.
func (w *uploadWriter) framedPiece(n int) []byte {
	if w.upload.Length < 0 {
		return http1.AppendChunkFraming(w.buffer, n)
	}
	return w.piece()[:n]
}

// writeBuffered writes a part of the body that is held in memory.
func (w *uploadWriter) writeBuffered(body []byte) error {
	for len(body) > 0 {
		n := copy(w.piece(), body)
		body = body[n:]
		if err := w.writePiece(n); err != nil {
			return err
		}
	}
	return nil
}

// writeRemaining reads the rest of the body from the client and writes it. From its first read on,
// the request can't be sent again.
func (w *uploadWriter) writeRemaining() error {
	if w.conn.hasPendingInput() {
		return errEarlyResponse
	}
	w.upload.consumed.Store(true)
	if w.upload.Release != nil {
		w.upload.Release()
	}
	for {
		n, err := w.upload.Remaining.Read(w.piece())
		if n > 0 {
			if err := w.writeRead(n); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errUploadFailed, err)
		}
	}
	if w.upload.Length < 0 {
		return w.conn.writeAll([]byte(http1.LastChunk))
	}
	return nil
}

// writeRead writes n bytes that were just read from the client, unless the endpoint has responded
// or closed meanwhile.
func (w *uploadWriter) writeRead(n int) error {
	if w.conn.hasPendingInput() {
		return errEarlyResponse
	}
	began := time.Now()
	for text := w.framedPiece(n); len(text) > 0; {
		// The client may have sent all of its body while the endpoint reads nothing.
		stallEnd := began.Add(http1.MaxReadIdle)
		if clientDeadline := w.request.clientDeadline(); clientDeadline.Before(stallEnd) {
			stallEnd = clientDeadline
		}
		until := time.Now().Add(uploadCheckInterval)
		if stallEnd.Before(until) {
			until = stallEnd
		}
		if w.conn.SetWriteDeadline(until) != nil {
			return errWriteFailed
		}
		written, err := w.conn.Write(text)
		text = text[written:]
		if len(text) > 0 && (!errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(stallEnd)) {
			return fmt.Errorf("%w: %w", errWriteFailed, err)
		}
	}
	return nil
}
