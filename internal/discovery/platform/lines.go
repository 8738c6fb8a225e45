package platform

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// lines takes a watch apart: one object a line, or over several where it is indented, and empty lines while nothing changes.
type lines struct {
	from  io.Reader
	begun func() // is told when something comes that is not whole yet
	told  bool   // that, of what is being read
	left  int    // bytes that it may still have
	in    *bufio.Reader
}

func newLines(from io.Reader, begun func()) *lines {
	l := &lines{from: from, begun: begun}
	l.in = bufio.NewReader(l)
	return l
}

var errTooLong = fmt.Errorf("an object of more than %d bytes", maxList)

// Read implements io.Reader for the buffer.
func (l *lines) Read(p []byte) (int, error) {
	n, err := l.from.Read(p)
	if l.left -= n; l.left < 0 {
		return n, errTooLong
	}
	if n > 0 && !l.told {
		l.told = true
		l.begun()
	}
	return n, err
}

// next gives the next object, or nothing for an empty line. What breaks off before its last line's end is half an object: nothing at
// all, and the next watch asks for what was in it. What is no JSON is given as far as that shows.
func (l *lines) next() ([]byte, error) {
	if l.told, l.left = false, maxList; l.in.Buffered() > 0 { // it came with what stood before
		l.told = true
		l.begun()
	}
	var text []byte
	var n nesting
	for {
		line, err := l.in.ReadBytes('\n')
		if err != nil {
			return nil, err
		}
		if line = bytes.TrimSpace(line); len(line) == 0 && len(text) == 0 {
			return nil, nil
		}
		first := len(text) == 0
		text = append(append(text, line...), '\n')
		if n.add(line); n.depth <= 0 || first && !begins(text) {
			return text, nil
		}
	}
}

// begins tells whether text is the beginning of an object that goes on.
func begins(text []byte) bool {
	return errors.Is(json.NewDecoder(bytes.NewReader(text)).Decode(new(json.RawMessage)), io.ErrUnexpectedEOF)
}

// nesting follows how deep in braces a text is, so that each line of an indented object is looked at once.
type nesting struct {
	depth           int
	quoted, escaped bool
}

func (n *nesting) add(line []byte) {
	for _, c := range line {
		switch {
		case n.escaped:
			n.escaped = false
		case n.quoted && c == '\\':
			n.escaped = true
		case c == '"':
			n.quoted = !n.quoted
		case n.quoted:
		case c == '{':
			n.depth++
		case c == '}':
			n.depth--
		}
	}
}
