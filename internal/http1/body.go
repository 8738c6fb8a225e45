// Package http1 reads the bodies of HTTP/1.1 messages off connections by their framing (RFC 9112, 6 and 7).
package http1

import (
	"errors"
	"io"
)

// Source is a connection from which a body is read, and what has come of it already.
type Source interface {
	// Buffered gives what has come and was not taken. It is valid until the next call.
	Buffered() []byte
	// Discard takes so many bytes of it.
	Discard(n int)
	// Fill waits for more. It is called when nothing is buffered.
	Fill() error
	// Read takes what is buffered or, where nothing is, reads from the connection into p.
	Read(p []byte) (int, error)
}

// The lengths of a body that is framed otherwise.
const (
	Chunked    = -1
	UntilClose = -2 // it ends with the connection
)

// Body reads one body to its end and not a byte further. A read that ended by a time-out can be tried again.
type Body struct {
	from   Source
	left   int64 // or one of the lengths above
	chunks chunks
	ended  bool
}

// NewBody reads a body of so many bytes, or one of the lengths above.
func NewBody(from Source, length int64) *Body {
	return &Body{from: from, left: length, ended: length == 0}
}

// Ended tells whether the body was read to its end.
func (b *Body) Ended() bool { return b.ended }

// Read implements io.Reader. A connection that ends before the body does is io.ErrUnexpectedEOF.
func (b *Body) Read(p []byte) (int, error) {
	switch {
	case b.ended:
		return 0, io.EOF
	case len(p) == 0:
		return 0, nil
	case b.left == Chunked:
		return b.readChunked(p)
	case b.left == UntilClose:
		n, err := b.from.Read(p)
		if n == 0 && errors.Is(err, io.EOF) {
			b.ended = true
		}
		return n, orNil(n, err)
	}
	n, err := b.from.Read(p[:min(int64(len(p)), b.left)])
	if b.left -= int64(n); b.left == 0 {
		b.ended = true
	}
	return n, orNil(n, unexpected(err))
}

func (b *Body) readChunked(p []byte) (int, error) {
	for {
		if b.chunks.state == inData {
			n, err := b.from.Read(p[:min(int64(len(p)), b.chunks.left)])
			b.chunks.skip(n)
			if n > 0 {
				b.settle()
			}
			return n, orNil(n, unexpected(err))
		}
		if err := b.frame(); err != nil {
			return 0, err
		}
		if b.ended {
			return 0, io.EOF
		}
		if b.chunks.state != inData && len(b.from.Buffered()) == 0 {
			if err := b.from.Fill(); err != nil {
				return 0, unexpected(err)
			}
		}
	}
}

// frame takes what framing has come.
func (b *Body) frame() error {
	used, err := b.chunks.frame(b.from.Buffered())
	b.from.Discard(used)
	b.ended = b.chunks.done()
	return err
}

// settle takes the framing behind data if it is there, so that a body that has come whole is known for it at once. An error shows at
// the next read.
func (b *Body) settle() {
	if come := b.from.Buffered(); len(come) > 0 && b.chunks.state != inData {
		_ = b.frame()
	}
}

// orNil holds an error back where something was read: it comes again.
func orNil(n int, err error) error {
	if n > 0 {
		return nil
	}
	return err
}

// unexpected is what the end of a connection means before the end of a body.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
