package httpserver

import (
	"errors"
	"io"
	"sync"
	"time"

	"rowancart/internal/http1"
	"rowancart/internal/proxy"
)

// Errors of reading bodies.
var (
	errBodyTooLong   = errors.New("the body is too long")
	errBodyAbandoned = errors.New("the body was abandoned")
)

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
