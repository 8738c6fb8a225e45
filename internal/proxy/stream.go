package proxy

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"rowancart/balancer"
	"rowancart/internal/http1"
)

// Stream is what follows of an answer that is passed on while it comes.
type Stream struct {
	conn       *conn
	pool       *connPool
	body       *http1.Body
	lastOnConn bool                    // the connection's last answer
	remaining  int64                   // bytes that it may still bring
	onClose    func(r balancer.Result) // is told how it ended
	readErr    error                   // why it could not be read on
	closed     atomic.Bool
}

// newStream is what follows of an answer whose beginning was read.
func (p *connPool) newStream(c *conn, body *http1.Body, last bool) *Stream {
	return &Stream{conn: c, pool: p, body: body, lastOnConn: last, remaining: p.maxBodyLength()}
}

// Ended tells whether the answer was read to its end.
func (s *Stream) Ended() bool { return s.readErr == nil && s.body.Ended() }

// Read implements io.Reader. An error but io.EOF means that the answer has broken off.
func (s *Stream) Read(p []byte) (int, error) {
	if s.conn.SetReadDeadline(time.Now().Add(http1.MaxReadIdle)) != nil {
		s.readErr = errConnClosed
		return 0, s.readErr
	}
	n, err := s.body.Read(p)
	if s.remaining -= int64(n); s.remaining < 0 {
		n, err = 0, errResponseTooLong
	}
	if err != nil && !errors.Is(err, io.EOF) {
		s.readErr = err
	}
	return n, err
}

// Cancel ends a read that waits, and all later ones: the caller has gone.
func (s *Stream) Cancel() { s.conn.Close() }

// Close ends the stream: the endpoint is free again.
func (s *Stream) Close() error {
	if s.closed.Swap(true) {
		return nil
	}
	r := balancer.Canceled
	switch {
	case s.Ended():
		r = balancer.OK
	case s.readErr != nil:
		r = balancer.Reset
	}
	if r == balancer.OK && !s.lastOnConn && s.conn.reader.Buffered() == 0 && s.conn.SetDeadline(time.Time{}) == nil {
		s.pool.releaseConn(s.conn)
	} else {
		s.pool.closeConn(s.conn)
	}
	if s.onClose != nil {
		s.onClose(r)
	}
	return nil
}
