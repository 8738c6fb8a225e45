package http1

import (
	"errors"
	"io"
)

// Source is a buffered connection from which a body is read.
type Source interface {
	// Buffered returns the data that has been read from the connection and not consumed. It is valid
	// until the next call.
	Buffered() []byte

	// Discard consumes n bytes of the buffered data.
	Discard(n int)

	// Fill waits for more data. It is called only when none is buffered.
	Fill() error

	// Read consumes buffered data or, if there is none, reads from the connection into p.
	Read(p []byte) (int, error)
}

// Values for the length of a body without Content-Length.
const (
	Chunked    = -1 // the chunked transfer coding
	UntilClose = -2 // the body ends with the connection
)

// Body reads one body to its end and not a byte further. After a timeout, Read may be called
// again.
type Body struct {
	source     Source
	remaining  int64 // bytes; or Chunked or UntilClose
	chunks     chunkDecoder
	framingErr error // an ErrFraming, after which the decoder cannot continue
	ended      bool
}

// NewBody returns a body of length bytes. length may also be Chunked or UntilClose.
func NewBody(source Source, length int64) *Body {
	return &Body{source: source, remaining: length, ended: length == 0}
}

// Ended reports whether the body was read to its end.
func (b *Body) Ended() bool { return b.ended }

// Read implements io.Reader. It returns io.ErrUnexpectedEOF if the connection ends before the body,
// and an ErrFraming if the body violates the chunked coding.
func (b *Body) Read(p []byte) (int, error) {
	switch {
	case b.ended:
		return 0, io.EOF
	case len(p) == 0:
		return 0, nil
	case b.remaining == Chunked:
		return b.readChunked(p)
	case b.remaining == UntilClose:
		return b.readUntilClose(p)
	}
	n, err := b.source.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	b.ended = b.remaining == 0
	return n, errorWithoutData(n, unexpectedEOF(err))
}

// readUntilClose reads from a body that ends with the connection.
func (b *Body) readUntilClose(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if n == 0 && errors.Is(err, io.EOF) {
		b.ended = true
	}
	return n, errorWithoutData(n, err)
}

// readChunked reads from a chunked body, at most up to the end of the current chunk.
func (b *Body) readChunked(p []byte) (int, error) {
	for !b.chunks.inData() {
		if err := b.decodeFraming(); err != nil {
			return 0, err
		}
		if b.ended {
			return 0, io.EOF
		}
		if !b.chunks.inData() && len(b.source.Buffered()) == 0 {
			if err := b.source.Fill(); err != nil {
				return 0, unexpectedEOF(err)
			}
		}
	}
	n, err := b.source.Read(p[:min(int64(len(p)), b.chunks.remaining)])
	b.chunks.consumeData(n)
	// Decode the framing after the data now, so that Ended is true as soon as the data of a
	// completely received body has been read. The next read returns an error in the framing.
	if n > 0 && !b.chunks.inData() && len(b.source.Buffered()) > 0 {
		_ = b.decodeFraming()
	}
	return n, errorWithoutData(n, unexpectedEOF(err))
}

// decodeFraming decodes and consumes the buffered framing.
func (b *Body) decodeFraming() error {
	if b.framingErr != nil {
		return b.framingErr
	}
	n, err := b.chunks.decodeFraming(b.source.Buffered())
	b.source.Discard(n)
	b.ended = b.chunks.ended()
	b.framingErr = err
	return err
}

// errorWithoutData returns err if no data was read. Otherwise it returns nil, and the next read
// returns the error.
func errorWithoutData(n int, err error) error {
	if n > 0 {
		return nil
	}
	return err
}

// unexpectedEOF returns io.ErrUnexpectedEOF for an io.EOF before the end of a body, and any other
// error unchanged.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
