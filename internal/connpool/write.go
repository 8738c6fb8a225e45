package connpool

import (
	"fmt"
	"net"
	"time"
)

// maxCoalescedBody is the length, in bytes, up to which a body is copied behind its head into
// writeBuffer, so that both are written at once from one buffer. A longer body is not copied.
const maxCoalescedBody = 4 << 10

// writeRequest writes a request completely, or returns an error that wraps errWriteFailed,
// errEarlyResponse, errUploadFailed, errBodyUnavailable or errAttemptCanceled.
func (c *conn) writeRequest(a *Attempt, req *Request) error {
	defer c.dropLargeBuffer()
	c.written = 0
	defer func() { a.progress.Written = c.written }()
	a.progress.Phase = WritingHead
	if req.Body == nil {
		return c.writeShortRequest(a, req, nil)
	}
	body, err := req.Body.Acquire()
	if err != nil {
		return fmt.Errorf("%w: %w", errBodyUnavailable, err)
	}
	defer body.End()
	if req.Body.IsLong() {
		return c.writeLongRequest(a, req, body)
	}
	return c.writeShortRequest(a, req, body.Parts())
}

// writeShortRequest writes a request whose body is not long.
func (c *conn) writeShortRequest(a *Attempt, req *Request, parts [][]byte) error {
	c.writeBuffer = req.appendHead(c.writeBuffer[:0], time.Until(a.Deadline))
	if req.Body.Length() <= maxCoalescedBody {
		for _, part := range parts {
			c.writeBuffer = append(c.writeBuffer, part...)
		}
		return c.writeAll(c.writeBuffer)
	}
	length := int64(len(c.writeBuffer)) + req.Body.Length()
	buffers := append(net.Buffers{c.writeBuffer}, parts...)
	n, err := buffers.WriteTo(c.Conn)
	c.written += n
	if n != length {
		return fmt.Errorf("%w: %w", errWriteFailed, err)
	}
	return nil
}

// writeAll writes all of b, or returns an error that wraps errWriteFailed.
func (c *conn) writeAll(b []byte) error {
	n, err := c.Write(b)
	c.written += int64(n)
	if n != len(b) {
		return fmt.Errorf("%w: %w", errWriteFailed, err)
	}
	return nil
}
