package watch

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxMessageBytes is the maximum size of a complete list and of a message of a watch.
const maxMessageBytes = 4 << 20

var errMessageTooLong = fmt.Errorf("message exceeds %d bytes", maxMessageBytes)

// messageReader splits the body of a watch into messages, which are JSON objects. A message takes
// one line, or several lines if its JSON is indented. Empty lines are sent while nothing changes.
type messageReader struct {
	source    io.Reader
	onStart   func() // called when the first byte of a message or empty line arrives
	started   bool   // whether onStart was called for the current message or line
	remaining int    // bytes that the current message may still have
	buffered  *bufio.Reader
}

func newMessageReader(source io.Reader, onStart func()) *messageReader {
	r := &messageReader{source: source, onStart: onStart}
	r.buffered = bufio.NewReader(r)
	return r
}

// Read implements io.Reader for buffered. It reads from the source, limits the size of a message,
// and calls onStart at its first byte.
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

// start calls onStart unless it was called for the current message or line.
func (r *messageReader) start() {
	if !r.started {
		r.started = true
		r.onStart()
	}
}

// next returns the next message, or nil for an empty line. If the body ends before the newline of a
// message's last line, next returns an error and drops the message, because the next watch delivers
// that change again. A first line that is not the beginning of a JSON value is returned alone, for
// the parser to reject. After such a beginning, next only counts braces until they are balanced.
func (r *messageReader) next() ([]byte, error) {
	r.started, r.remaining = false, maxMessageBytes
	if r.buffered.Buffered() > 0 { // its first byte has arrived together with the previous message
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

// isIncompleteJSON reports whether text is the beginning of a valid JSON value, but not all of it.
func isIncompleteJSON(text []byte) bool {
	return errors.Is(json.NewDecoder(bytes.NewReader(text)).Decode(new(json.RawMessage)), io.ErrUnexpectedEOF)
}

// braceNesting tracks the nesting depth of braces at the end of a JSON text. It scans each line of
// an indented object only once. Decoding the whole text after each line would take quadratic time.
type braceNesting struct {
	depth     int
	inString  bool
	isEscaped bool // whether a backslash escapes the next byte
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
