package connpool

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"rowancart/internal/http1"
	"rowancart/internal/sharedbody"
)

// writeLongRequest writes a request with a long body. Data that is read from the client is written
// before more is read, so that a slow endpoint slows the client down and no data accumulates in
// this process. Afterwards the attempt's deadline is fixed, also if it moved while the client sent
// the body.
func (c *conn) writeLongRequest(a *Attempt, req *Request, body *sharedbody.Lease) error {
	c.writeBuffer = req.appendHead(c.writeBuffer[:0], time.Until(a.endsAt()))
	if err := c.writeLong(a, c.writeBuffer); err != nil {
		return err
	}
	if err := c.writeLongBody(a, req, body); err != nil {
		return err
	}
	a.Deadline = a.endsAt()
	// An error means that the attempt was canceled, and reading the response then fails too. The
	// request has been written and may run, so the error must not be reported as a failed write.
	_ = c.SetDeadline(a.Deadline)
	return nil
}

// writeLong writes a piece of a long request. While the endpoint does not read, it checks every
// uploadCheckInterval whether the time of the client is over, and returns errWriteTimedOut then. It
// returns errEarlyResponse if the endpoint has responded or closed the connection meanwhile.
func (c *conn) writeLong(a *Attempt, data []byte) error {
	start := time.Now()
	for len(data) > 0 {
		if c.SetWriteDeadline(earlier(time.Now().Add(uploadCheckInterval), a.writeEndsAt(start))) != nil {
			return errWriteFailed
		}
		n, err := c.Write(data)
		c.written += int64(n)
		data = data[n:]
		switch {
		case len(data) == 0:
			return nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return fmt.Errorf("%w: %w", errWriteFailed, err)
		case c.hasPendingInput():
			return errEarlyResponse
		case !time.Now().Before(a.writeEndsAt(start)):
			return fmt.Errorf("%w: %w", errWriteTimedOut, err)
		}
	}
	return nil
}

// writeLongBody writes a long body.
func (c *conn) writeLongBody(a *Attempt, req *Request, body *sharedbody.Lease) error {
	buffer := http1.AcquirePieceBuffer(req.Memory)
	defer buffer.Release(req.Memory)
	w := bodyWriter{conn: c, attempt: a, request: req, body: body, buffer: buffer}
	a.progress.Phase = WritingParts
	for _, part := range body.Parts() {
		if err := w.writePart(part); err != nil {
			return err
		}
	}
	if !body.HasRest() {
		return nil
	}
	return w.writeRest()
}

// restInProgress is closed when an attempt is canceled while it writes the rest of a body. The
// attempt may be waiting for its endpoint or for the client.
type restInProgress struct {
	conn *conn
	body *sharedbody.Lease
}

// Close implements io.Closer.
func (r restInProgress) Close() error {
	r.body.Interrupt()
	return r.conn.Close()
}

// bodyWriter writes the pieces of a long body to a connection.
type bodyWriter struct {
	conn    *conn
	attempt *Attempt
	request *Request
	body    *sharedbody.Lease
	buffer  *http1.PieceBuffer
}

// framedPiece returns the first n bytes of the piece in the form in which they are written: framed
// as a chunk if the length of the body is unknown, otherwise as they are.
func (w *bodyWriter) framedPiece(n int) []byte {
	if w.request.Body.Length() < 0 {
		return w.buffer.Chunk(n)
	}
	return w.buffer.Data()[:n]
}

// writePart writes a part of the body that is in memory.
func (w *bodyWriter) writePart(part []byte) error {
	for len(part) > 0 {
		n := copy(w.buffer.Data(), part)
		part = part[n:]
		if err := w.conn.writeLong(w.attempt, w.framedPiece(n)); err != nil {
			return err
		}
	}
	return nil
}

// writeRest reads the rest of the body from the client and writes it. Once it has begun to read,
// the request can't be sent again.
func (w *bodyWriter) writeRest() error {
	if w.conn.hasPendingInput() {
		return errEarlyResponse
	}
	if !w.attempt.setInProgress(restInProgress{w.conn, w.body}) {
		return errAttemptCanceled
	}
	w.attempt.progress.Phase = WritingRest
	rest := w.body.StartRest()
	for {
		n, err := rest.Read(w.buffer.Data())
		if n > 0 {
			if err := w.writePiece(n); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return w.writeEnd()
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errUploadFailed, err)
		}
	}
}

// writeEnd writes the last chunk, which ends the body, if the length of the body is unknown.
func (w *bodyWriter) writeEnd() error {
	if w.request.Body.Length() >= 0 {
		return nil
	}
	return w.conn.writeLong(w.attempt, []byte(http1.LastChunk))
}

// writePiece writes the first n bytes of the piece, which have just been read from the client. It
// returns errEarlyResponse if the endpoint has responded or closed the connection meanwhile.
func (w *bodyWriter) writePiece(n int) error {
	if w.conn.hasPendingInput() {
		return errEarlyResponse
	}
	return w.conn.writeLong(w.attempt, w.framedPiece(n))
}
