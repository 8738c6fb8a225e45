package connpool

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"rowancart/internal/http1"
)

// Stream is the remaining body of a response that is passed on while it arrives. It owns its
// connection until Close or Discard.
type Stream struct {
	conn       *conn
	pool       *Pool
	body       *http1.Body
	lastOnConn bool            // the endpoint closes the connection after this response
	remaining  int64           // bytes that may still be read; beyond them, Read returns errResponseTooLong
	onClose    func(err error) // see NotifyClose
	readErr    error           // of the latest Read that failed; nil: none failed
	closed     atomic.Bool
}

// NotifyClose sets the function that Close calls, once: with nil if the response was read to its
// end, otherwise with an *Error of kind Reset or Canceled. NotifyClose must be called before the
// Stream is passed to its reader.
func (s *Stream) NotifyClose(onClose func(err error)) { s.onClose = onClose }

// Ended reports whether the response was read to its end.
func (s *Stream) Ended() bool { return s.readErr == nil && s.body.Ended() }

// Read implements io.Reader. An error other than io.EOF means that the response is incomplete.
func (s *Stream) Read(p []byte) (int, error) {
	if s.conn.SetReadDeadline(streamReadEndsAt()) != nil {
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

// Cancel ends a Read in progress and makes all later ones fail. It is called when the client has
// disconnected, and may be called from any goroutine.
func (s *Stream) Cancel() { s.conn.Close() }

// Close ends the stream. If the response was read to its end and the connection can carry another
// exchange, the connection returns to the pool. Otherwise it is closed.
func (s *Stream) Close() error {
	if s.closed.Swap(true) {
		return nil
	}
	err := s.outcome()
	if err == nil && s.makeReusable() {
		s.pool.releaseConn(s.conn)
	} else {
		s.pool.closeConn(s.conn)
	}
	if s.onClose != nil {
		s.onClose(err)
	}
	return nil
}

// makeReusable prepares the connection for another exchange and reports whether it can carry one.
func (s *Stream) makeReusable() bool {
	return !s.lastOnConn && s.conn.reader.Buffered() == 0 && s.conn.SetDeadline(time.Time{}) == nil
}

// outcome returns nil if the response was read to its end, otherwise an *Error.
func (s *Stream) outcome() error {
	switch {
	case s.Ended():
		return nil
	case s.readErr != nil:
		return &Error{Kind: Reset, Err: s.readErr}
	}
	return &Error{Kind: Canceled, Err: errStreamUnfinished}
}

// Discard closes the connection of a response that nobody will read. It is called instead of Close,
// and does not call the function set with NotifyClose.
func (s *Stream) Discard() {
	if s.closed.Swap(true) {
		return
	}
	s.pool.closeConn(s.conn)
}
