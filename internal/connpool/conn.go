package connpool

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// conn is one connection to an endpoint. It carries one exchange at a time and belongs to whoever
// runs it: the attempt that acquired it, then its Stream if the response is streamed. While it is
// idle it belongs to the Pool, under its mu.
type conn struct {
	net.Conn
	rawConn     syscall.RawConn
	readLimit   *io.LimitedReader // bounds the bytes that reader may still take
	reader      *bufio.Reader
	writeBuffer []byte // kept from one request to the next

	endpoint    *endpointConns
	dialedAddr  string
	connectedAt time.Time
	idleSince   time.Time // zero: never idle, so that this is its first exchange
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

// hasPendingInput reports whether anything has arrived on a connection on which nothing is
// expected: an end of stream, a reset, or bytes that nobody asked for. It guards against writing to
// a connection that the endpoint has closed, which would end as a reset. It does not block.
func (c *conn) hasPendingInput() bool {
	nothing := false
	err := c.rawConn.Control(func(fd uintptr) {
		var b [1]byte
		err := error(syscall.EINTR)
		for errors.Is(err, syscall.EINTR) {
			_, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}
		nothing = errors.Is(err, syscall.EAGAIN)
	})
	return err != nil || !nothing
}

// writeAll writes all of b. Its error is errWriteFailed.
func (c *conn) writeAll(b []byte) error {
	if n, err := c.Write(b); n != len(b) {
		return fmt.Errorf("%w: %w", errWriteFailed, err)
	}
	return nil
}

// bodySource is a connection as http1 reads bodies from it.
type bodySource struct{ *conn }

// Buffered implements http1.Source.
func (s bodySource) Buffered() []byte {
	b, _ := s.reader.Peek(s.reader.Buffered()) // does not read, so it can't fail
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
