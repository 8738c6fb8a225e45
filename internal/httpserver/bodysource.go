package httpserver

import (
	"errors"
	"os"
	"sync/atomic"
	"time"
)

// bodySource reads a body, including its framing, from a connection, and sets the connection's
// read deadlines. It implements http1.Source.
type bodySource struct {
	reader    *connReader
	pace      bodyPace
	catchUp   catchUp
	waits     atomic.Bool // a read is in progress that began when no data was waiting
	abandoned atomic.Bool // no further read may begin, and one in progress is interrupted
}

// setReadDeadline sets the deadline of the next read. It returns errBodyAbandoned if the body was
// abandoned: this deadline may have replaced the one that was to interrupt the read.
func (s *bodySource) setReadDeadline() error {
	if now := time.Now(); now.Sub(s.pace.lastRead) > minUnreadWait {
		s.pace.beginRead(now, s.silence())
	}
	if err := s.reader.Conn.SetReadDeadline(s.pace.nextDeadline()); err != nil {
		return err
	}
	if s.abandoned.Load() {
		return errBodyAbandoned
	}
	return nil
}

// silence returns for how long the client has sent nothing, or 0 if data of it is waiting.
func (s *bodySource) silence() time.Duration {
	if s.reader.socket.unreadBytes() > 0 {
		return 0
	}
	return s.reader.socket.unreadAge()
}

// isInterruption reports whether a read has failed because the body was abandoned. The client is
// not to blame for that.
func (s *bodySource) isInterruption(err error) bool {
	return s.abandoned.Load() && (errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errBodyAbandoned))
}

// Buffered implements http1.Source.
func (s *bodySource) Buffered() []byte { return s.reader.buffered() }

// Discard implements http1.Source.
func (s *bodySource) Discard(n int) { s.reader.start += n }

// Fill implements http1.Source.
func (s *bodySource) Fill() error {
	if err := s.setReadDeadline(); err != nil {
		return err
	}
	return s.observe(s.reader.fill)
}

// Read implements http1.Source. If nothing is buffered, it reads from the connection directly into
// p.
func (s *bodySource) Read(p []byte) (int, error) {
	if n := copy(p, s.Buffered()); n > 0 {
		s.Discard(n)
		return n, nil
	}
	if err := s.setReadDeadline(); err != nil {
		return 0, err
	}
	n := 0
	err := s.observe(func() (err error) {
		n, err = s.reader.Read(p)
		return err
	})
	if n > 0 {
		return n, nil
	}
	return n, err
}

// observe calls a function that reads from the connection, and records when it ended and whether it
// waited for the client.
func (s *bodySource) observe(read func() error) error {
	wasEmpty := s.reader.socket.unreadBytes() == 0
	s.waits.Store(wasEmpty)
	defer s.waits.Store(false)
	began := time.Now()
	err := read()
	now := time.Now()
	s.pace.lastRead = now
	s.catchUp.observeRead(now, wasEmpty, now.Sub(began))
	return err
}
