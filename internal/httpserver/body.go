package httpserver

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"rowancart/internal/http1"
	"rowancart/internal/proxy"
)

const (
	minBodyRate              = 48 << 10                // bytes a second that a body has to come at, on average
	maxBodyPause             = 2200 * time.Millisecond // between two of its pieces
	incompleteRequestTimeout = 2800 * time.Millisecond // a peer that sends no whole request is owed an end within 3 s of connecting
)

// bodyPace says until when the next piece of a body has to come.
type bodyPace struct {
	allowance    time.Duration // once the body is long: pieces are
	requestStart time.Time     // the connection, or the request's first byte
	bodyStart    time.Time     // the body
	lastRead     time.Time     // the latest piece
	received     int64
}

// nextDeadline gives the instant. Those who begin slowly get as long as any peer does; nobody who stalls gets more than a pause.
func (p *bodyPace) nextDeadline() time.Time {
	by := p.bodyStart.Add(time.Duration(p.received) * time.Second / minBodyRate)
	if p.received >= proxy.MaxBody {
		by = by.Add(p.allowance)
	}
	if pause := p.lastRead.Add(maxBodyPause); pause.Before(by) {
		by = pause
	}
	if least := p.requestStart.Add(incompleteRequestTimeout); by.Before(least) {
		return least
	}
	return by
}

// Errors of bodies.
var (
	errBodyTooLong   = errors.New("the body is too long")
	errBodyAbandoned = errors.New("the body is not read on")
)

// requestBody is the body of the request that is being served, as it comes off the connection.
type requestBody struct {
	reader  *connReader
	decoder *http1.Body

	mu        sync.Mutex // held by a read
	pace      bodyPace
	abandoned bool
	err       error // why it can't be read to its end; the caller's doing
}

// newRequestBody begins to read a body of so many bytes, or framing.Chunked.
func (c *conn) newRequestBody(length int64) *requestBody {
	now := time.Now()
	b := &requestBody{reader: &c.reader, pace: bodyPace{allowance: c.bodyTimeout, requestStart: c.requestStart, bodyStart: now, lastRead: now}}
	b.decoder = http1.NewBody(b, length)
	return b
}

// Buffered implements framing.Source.
func (b *requestBody) Buffered() []byte { return b.reader.buf[b.reader.start:b.reader.end] }

// Discard implements framing.Source.
func (b *requestBody) Discard(n int) { b.reader.start += n }

// Fill implements framing.Source.
func (b *requestBody) Fill() error {
	if err := b.reader.Conn.SetReadDeadline(b.pace.nextDeadline()); err != nil {
		return err
	}
	err := b.reader.fill()
	b.pace.lastRead = time.Now()
	return err
}

// Read implements framing.Source.
func (b *requestBody) Read(p []byte) (int, error) {
	if n := copy(p, b.Buffered()); n > 0 {
		b.Discard(n)
		return n, nil
	}
	if err := b.reader.Conn.SetReadDeadline(b.pace.nextDeadline()); err != nil {
		return 0, err
	}
	n, err := b.reader.Conn.Read(p)
	b.pace.lastRead = time.Now()
	if n > 0 {
		return n, nil
	}
	return n, err
}

// read reads on in the body.
func (b *requestBody) read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.abandoned {
		return 0, errBodyAbandoned
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.decoder.Read(p)
	if b.pace.received += int64(n); b.pace.received > proxy.MaxStreamedBody {
		err = errBodyTooLong
	}
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
		return 0, err
	}
	return n, err
}

// remainingBody is the body for an engine, which reads it on.
type remainingBody struct{ *requestBody }

// Read implements io.Reader.
func (r remainingBody) Read(p []byte) (int, error) { return r.read(p) }

// abandon ends the reading, also one that waits, and tells whether the body was read to its end, and what was wrong with it.
func (b *requestBody) abandon() (ended bool, err error) {
	if b.mu.TryLock() { // nobody reads
		b.abandoned = true
		b.mu.Unlock()
	} else {
		_ = b.reader.Conn.SetReadDeadline(time.Unix(1, 0)) // the next read sets its own
		b.mu.Lock()
		b.abandoned = true
		b.mu.Unlock()
	}
	return b.decoder.Ended(), b.err
}

