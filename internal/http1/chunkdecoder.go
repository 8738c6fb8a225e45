package http1

import (
	"errors"
	"fmt"
)

// Limits of the chunked transfer coding.
const (
	maxChunkLine   = 4 << 10 // bytes of the line with a chunk's size and extensions
	maxTrailers    = 8 << 10 // bytes of all trailer fields together
	maxChunkDigits = 16      // digits of a chunk's size
	maxChunkSize   = 1 << 40 // bytes
)

// ErrFraming means that a body violates the chunked transfer coding. The errors that wrap it
// describe the violation.
var ErrFraming = errors.New("invalid chunked coding")

var (
	errChunkSize      = fmt.Errorf("%w: chunk size is not a hexadecimal number or is too large", ErrFraming)
	errChunkEnd       = fmt.Errorf("%w: chunk data is not followed by CR LF", ErrFraming)
	errChunkLine      = fmt.Errorf("%w: malformed chunk or trailer line", ErrFraming)
	errFramingTooLong = fmt.Errorf("%w: chunk extensions or trailer fields are too long", ErrFraming)
)

// chunkState is what the decoder expects next.
type chunkState int

const (
	inChunkSize       chunkState = iota // hexadecimal digits
	inChunkSizePad                      // white space between the size and an extension
	inChunkExtensions                   // any text up to the end of the line
	inChunkData                         // chunkDecoder.remaining bytes of data
	afterChunkData                      // CR LF, and then inChunkSize
	inTrailers                          // trailer fields, up to an empty line
	afterBody                           // nothing: the body has ended
)

// chunkDecoder decodes the framing of the chunked transfer coding (RFC 9112, section 7.1), byte by
// byte. It is strict: framing that servers might interpret in different ways is an error. It
// decodes the framing only. Its caller reads the data of the chunks.
type chunkDecoder struct {
	state     chunkState
	size      int64  // of the chunk whose line is being decoded, in bytes
	remaining int64  // bytes of the current chunk's data that have not been read
	length    int    // bytes decoded of the current line, or of all trailer fields
	previous  byte   // the previous byte of the line; 0 at its beginning
	trailer   []byte // the current trailer line
}

// ended reports whether the body has ended.
func (d *chunkDecoder) ended() bool { return d.state == afterBody }

// inData reports whether the next byte is data of a chunk.
func (d *chunkDecoder) inData() bool { return d.state == inChunkData }

// enter changes to a state that begins with a new line.
func (d *chunkDecoder) enter(state chunkState) {
	d.state = state
	d.length = 0
	d.previous = 0
}

// consumeData records that n bytes of data were read.
func (d *chunkDecoder) consumeData(n int) {
	if d.remaining -= int64(n); d.remaining == 0 {
		d.enter(afterChunkData)
	}
}

// decodeFraming decodes the framing at the beginning of buf, up to data, the end of the body or the
// end of buf. It returns the number of bytes consumed, which does not include a byte that caused
// an error.
func (d *chunkDecoder) decodeFraming(buf []byte) (n int, err error) {
	for n < len(buf) && !d.inData() && !d.ended() {
		if err := d.decodeByte(buf[n]); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}

// decodeByte decodes one byte of framing.
func (d *chunkDecoder) decodeByte(b byte) error {
	d.length++
	if d.length > d.maxLength() {
		return errFramingTooLong
	}
	previous := d.previous
	d.previous = b
	if (previous == '\r') != (b == '\n') { // CR and LF occur only together, at the end of a line
		return errChunkLine
	}
	switch d.state {
	case inChunkSize:
		return d.decodeSize(b)
	case inChunkSizePad:
		return d.decodeSizePad(b)
	case inChunkExtensions:
		return d.decodeExtensions(b)
	case afterChunkData:
		return d.decodeDataEnd(b)
	case inTrailers:
		return d.decodeTrailers(b)
	}
	return nil
}

// maxLength returns the maximum of length in the current state.
func (d *chunkDecoder) maxLength() int {
	if d.state == inTrailers {
		return maxTrailers
	}
	return maxChunkLine
}

// decodeSize decodes a byte of a chunk's size, or the first one after it.
func (d *chunkDecoder) decodeSize(b byte) error {
	digit, isDigit := hexDigit(b)
	switch isFirst := d.length == 1; {
	case isFirst && !isDigit:
		return errChunkSize
	case isFirst:
		d.size = digit
	case isDigit && d.length <= maxChunkDigits && d.size < maxChunkSize>>4:
		d.size = d.size<<4 | digit
	case b == ' ' || b == '\t':
		d.state = inChunkSizePad
	case b == ';':
		d.state = inChunkExtensions
	case b == '\n':
		d.endSizeLine()
	case b != '\r':
		return errChunkSize
	}
	return nil
}

// hexDigit returns the value of a hexadecimal digit, or false if it is not one.
func hexDigit(b byte) (value int64, ok bool) {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}

// decodeSizePad decodes a byte after white space that follows a size. Only more white space or an
// extension is valid.
func (d *chunkDecoder) decodeSizePad(b byte) error {
	switch b {
	case ' ', '\t':
	case ';':
		d.state = inChunkExtensions
	default:
		return errChunkSize
	}
	return nil
}

// decodeExtensions decodes a byte of a chunk's extensions, which are ignored.
func (d *chunkDecoder) decodeExtensions(b byte) error {
	if b == '\n' {
		d.endSizeLine()
		return nil
	}
	if b != '\r' && !isTextByte(b) {
		return errChunkLine
	}
	return nil
}

// endSizeLine ends the line with a chunk's size. The data of the chunk follows. After the last
// chunk, whose size is 0, the trailer fields follow.
func (d *chunkDecoder) endSizeLine() {
	d.remaining = d.size
	if d.remaining > 0 {
		d.enter(inChunkData)
		return
	}
	d.trailer = d.trailer[:0]
	d.enter(inTrailers)
}

// decodeDataEnd decodes a byte of the CR LF after a chunk's data.
func (d *chunkDecoder) decodeDataEnd(b byte) error {
	switch {
	case d.length == 1 && b == '\r':
	case d.length == 2: // LF: decodeByte has checked it
		d.enter(inChunkSize)
	default:
		return errChunkEnd
	}
	return nil
}

// decodeTrailers decodes a byte of the trailer fields. Their lines must have the form of fields,
// and their content is ignored.
func (d *chunkDecoder) decodeTrailers(b byte) error {
	switch {
	case b == '\n':
		return d.endTrailerLine()
	case b == '\r':
		return nil
	case !isTextByte(b):
		return errChunkLine
	}
	d.trailer = append(d.trailer, b)
	return nil
}

// endTrailerLine ends a line of the trailer fields, or the body if the line is empty.
func (d *chunkDecoder) endTrailerLine() error {
	if len(d.trailer) == 0 {
		d.state = afterBody
		return nil
	}
	if !isFieldLine(d.trailer) {
		return errChunkLine
	}
	d.trailer = d.trailer[:0]
	d.previous = 0
	return nil
}

// isFieldLine reports whether a line begins with a field name, which has no white space, and a
// colon.
func isFieldLine(line []byte) bool {
	for i, b := range line {
		if b == ':' && i > 0 {
			return true
		}
		if b == ' ' || b == '\t' {
			return false
		}
	}
	return false
}

// isTextByte reports whether a byte is a tab or not a control character.
func isTextByte(b byte) bool { return b >= ' ' && b != 0x7f || b == '\t' }
