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
	paceLeast    = 48 << 10                // bytes a second that a body has to come at, on average
	pauseMost    = 2200 * time.Millisecond // between two of its pieces
	improperMost = 2800 * time.Millisecond // a peer that sends no whole request is owed an end within 3 s of connecting
)

// pace says until when the next piece of a body has to come.
type pace struct {
	slack time.Duration // once the body is long: pieces are
	came  time.Time     // the connection, or the request's first byte
	began time.Time     // the body
	last  time.Time     // the latest piece
	got   int64
}

// due gives the instant. Those who begin slowly get as long as any peer does; nobody who stalls gets more than a pause.
func (p *pace) due() time.Time {
	by := p.began.Add(time.Duration(p.got) * time.Second / paceLeast)
	if p.got >= proxy.MaxBody {
		by = by.Add(p.slack)
	}
	if pause := p.last.Add(pauseMost); pause.Before(by) {
		by = pause
	}
	if least := p.came.Add(improperMost); by.Before(least) {
		return least
	}
	return by
}

// Errors of bodies.
var (
	errBodyTooLong = errors.New("the body is too long")
	errDropped     = errors.New("the body is not read on")
)

// incoming is the body of the request that is being served, as it comes off the connection.
type incoming struct {
	in   *reader
	body *http1.Body

	mu      sync.Mutex // held by a read
	pace    pace
	dropped bool
	err     error // why it can't be read to its end; the caller's doing
}

// newIncoming begins to read a body of so many bytes, or framing.Chunked.
func (t *talk) newIncoming(length int64) *incoming {
	now := time.Now()
	b := &incoming{in: &t.in, pace: pace{slack: t.bodyTimeout, came: t.came, began: now, last: now}}
	b.body = http1.NewBody(b, length)
	return b
}

// Buffered implements framing.Source.
func (b *incoming) Buffered() []byte { return b.in.buf[b.in.start:b.in.end] }

// Discard implements framing.Source.
func (b *incoming) Discard(n int) { b.in.start += n }

// Fill implements framing.Source.
func (b *incoming) Fill() error {
	if err := b.in.Conn.SetReadDeadline(b.pace.due()); err != nil {
		return err
	}
	err := b.in.fill()
	b.pace.last = time.Now()
	return err
}

// Read implements framing.Source.
func (b *incoming) Read(p []byte) (int, error) {
	if n := copy(p, b.Buffered()); n > 0 {
		b.Discard(n)
		return n, nil
	}
	if err := b.in.Conn.SetReadDeadline(b.pace.due()); err != nil {
		return 0, err
	}
	n, err := b.in.Conn.Read(p)
	b.pace.last = time.Now()
	if n > 0 {
		return n, nil
	}
	return n, err
}

// next reads on in the body.
func (b *incoming) next(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dropped {
		return 0, errDropped
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.body.Read(p)
	if b.pace.got += int64(n); b.pace.got > proxy.MaxStreamedBody {
		err = errBodyTooLong
	}
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
		return 0, err
	}
	return n, err
}

// rest is the body for an engine, which reads it on.
type rest struct{ *incoming }

// Read implements io.Reader.
func (r rest) Read(p []byte) (int, error) { return r.next(p) }

// drop ends the reading, also one that waits, and tells whether the body was read to its end, and what was wrong with it.
func (b *incoming) drop() (ended bool, err error) {
	if b.mu.TryLock() { // nobody reads
		b.dropped = true
		b.mu.Unlock()
	} else {
		_ = b.in.Conn.SetReadDeadline(time.Unix(1, 0)) // the next read sets its own
		b.mu.Lock()
		b.dropped = true
		b.mu.Unlock()
	}
	return b.body.Ended(), b.err
}

// upload is a request's body: its beginning, and the way to the rest of it.
type upload struct {
	*incoming
	length int64 // below 0: not told
	first  []byte
	pieces *pieces

	mu    sync.Mutex // guards the rest
	kept  [][]byte
	freed bool
}

// refusal words what is wrong with a body.
func refusal(err error) *Rejection {
	if errors.Is(err, errBodyTooLong) {
		return improper(http.StatusRequestEntityTooLarge, err.Error())
	}
	return improper(http.StatusBadRequest, "the body can't be read")
}

// readBody reads a body whole if it has up to engine.MaxBody bytes. Of one that is longer it reads the beginning; more is nil else.
func (t *talk) readBody(r *http.Request) (body []byte, free func(), more *upload, f *Rejection) {
	n := r.ContentLength
	expects := r.Header.Get("Expect")
	switch {
	case n > proxy.MaxStreamedBody:
		return nil, nil, nil, refusal(errBodyTooLong)
	case expects != "" && expects != "100-continue":
		return nil, nil, nil, improper(http.StatusExpectationFailed, "Expect: 100-continue is all that is known")
	case n == 0:
		return nil, nil, nil, nil
	}
	if expects != "" && t.in.start == t.in.end { // else the caller has not waited for it
		if _, err := io.WriteString(t.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, nil, improper(http.StatusBadRequest, "the body can't be read")
		}
	}
	room := proxy.MaxBody
	if n > 0 {
		room = int(min(n, proxy.MaxBody))
	}
	if room <= firstBuffer {
		body = make([]byte, room)
	} else {
		b := bodies.Get().(*[]byte)
		body, free = (*b)[:room], func() { bodies.Put(b) }
	}
	in := t.newIncoming(n)
	have := 0
	for have < room && !in.body.Ended() {
		got, err := in.next(body[have:])
		have += got
		if err != nil && !errors.Is(err, io.EOF) {
			if free != nil {
				free()
			}
			return nil, nil, nil, refusal(err)
		}
	}
	body = body[:have]
	if in.body.Ended() {
		return body, free, nil, nil
	}
	return body, free, &upload{incoming: in, length: n, first: body, pieces: &t.pieces}, nil
}

// keep reads on as far as there is memory to keep a body in, and gives what an engine is to send: all of it kept, or the rest still to
// come.
func (u *upload) keep() (*proxy.Upload, error) {
	most := u.pieces.each()
	out := &proxy.Upload{Length: u.length, Release: u.free}
	total := int64(len(u.first))
	if u.length < 0 || u.length-total <= int64(most)*pieceSize {
		for len(u.kept) < most && !u.body.Ended() {
			piece := u.pieces.get()
			if piece == nil {
				break
			}
			u.kept = append(u.kept, piece)
			have := 0
			for have < pieceSize && !u.body.Ended() {
				n, err := u.next(piece[have:])
				have += n
				if err != nil && !errors.Is(err, io.EOF) {
					u.free()
					return nil, err
				}
			}
			u.kept[len(u.kept)-1] = piece[:have]
			total += int64(have)
		}
	}
	out.Buffered = u.kept
	if u.body.Ended() {
		out.Length, out.Release = total, nil
	} else {
		out.Remaining = rest{u.incoming}
	}
	return out, nil
}

// free gives back what was kept.
func (u *upload) free() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.freed {
		u.freed = true
		u.pieces.put(u.kept)
	}
}

// within is how long the rest of a body may take.
func (u *upload) within() time.Duration {
	left := int64(proxy.MaxStreamedBody)
	if u.length >= 0 {
		left = u.length
	}
	return u.pace.slack + pauseMost + time.Duration(left-u.pace.got)*time.Second/paceLeast
}
