package http1

import (
	"errors"
	"strconv"
	"sync"
	"time"
)

const (
	mostLine       = 4 << 10 // bytes of a chunk's size and its extensions
	mostTrailer    = 8 << 10 // bytes of all trailers
	maxChunkDigits = 16      // of a chunk's size
	mostSize       = 1 << 40 // bytes of a chunk
)

// Errors of chunked bodies.
var (
	errSize    = errors.New("a chunk's size is no number")
	errEnd     = errors.New("a chunk does not end where its size says")
	errLine    = errors.New("a line of the chunked coding is bad")
	errTooMany = errors.New("too many chunk extensions or trailers")
)

// chunks follows the chunked coding (RFC 9112, 7.1) from byte to byte, strictly: what could be read in two ways is an error. It takes the
// framing only; the data between is its caller's to take.
type chunks struct {
	state chunkState
	size  int64  // of the chunk whose line is being read
	left  int64  // bytes of data to come before the next framing
	seen  int    // bytes of the line that is being read, or of all trailers
	prev  byte   // the byte before, within a line
	line  []byte // what decides of a trailer line: its beginning
}

type chunkState int

const (
	inSize      chunkState = iota // digits
	inPad                         // white space before an extension
	inExtension                   // up to the line's end
	inData                        // left bytes, then
	afterData                     // CR LF
	inTrailer                     // lines up to an empty one
	atEnd
)

// done tells whether the body has ended.
func (c *chunks) done() bool { return c.state == atEnd }

// skip tells that so many bytes of data were taken.
func (c *chunks) skip(n int) {
	if c.left -= int64(n); c.left == 0 {
		c.state, c.seen, c.prev = afterData, 0, 0
	}
}

// frame takes framing from the beginning of what has come, up to data, the end, or all of it.
func (c *chunks) frame(come []byte) (used int, err error) {
	for used < len(come) && c.state != inData && c.state != atEnd {
		if err := c.take(come[used]); err != nil {
			return used, err
		}
		used++
	}
	return used, nil
}

func (c *chunks) take(b byte) error {
	if c.seen++; c.seen > mostLine && c.state != inTrailer || c.seen > mostTrailer {
		return errTooMany
	}
	prev := c.prev
	c.prev = b
	if prev == '\r' && b != '\n' || b == '\n' && prev != '\r' { // a line ends with both
		return errLine
	}
	switch c.state {
	case inSize:
		return c.takeSize(b)
	case inPad:
		switch b {
		case ' ', '\t':
		case ';':
			c.state = inExtension
		default:
			return errSize
		}
	case inExtension:
		if b == '\n' {
			c.sized()
		} else if b != '\r' && !isTextByte(b) {
			return errLine
		}
	case afterData:
		switch {
		case c.seen == 1 && b == '\r':
		case c.seen == 2:
			c.state, c.seen, c.prev, c.size = inSize, 0, 0, -1
		default:
			return errEnd
		}
	case inTrailer:
		return c.takeTrailer(b)
	}
	return nil
}

// takeSize takes a byte of a chunk's size.
func (c *chunks) takeSize(b byte) error {
	digit := int64(-1)
	switch {
	case '0' <= b && b <= '9':
		digit = int64(b - '0')
	case 'a' <= b && b <= 'f':
		digit = int64(b-'a') + 10
	case 'A' <= b && b <= 'F':
		digit = int64(b-'A') + 10
	}
	switch first := c.seen == 1; {
	case first && digit < 0:
		return errSize
	case first:
		c.size = digit
	case digit >= 0 && c.seen <= maxChunkDigits && c.size < mostSize>>4:
		c.size = c.size<<4 | digit
	case b == ' ' || b == '\t':
		c.state = inPad
	case b == ';':
		c.state = inExtension
	case b == '\n':
		c.sized()
	case b != '\r':
		return errSize
	}
	return nil
}

// sized ends the line of a size.
func (c *chunks) sized() {
	c.seen, c.prev, c.line = 0, 0, c.line[:0]
	if c.left = c.size; c.left > 0 {
		c.state = inData
	} else {
		c.state = inTrailer
	}
}

// takeTrailer takes a byte of the trailers, which are held to the form of headers and dropped.
func (c *chunks) takeTrailer(b byte) error {
	if b != '\n' {
		if b != '\r' && !isTextByte(b) {
			return errLine
		}
		if b != '\r' {
			c.line = append(c.line, b)
		}
		return nil
	}
	if len(c.line) == 0 {
		c.state = atEnd
		return nil
	}
	for i, b := range c.line {
		if b == ':' && i > 0 {
			c.line, c.prev = c.line[:0], 0
			return nil
		}
		if b == ' ' || b == '\t' {
			break
		}
	}
	return errLine
}

// isTextByte tells whether a byte may stand in a line.
func isTextByte(b byte) bool { return b >= ' ' && b != 0x7f || b == '\t' }

// ChunkHead is how many bytes before a chunk's data its size takes at most, and ChunkTail how many stand behind it.
const (
	ChunkHead = 8 + 2
	ChunkTail = 2
)

// AppendChunkFraming makes n bytes of data, which stand in b from ChunkHead on and have ChunkTail bytes behind them, a chunk.
func AppendChunkFraming(b []byte, n int) []byte {
	size := strconv.AppendUint(make([]byte, 0, ChunkHead), uint64(n), 16)
	size = append(size, "\r\n"...)
	from := ChunkHead - len(size)
	copy(b[from:], size)
	copy(b[ChunkHead+n:], "\r\n")
	return b[from : ChunkHead+n+ChunkTail]
}

// BufferSize is how many bytes of a stream are on their way.
const BufferSize = 32 << 10

// Buffers has memory for streams: *[]byte with room for a chunk of BufferSize bytes, framing included.
var Buffers = sync.Pool{New: func() any { b := make([]byte, ChunkHead+BufferSize+ChunkTail); return &b }}

// MaxReadIdle is how long a side of a stream may neither take nor give a byte. Peers may take seconds for a piece.
const MaxReadIdle = 12 * time.Second

// LastChunk ends a chunked body that has no trailers.
const LastChunk = "0\r\n\r\n"
