package watch

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxMessageBytes bounds a complete list, and a message of a watch.
const maxMessageBytes = 4 << 20

var errMessageTooLong = fmt.Errorf("an object of more than %d bytes", maxMessageBytes)

// messageReader splits the body of a watch into JSON objects. An object takes one line, or several
// where it is indented. There are empty lines while nothing changes.
type messageReader struct {
	source    io.Reader
	onStart   func() // called when the first byte of a message or an empty line has arrived
	started   bool   // whether onStart was called for what is being read
	remaining int    // bytes that what is being read may still have
	buffered  *bufio.Reader
}

func newMessageReader(source io.Reader, onStart func()) *messageReader {
	r := &messageReader{source: source, onStart: onStart}
	r.buffered = bufio.NewReader(r)
	return r
}

// Read implements io.Reader for the buffer: it reads from the source, counts bytes and notices the
// first one.
func (r *messageReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if r.remaining -= n; r.remaining < 0 {
		return n, errMessageTooLong
	}
	if n > 0 {
		r.start()
	}
	return n, err
}

// start calls onStart, once for what is being read.
func (r *messageReader) start() {
	if !r.started {
		r.started = true
		r.onStart()
	}
}

// next returns the next object, or nothing for an empty line. An object that breaks off before the
// end of its last line is dropped: the next watch delivers that change again. Text that is no JSON
// is returned as far as needed to see that, for the parser to reject.
func (r *messageReader) next() ([]byte, error) {
	r.started, r.remaining = false, maxMessageBytes
	if r.buffered.Buffered() > 0 { // it has arrived together with the message before it
		r.start()
	}
	var text []byte
	var nesting braceNesting
	for {
		line, err := r.buffered.ReadBytes('\n')
		if err != nil {
			return nil, err
		}
		line = bytes.TrimSpace(line)
		isFirst := len(text) == 0
		if isFirst && len(line) == 0 {
			return nil, nil
		}
		text = append(append(text, line...), '\n')
		nesting.scan(line)
		if nesting.depth <= 0 || isFirst && !isIncompleteJSON(text) {
			return text, nil
		}
	}
}

// isIncompleteJSON reports whether text is the valid beginning of a JSON value that goes on.
func isIncompleteJSON(text []byte) bool {
	return errors.Is(json.NewDecoder(bytes.NewReader(text)).Decode(new(json.RawMessage)), io.ErrUnexpectedEOF)
}

// braceNesting tracks how deep in braces the end of a JSON text is. It scans each line of an
// indented object once, where decoding the text anew after each line would take quadratic time.
type braceNesting struct {
	depth     int
	inString  bool
	isEscaped bool // the next byte, by a backslash
}

func (n *braceNesting) scan(line []byte) {
	for _, b := range line {
		switch {
		case n.isEscaped:
			n.isEscaped = false
		case n.inString && b == '\\':
			n.isEscaped = true
		case b == '"':
			n.inString = !n.inString
		case n.inString:
		case b == '{':
			n.depth++
		case b == '}':
			n.depth--
		}
	}
}
