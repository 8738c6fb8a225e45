package connpool

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// maxIdleBuffer is the maximum size, in bytes, of the write buffer of a connection that is not
// writing a request.
const maxIdleBuffer = 4 << 10

// conn is one connection to an endpoint. It carries one exchange at a time. It belongs to the
// attempt that acquired it and then, if the response is streamed, to the Stream. While it is idle,
// it belongs to the Pool, whose mu guards it.
type conn struct {
	net.Conn
	rawConn     syscall.RawConn
	readLimit   *io.LimitedReader // limits how many more bytes reader may read
	reader      *bufio.Reader
	writeBuffer []byte // reused from one request to the next, if it is not large
	written     int64  // bytes of the current request

	endpoint    *endpointConns
	dialedAddr  string
	connectedAt time.Time
	idleSince   time.Time // zero: it has not been idle yet, so it carries its first exchange
}

func newConn(nc net.Conn, e *endpointConns, addr string) (*conn, error) {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		return nil, err
	}
	limit := &io.LimitedReader{R: nc}
	return &conn{
		Conn: nc, rawConn: raw, readLimit: limit, reader: bufio.NewReader(limit),
		endpoint: e, dialedAddr: addr, connectedAt: time.Now(),
	}, nil
}

// dropLargeBuffer frees the write buffer if it has grown beyond what an idle connection may hold.
func (c *conn) dropLargeBuffer() {
	if cap(c.writeBuffer) > maxIdleBuffer {
		c.writeBuffer = nil
	}
}

// isReused reports whether the connection has carried an exchange before the present one.
func (c *conn) isReused() bool { return !c.idleSince.IsZero() }

// hasPendingInput reports whether anything has arrived on a connection while no response is due: an
// end of stream, a reset, or data. It is checked before a connection is reused or written to: a
// write to a connection that the endpoint has closed would end in a reset. It does not block.
func (c *conn) hasPendingInput() bool {
	isEmpty := false
	err := c.rawConn.Control(func(fd uintptr) {
		var b [1]byte
		err := error(syscall.EINTR)
		for errors.Is(err, syscall.EINTR) {
			_, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}
		isEmpty = errors.Is(err, syscall.EAGAIN)
	})
	return err != nil || !isEmpty
}

// bodySource is the http1.Source that reads bodies from a connection.
type bodySource struct{ *conn }

// Buffered implements http1.Source.
func (s bodySource) Buffered() []byte {
	b, _ := s.reader.Peek(s.reader.Buffered()) // peeks only at what is buffered, so it can't fail
	return b
}

// Discard implements http1.Source.
func (s bodySource) Discard(n int) { _, _ = s.reader.Discard(n) }

// Fill implements http1.Source.
func (s bodySource) Fill() error {
	_, err := s.reader.Peek(1)
	return err
}

// Read implements http1.Source.
func (s bodySource) Read(p []byte) (int, error) { return s.reader.Read(p) }
