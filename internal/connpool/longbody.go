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

// uploadCheckInterval is the time between two checks of the client's deadline while an endpoint
// does not read the upload.
const uploadCheckInterval = 100 * time.Millisecond

// writeLongRequest writes a request with a long body. Data that is read from the client is written
// before more is read, so that a slow endpoint slows the client down and no data accumulates in
// this process. If a part of the body was still to be read from the client, the attempt's deadline
// becomes the client's, which is known only once the body has been sent.
func (c *conn) writeLongRequest(a *Attempt, req *Request, body *sharedbody.Lease) error {
	timeout := time.Until(a.Deadline)
	if body.HasRest() {
		timeout = time.Until(req.clientDeadline(body))
	}
	c.writeBuffer = req.appendHead(c.writeBuffer[:0], timeout)
	if err := c.writeAll(c.writeBuffer); err != nil {
		return err
	}
	if err := c.writeLongBody(a, req, body); err != nil {
		return err
	}
	if body.HasRest() {
		a.Deadline = req.clientDeadline(body)
		// An error means that the attempt was canceled, and reading the response then fails too. The
		// request has been written and may run, so the error must not be reported as a failed write.
		_ = c.SetDeadline(a.Deadline)
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
		if err := w.conn.writeAll(w.framedPiece(n)); err != nil {
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
	return w.conn.writeAll([]byte(http1.LastChunk))
}

// writePiece writes the first n bytes of the piece, which have just been read from the client. It
// returns errEarlyResponse if the endpoint has responded or closed the connection meanwhile.
func (w *bodyWriter) writePiece(n int) error {
	if w.conn.hasPendingInput() {
		return errEarlyResponse
	}
	start := time.Now()
	for data := w.framedPiece(n); len(data) > 0; {
		stallDeadline := w.stallDeadline(start)
		if w.conn.SetWriteDeadline(earlier(time.Now().Add(uploadCheckInterval), stallDeadline)) != nil {
			return errWriteFailed
		}
		written, err := w.conn.Write(data)
		w.conn.written += int64(written)
		data = data[written:]
		mayContinue := errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(stallDeadline)
		if len(data) > 0 && !mayContinue {
			return fmt.Errorf("%w: %w", errWriteFailed, err)
		}
	}
	return nil
}

// stallDeadline returns the time by which the endpoint must have read a piece whose write began at
// start. It has to be computed again during the write, because the client's deadline is not fixed
// until the client has sent the complete body.
func (w *bodyWriter) stallDeadline(start time.Time) time.Time {
	return earlier(start.Add(http1.StreamIdleTimeout), w.request.clientDeadline(w.body))
}

// earlier returns the earlier of two times.
func earlier(s, t time.Time) time.Time {
	if t.Before(s) {
		return t
	}
	return s
}
