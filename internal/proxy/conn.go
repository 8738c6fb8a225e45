package proxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// conn is one connection; it carries one attempt at a time.
type conn struct {
	net.Conn
	rawConn     syscall.RawConn
	readLimit   *io.LimitedReader // bounds what one answer may bring
	reader      *bufio.Reader
	writeBuffer []byte // what is being written
	endpoint    *endpointConns
	dialedAddr  string
	connectedAt time.Time
	idleSince   time.Time
}

// quiet tells whether nothing has come on an idle connection: no end, no break, no bytes that nobody asked for. It
// guards against sending on a connection that the endpoint has closed, which would end as a reset.
func (c *conn) quiet() bool {
	quiet := false
	err := c.rawConn.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

func newConn(nc net.Conn, e *endpointConns, addr string) (*conn, error) {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		return nil, err
	}
	limit := &io.LimitedReader{R: nc}
	return &conn{Conn: nc, rawConn: raw, readLimit: limit, reader: bufio.NewReader(limit), endpoint: e, dialedAddr: addr, connectedAt: time.Now()}, nil
}

// bodySource is a connection as bodies are read off it.
type bodySource struct{ *conn }

// Buffered implements framing.Source.
func (s bodySource) Buffered() []byte {
	come, _ := s.reader.Peek(s.reader.Buffered()) // it is there
	return come
}

// Discard implements framing.Source.
func (s bodySource) Discard(n int) { _, _ = s.reader.Discard(n) }

// Fill implements framing.Source.
func (s bodySource) Fill() error {
	_, err := s.reader.Peek(1)
	return err
}

// Read implements framing.Source.
func (s bodySource) Read(p []byte) (int, error) { return s.reader.Read(p) }
