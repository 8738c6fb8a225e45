package httpserver

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"rowancart/internal/http1"
	"rowancart/internal/proxy"
)

// Errors of reading bodies.
var (
	errBodyTooLong   = errors.New("the body is too long")
	errBodyAbandoned = errors.New("the body was abandoned")
)

// bodyDataPool is a pool of buffers for bodies longer than initialBufferSize, or the beginning of
// such bodies. Its values are of type *[]byte and have a length of proxy.MaxBody bytes.
var bodyDataPool = sync.Pool{New: func() any { b := make([]byte, proxy.MaxBody); return &b }}

// bodySource reads a body, including its framing, from a connection, and sets the connection's
// read deadlines. It implements http1.Source.
type bodySource struct {
	reader    *connReader
	pace      bodyPace
	abandoned atomic.Bool // no further read may begin, and one in progress is interrupted
}

// setReadDeadline sets the deadline of the next read. It returns errBodyAbandoned if the body was
// abandoned: this deadline may have replaced the one that was to interrupt the read.
func (s *bodySource) setReadDeadline() error {
	if err := s.reader.Conn.SetReadDeadline(s.pace.nextDeadline()); err != nil {
		return err
	}
	if s.abandoned.Load() {
		return errBodyAbandoned
	}
	return nil
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
	err := s.reader.fill()
	s.pace.lastRead = time.Now()
	return err
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
	n, err := s.reader.Read(p)
	s.pace.lastRead = time.Now()
	if n > 0 {
		return n, nil
	}
	return n, err
}

// requestBody is the body of the request that is being served. It is read from the connection as
// it arrives. A goroutine other than the connection's may read it, until the connection's
// goroutine calls abandon.
type requestBody struct {
	interruptMu sync.Mutex // held while source.abandoned is set and a read is interrupted

	mu      sync.Mutex // held during a read; guards the fields below, but for source.abandoned
	source  bodySource
	decoder *http1.Body
	err     error // of a failed read; later reads return it too
}

// newRequestBody returns a body of length bytes, or a chunked body if length is http1.Chunked.
func (c *conn) newRequestBody(length int64) *requestBody {
	now := time.Now()
	pace := bodyPace{gracePeriod: c.server.bodyGracePeriod, requestStart: c.requestStart, bodyStart: now, lastRead: now}
	b := &requestBody{source: bodySource{reader: &c.reader, pace: pace}}
	b.decoder = http1.NewBody(&b.source, length)
	return b
}

// ended reports whether the body was read to its end. No read may be in progress.
func (b *requestBody) ended() bool { return b.decoder.Ended() }

// Read implements io.Reader. It returns errBodyAbandoned once the body is abandoned.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.source.abandoned.Load() {
		return 0, errBodyAbandoned
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.decoder.Read(p)
	if b.source.isInterruption(err) {
		return n, errBodyAbandoned
	}
	b.source.pace.received += int64(n)
	if b.source.pace.received > proxy.MaxStreamedBody {
		err = errBodyTooLong
	}
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
		return 0, err
	}
	return n, err
}

// readFull reads until p is full or the body has ended, and returns how much it has read.
func (b *requestBody) readFull(p []byte) (n int, err error) {
	for n < len(p) && !b.ended() {
		read, err := b.Read(p[n:])
		n += read
		if err != nil && !errors.Is(err, io.EOF) {
			return n, err
		}
	}
	return n, nil
}

// Interrupt implements sharedbody.Rest. It does nothing once the body is abandoned: the read
// deadline belongs to the connection's goroutine again.
func (b *requestBody) Interrupt() {
	b.interruptMu.Lock()
	defer b.interruptMu.Unlock()
	if b.source.abandoned.Swap(true) {
		return
	}
	if b.mu.TryLock() { // no read is in progress
		b.mu.Unlock()
		return
	}
	_ = b.source.reader.Conn.SetReadDeadline(time.Unix(1, 0)) // any later read sets its own deadline
}

// abandon makes all reads fail, including one in progress. It reports whether the body was read to
// its end, and returns the error of reading it.
func (b *requestBody) abandon() (ended bool, err error) {
	b.Interrupt()
	b.mu.Lock() // waits for the end of a read in progress
	defer b.mu.Unlock()
	return b.ended(), b.err
}

// receivedBody is a request's body: the data that readBody has read and, of a long body, the
// source of the rest.
type receivedBody struct {
	data        []byte
	releaseData func()        // returns data to bodyDataPool; nil if data is not from there
	streamed    *streamedBody // nil if data is all of the body
}

// isEmpty reports whether the body has no bytes.
func (b receivedBody) isEmpty() bool { return len(b.data) == 0 && b.streamed == nil }

// release returns the memory of data to its pool. After that, data must not be used.
func (b receivedBody) release() {
	if b.releaseData != nil {
		b.releaseData()
	}
}

// newReceivedBody returns a body with memory for size bytes of data.
func newReceivedBody(size int) receivedBody {
	if size <= initialBufferSize {
		return receivedBody{data: make([]byte, size)}
	}
	memory := bodyDataPool.Get().(*[]byte)
	return receivedBody{data: (*memory)[:size], releaseData: func() { bodyDataPool.Put(memory) }}
}

// bodyRejection returns the rejection of a request whose body could not be read.
func bodyRejection(err error) *Rejection {
	if errors.Is(err, errBodyTooLong) {
		return closingRejection(http.StatusRequestEntityTooLarge, err.Error())
	}
	return closingRejection(http.StatusBadRequest, "the body can't be read")
}

// readBody reads a request's body, or the first proxy.MaxBody bytes of a longer one.
func (c *conn) readBody(r *http.Request) (receivedBody, *Rejection) {
	length := r.ContentLength // -1 is http1.Chunked
	expect := r.Header.Get("Expect")
	switch {
	case length > proxy.MaxStreamedBody:
		return receivedBody{}, bodyRejection(errBodyTooLong)
	case expect != "" && expect != "100-continue":
		return receivedBody{}, closingRejection(http.StatusExpectationFailed, "Expect: 100-continue is all that is known")
	case length == 0:
		return receivedBody{}, nil
	}
	if expect != "" && !c.reader.hasData() { // a client that has sent some of the body does not wait for it
		if _, err := io.WriteString(c.netConn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return receivedBody{}, bodyRejection(err)
		}
	}
	size := proxy.MaxBody
	if length > 0 {
		size = int(min(length, proxy.MaxBody))
	}
	received := newReceivedBody(size)
	body := c.newRequestBody(length)
	n, err := body.readFull(received.data)
	if err != nil {
		received.release()
		return receivedBody{}, bodyRejection(err)
	}
	received.data = received.data[:n]
	if !body.ended() {
		received.streamed = &streamedBody{
			requestBody: body, length: length, buffers: &c.server.bodyBuffers, socket: c.socket,
		}
	}
	return received, nil
}
