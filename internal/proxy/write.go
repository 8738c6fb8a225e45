package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"rowancart/internal/http1"
)

// perAttemptHeaders are the headers that are written for each attempt, or never.
var perAttemptHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true, DeadlineHeader: true}

// appendRequestHead appends the request's head as every endpoint gets it, with how long this side waits.
func (m *RequestMessage) appendRequestHead(b []byte, wait time.Duration) []byte {
	text := func(parts ...string) {
		for _, s := range parts {
			b = append(b, s...)
		}
	}
	text(m.Method, " ", m.URL.RequestURI(), " HTTP/1.1\r\nHost: ", m.Host, "\r\n")
	for name, values := range m.Header { // the order of different names means nothing (RFC 9110, 5.3)
		if perAttemptHeaders[name] {
			continue
		}
		for _, v := range values {
			text(name, ": ", v, "\r\n")
		}
	}
	switch size := m.bodyLength(); {
	case size < 0:
		text("Transfer-Encoding: chunked\r\n")
	case size > 0 || m.Method == http.MethodPost || m.Method == http.MethodPut || m.Method == http.MethodPatch:
		text("Content-Length: ")
		b = strconv.AppendInt(b, size, 10)
		text("\r\n")
	}
	text(DeadlineHeader, ": ")
	b = strconv.AppendInt(b, max(wait.Milliseconds(), 1), 10)
	return append(b, "\r\n\r\n"...)
}

const maxCoalescedBody = 4 << 10 // that is copied behind its head, so that both go in one write

// writeRequest writes a request whole, or tells why it did not. Its deadline says how long this side waits.
func (c *conn) writeRequest(l *AttemptControl, m *RequestMessage) error {
	if m.Upload != nil {
		return c.writeUpload(l, m)
	}
	c.writeBuffer = m.appendRequestHead(c.writeBuffer[:0], time.Until(l.Deadline))
	if len(m.Body) <= maxCoalescedBody {
		c.writeBuffer = append(c.writeBuffer, m.Body...)
		if n, _ := c.Write(c.writeBuffer); n != len(c.writeBuffer) {
			return errWriteFailed
		}
		return nil
	}
	whole := int64(len(c.writeBuffer) + len(m.Body))
	both := net.Buffers{c.writeBuffer, m.Body}
	if n, _ := both.WriteTo(c.Conn); n != whole {
		return errWriteFailed
	}
	return nil
}

// writeUpload writes a request with a long body. What is read off the caller goes out at once, so that a slow endpoint slows its caller
// down and nothing piles up here.
func (c *conn) writeUpload(l *AttemptControl, m *RequestMessage) error {
	up := m.Upload
	if up.Remaining != nil && up.consumed.Load() {
		return errUploadFailed // it is another attempt's
	}
	wait := time.Until(l.Deadline)
	if up.Remaining != nil {
		wait = m.ClientTimeout
	}
	c.writeBuffer = m.appendRequestHead(c.writeBuffer[:0], wait)
	if err := c.writeAll(c.writeBuffer); err != nil {
		return err
	}
	b := http1.Buffers.Get().(*[]byte)
	defer http1.Buffers.Put(b)
	room := (*b)[http1.ChunkHead : http1.ChunkHead+http1.BufferSize]
	piece := func(n int) error {
		if up.Length < 0 {
			return c.writeAll(http1.AppendChunkFraming(*b, n))
		}
		return c.writeAll(room[:n])
	}
	for i := -1; i < len(up.Buffered); i++ {
		kept := m.Body
		if i >= 0 {
			kept = up.Buffered[i]
		}
		for len(kept) > 0 {
			n := copy(room, kept)
			kept = kept[n:]
			if err := piece(n); err != nil {
				return err
			}
		}
	}
	if up.Remaining == nil {
		return nil
	}
	if !c.quiet() {
		return errEarlyResponse
	}
	up.consumed.Store(true)
	if up.Release != nil {
		up.Release()
	}
	for {
		n, err := up.Remaining.Read(room)
		if n > 0 {
			if !c.quiet() { // it has answered, or gone
				return errEarlyResponse
			}
			if c.SetWriteDeadline(time.Now().Add(http1.MaxReadIdle)) != nil {
				return errWriteFailed
			}
			if err := piece(n); err != nil {
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
	if up.Length < 0 {
		if err := c.writeAll([]byte(http1.LastChunk)); err != nil {
			return err
		}
	}
	l.Deadline = time.Now().Add(m.ClientTimeout) // the caller's time runs from here
	_ = c.SetDeadline(l.Deadline)                // where it was called off the answer's read tells: written it is, and may run
	return nil
}

// writeAll writes all of some bytes.
func (c *conn) writeAll(b []byte) error {
	if n, err := c.Write(b); n != len(b) {
		return fmt.Errorf("%w: %w", errWriteFailed, err)
	}
	return nil
}