// streamedBody is a request's body: its beginning, and the way to the rest of it.
type streamedBody struct {
	*requestBody
	length  int64 // below 0: not told
	prefix  []byte
	buffers *bodyBufferPool

	mu       sync.Mutex // guards the rest
	buffered [][]byte
	released bool
}

// bodyRejection words what is wrong with a body.
func bodyRejection(err error) *Rejection {
	if errors.Is(err, errBodyTooLong) {
		return closingRejection(http.StatusRequestEntityTooLarge, err.Error())
	}
	return closingRejection(http.StatusBadRequest, "the body can't be read")
}

// readBody reads a body whole if it has up to engine.MaxBody bytes. Of one that is longer it reads the beginning; more is nil else.
func (c *conn) readBody(r *http.Request) (body []byte, free func(), more *streamedBody, f *Rejection) {
	n := r.ContentLength
	expects := r.Header.Get("Expect")
	switch {
	case n > proxy.MaxStreamedBody:
		return nil, nil, nil, bodyRejection(errBodyTooLong)
	case expects != "" && expects != "100-continue":
		return nil, nil, nil, closingRejection(http.StatusExpectationFailed, "Expect: 100-continue is all that is known")
	case n == 0:
		return nil, nil, nil, nil
	}
	if expects != "" && c.reader.start == c.reader.end { // else the caller has not waited for it
		if _, err := io.WriteString(c.netConn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, nil, closingRejection(http.StatusBadRequest, "the body can't be read")
		}
	}
	room := proxy.MaxBody
	if n > 0 {
		room = int(min(n, proxy.MaxBody))
	}
	if room <= initialBufferSize {
		body = make([]byte, room)
	} else {
		b := bodyMemory.Get().(*[]byte)
		body, free = (*b)[:room], func() { bodyMemory.Put(b) }
	}
	in := c.newRequestBody(n)
	have := 0
	for have < room && !in.decoder.Ended() {
		got, err := in.read(body[have:])
		have += got
		if err != nil && !errors.Is(err, io.EOF) {
			if free != nil {
				free()
			}
			return nil, nil, nil, bodyRejection(err)
		}
	}
	body = body[:have]
	if in.decoder.Ended() {
		return body, free, nil, nil
	}
	return body, free, &streamedBody{requestBody: in, length: n, prefix: body, buffers: &c.bodyBuffers}, nil
}

// bufferAhead reads on as far as there is memory to keep a body in, and gives what an engine is to send: all of it kept, or the rest still to
// come.
func (u *streamedBody) bufferAhead() (*proxy.Upload, error) {
	most := u.buffers.maxPerBody()
	out := &proxy.Upload{Length: u.length, Release: u.release}
	total := int64(len(u.prefix))
	if u.length < 0 || u.length-total <= int64(most)*bodyBufferSize {
		for len(u.buffered) < most && !u.decoder.Ended() {
			piece := u.buffers.get()
			if piece == nil {
				break
			}
			u.buffered = append(u.buffered, piece)
			have := 0
			for have < bodyBufferSize && !u.decoder.Ended() {
				n, err := u.read(piece[have:])
				have += n
				if err != nil && !errors.Is(err, io.EOF) {
					u.release()
					return nil, err
				}
			}
			u.buffered[len(u.buffered)-1] = piece[:have]
			total += int64(have)
		}
	}
	out.Buffered = u.buffered
	if u.decoder.Ended() {
		out.Length, out.Release = total, nil
	} else {
		out.Remaining = remainingBody{u.requestBody}
	}
	return out, nil
}

// release gives back what was kept.
func (u *streamedBody) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.released {
		u.released = true
		u.buffers.put(u.buffered)
	}
}

// timeLimit is how long the rest of a body may take.
func (u *streamedBody) timeLimit() time.Duration {
	left := int64(proxy.MaxStreamedBody)
	if u.length >= 0 {
		left = u.length
	}
	return u.pace.allowance + maxBodyPause + time.Duration(left-u.pace.received)*time.Second/minBodyRate
}
