package proxy

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"rowancart/balancer"
	"rowancart/internal/http1"
)

const (
	firstPart   = 4 << 10                // bytes by which room for an answer of untold length grows at least
	wholeWithin = 50 * time.Millisecond  // an answer of untold length that has not ended by then is passed on as it comes
	lastAnswer  = 200 * time.Millisecond // for an answer that came ahead of a body's end to be read
)

// RequestMessage is a request as it goes on to endpoints.
type RequestMessage struct {
	Method        string
	URL           *url.URL
	Host          string
	Header        http.Header // end to end; the deadline is set for each attempt
	Body          []byte      // all of it, or its beginning
	Upload        *Upload     // what stands behind Body; nil: nothing
	ClientTimeout time.Duration
	Release       func() // is told when no attempt reads the body any more; it may never be told. nil: nobody asks
}

// Upload is what of a body stands behind its beginning. Message.Wait is how long its caller waits once its last byte is out.
type Upload struct {
	Length    int64     // of the whole body; below 0: it is not told
	Buffered  [][]byte  // what is there
	Remaining io.Reader // what is still to come; nil: all is there
	Release   func()    // is told when what is kept will not be sent again, before Rest is read
	began     atomic.Bool
}

// size is how long the whole body is, below 0 where that is not told.
func (m *RequestMessage) size() int64 {
	if m.Upload != nil {
		return m.Upload.Length
	}
	return int64(len(m.Body))
}

// gone tells whether so much of the body has gone out that it can't be sent once more.
func (m *RequestMessage) gone() bool { return m.Upload != nil && m.Upload.began.Load() }

// Response is an endpoint's answer.
type Response struct {
	Status int
	Header http.Header // what goes on to the caller
	Body   []byte      // all of it, or its beginning
	Stream *Stream     // what follows as it comes; nil: Body is all. Whoever takes the answer has to close it
	Length int64       // of the whole body, where there is more; below 0: it is not told
}

// sendLong writes a request with a long body. What is read off the caller goes out at once, so that a slow endpoint slows its caller
// down and nothing piles up here.
func (c *conn) sendLong(l *leash, m *RequestMessage) error {
	up := m.Upload
	if up.Remaining != nil && up.began.Load() {
		return errCaller // it is another attempt's
	}
	wait := time.Until(l.deadline)
	if up.Remaining != nil {
		wait = m.ClientTimeout
	}
	c.out = m.appendHead(c.out[:0], wait)
	if err := c.put(c.out); err != nil {
		return err
	}
	b := http1.Buffers.Get().(*[]byte)
	defer http1.Buffers.Put(b)
	room := (*b)[http1.ChunkHead : http1.ChunkHead+http1.BufferSize]
	piece := func(n int) error {
		if up.Length < 0 {
			return c.put(http1.AppendChunkFraming(*b, n))
		}
		return c.put(room[:n])
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
		return errEarly
	}
	up.began.Store(true)
	if up.Release != nil {
		up.Release()
	}
	for {
		n, err := up.Remaining.Read(room)
		if n > 0 {
			if !c.quiet() { // it has answered, or gone
				return errEarly
			}
			if c.SetWriteDeadline(time.Now().Add(http1.MaxReadIdle)) != nil {
				return errNotWritten
			}
			if err := piece(n); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errCaller, err)
		}
	}
	if up.Length < 0 {
		if err := c.put([]byte(http1.LastChunk)); err != nil {
			return err
		}
	}
	l.deadline = time.Now().Add(m.ClientTimeout) // the caller's time runs from here
	_ = c.SetDeadline(l.deadline)                // where it was called off the answer's read tells: written it is, and may run
	return nil
}

// put writes all of some bytes.
func (c *conn) put(b []byte) error {
	if n, err := c.Write(b); n != len(b) {
		return fmt.Errorf("%w: %w", errNotWritten, err)
	}
	return nil
}

// source is a connection as bodies are read off it.
type source struct{ *conn }

// Buffered implements framing.Source.
func (s source) Buffered() []byte {
	come, _ := s.read.Peek(s.read.Buffered()) // it is there
	return come
}

// Discard implements framing.Source.
func (s source) Discard(n int) { _, _ = s.read.Discard(n) }

// Fill implements framing.Source.
func (s source) Fill() error {
	_, err := s.read.Peek(1)
	return err
}

// Read implements framing.Source.
func (s source) Read(p []byte) (int, error) { return s.read.Read(p) }

// Stream is what follows of an answer that is passed on while it comes.
type Stream struct {
	conn     *conn
	upstream *upstream
	body     *http1.Body
	last     bool                    // the connection's last answer
	left     int64                   // bytes that it may still bring
	over     func(r balancer.Result) // is told how it ended
	broken   error                   // why it could not be read on
	closed   atomic.Bool
}

// stream is what follows of an answer whose beginning was read.
func (u *upstream) stream(c *conn, body *http1.Body, last bool) *Stream {
	return &Stream{conn: c, upstream: u, body: body, last: last, left: u.longest()}
}

// Ended tells whether the answer was read to its end.
func (s *Stream) Ended() bool { return s.broken == nil && s.body.Ended() }

// Read implements io.Reader. An error but io.EOF means that the answer has broken off.
func (s *Stream) Read(p []byte) (int, error) {
	if s.conn.SetReadDeadline(time.Now().Add(http1.MaxReadIdle)) != nil {
		s.broken = errClosed
		return 0, s.broken
	}
	n, err := s.body.Read(p)
	if s.left -= int64(n); s.left < 0 {
		n, err = 0, errTooLong
	}
	if err != nil && !errors.Is(err, io.EOF) {
		s.broken = err
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
	case s.broken != nil:
		r = balancer.Reset
	}
	if r == balancer.OK && !s.last && s.conn.read.Buffered() == 0 && s.conn.SetDeadline(time.Time{}) == nil {
		s.upstream.giveBack(s.conn)
	} else {
		s.upstream.discard(s.conn)
	}
	if s.over != nil {
		s.over(r)
	}
	return nil
}
