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
// errEarlyResponse or errUploadFailed.
func (c *conn) writeRequest(a *Attempt, req *Request) error {
	if req.Upload != nil {
		return c.writeUploadRequest(a, req)
	}
	c.writeBuffer = req.appendHead(c.writeBuffer[:0], time.Until(a.Deadline))
	if len(req.Body) <= maxCoalescedBody {
		c.writeBuffer = append(c.writeBuffer, req.Body...)
		return c.writeAll(c.writeBuffer)
	}
	length := int64(len(c.writeBuffer) + len(req.Body))
	buffers := net.Buffers{c.writeBuffer, req.Body}
	if n, err := buffers.WriteTo(c.Conn); n != length {
		return fmt.Errorf("%w: %w", errWriteFailed, err)
	}
	return nil
}

// writeAll writes all of b, or returns an error that wraps errWriteFailed.
func (c *conn) writeAll(b []byte) error {
	if n, err := c.Write(b); n != len(b) {
		return fmt.Errorf("%w: %w", errWriteFailed, err)
	}
	return nil
}
