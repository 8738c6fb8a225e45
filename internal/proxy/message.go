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
	minBodyGrowth        = 4 << 10                // bytes by which room for an answer of untold length grows at least
	streamAfter          = 50 * time.Millisecond  // an answer of untold length that has not ended by then is passed on as it comes
	earlyResponseTimeout = 200 * time.Millisecond // for an answer that came ahead of a body's end to be read
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
	consumed  atomic.Bool
}

// bodyLength is how long the whole body is, below 0 where that is not told.
func (m *RequestMessage) bodyLength() int64 {
	if m.Upload != nil {
		return m.Upload.Length
	}
	return int64(len(m.Body))
}

// bodyConsumed tells whether so much of the body has gone out that it can't be sent once more.
func (m *RequestMessage) bodyConsumed() bool { return m.Upload != nil && m.Upload.consumed.Load() }

// Response is an endpoint's answer.
type Response struct {
	Status int
	Header http.Header // what goes on to the caller
	Body   []byte      // all of it, or its beginning
	Stream *Stream     // what follows as it comes; nil: Body is all. Whoever takes the answer has to close it
	Length int64       // of the whole body, where there is more; below 0: it is not told
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
