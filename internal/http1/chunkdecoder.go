package http1

import "errors"

const (
	maxChunkLine   = 4 << 10 // bytes of a chunk's size and its extensions
	maxTrailers    = 8 << 10 // bytes of all trailers
	maxChunkDigits = 16      // of a chunk's size
	maxChunkSize   = 1 << 40 // bytes
)

// Errors of the chunked transfer coding.
var (
	errChunkSize   = errors.New("a chunk's size is no number")
	errChunkEnd    = errors.New("a chunk does not end where its size says")
	errChunkLine   = errors.New("a line of the chunked coding is bad")
	errTooMuchText = errors.New("too many chunk extensions or trailers")
)

// chunkState is what the decoder expects next.
type chunkState int

const (
	inChunkSize       chunkState = iota // hexadecimal digits
	inChunkSizePad                      // white space between the size and an extension
	inChunkExtensions                   // any text up to the end of the line
	inChunkData                         // remaining bytes of data
	afterChunkData                      // CR LF, and then inChunkSize
	inTrailers                          // lines up to an empty one
	afterBody                           // nothing: the body has ended
)

// chunkDecoder decodes the framing of the chunked transfer coding (RFC 9112, 7.1), byte by byte. It
// is strict: whatever servers might read in different ways is an error. It decodes the framing
// only; its caller reads the data in between.
type chunkDecoder struct {
	state     chunkState
	size      int64  // of the chunk whose line is being decoded, in bytes
	remaining int64  // bytes of data before the next framing
	seen      int    // bytes of the current line, or of all trailers
	previous  byte   // the byte before, within a line
	trailer   []byte // the current trailer line
}

// ended reports whether the body has ended.
func (d *chunkDecoder) ended() bool { return d.state == afterBody }

// inData reports whether data comes next.
func (d *chunkDecoder) inData() bool { return d.state == inChunkData }

// consumeData records that n bytes of data were read.
func (d *chunkDecoder) consumeData(n int) {
	if d.remaining -= int64(n); d.remaining == 0 {
		d.state, d.seen, d.previous = afterChunkData, 0, 0
	}
}

// decodeFraming decodes the framing at the beginning of buf, up to data, the end of the body or the
// end of buf. It returns the number of bytes consumed; the byte that is in error is not.
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
	if d.seen++; d.seen > maxChunkLine && d.state != inTrailers || d.seen > maxTrailers {
		return errTooMuchText
	}
	previous := d.previous
	d.previous = b
	if (previous == '\r') != (b == '\n') { // a line ends with both
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

// decodeSize decodes a byte of a chunk's size, or the first one behind it.
func (d *chunkDecoder) decodeSize(b byte) error {
	digit := hexDigit(b)
	switch first := d.seen == 1; {
	case first && digit < 0:
		return errChunkSize
	case first:
		d.size = digit
	case digit >= 0 && d.seen <= maxChunkDigits && d.size < maxChunkSize>>4:
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

// hexDigit returns the value of a hexadecimal digit, or -1 if it is none.
func hexDigit(b byte) int64 {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0')
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10
	}
	return -1
}

// decodeSizePad decodes a byte behind white space that follows a size: only an extension may come.
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

// decodeExtensions decodes a byte of a chunk's extensions, which are dropped.
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

// endSizeLine ends the line of a size: data follows, or the trailers after the last chunk, whose
// size is 0.
func (d *chunkDecoder) endSizeLine() {
	d.seen, d.previous, d.trailer = 0, 0, d.trailer[:0]
	if d.remaining = d.size; d.remaining > 0 {
		d.state = inChunkData
	} else {
		d.state = inTrailers
	}
}

// decodeDataEnd decodes a byte of the CR LF behind a chunk's data.
func (d *chunkDecoder) decodeDataEnd(b byte) error {
	switch {
	case d.seen == 1 && b == '\r':
	case d.seen == 2:
		d.state, d.seen, d.previous, d.size = inChunkSize, 0, 0, -1
	default:
		return errChunkEnd
	}
	return nil
}

// decodeTrailers decodes a byte of the trailers, whose lines must have the form of fields. They are
// dropped.
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

// endTrailerLine ends a line of the trailers, or the body if the line is empty.
func (d *chunkDecoder) endTrailerLine() error {
	if len(d.trailer) == 0 {
		d.state = afterBody
		return nil
	}
	for i, b := range d.trailer {
		if b == ':' && i > 0 {
			d.trailer, d.previous = d.trailer[:0], 0
			return nil
		}
		if b == ' ' || b == '\t' {
			break
		}
	}
	return errChunkLine
}

// isTextByte reports whether a byte is not a control character, or is a tab.
func isTextByte(b byte) bool { return b >= ' ' && b != 0x7f || b == '\t' }
