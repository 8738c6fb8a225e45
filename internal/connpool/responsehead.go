package connpool

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"rowancart/internal/membudget"
)

const (
	maxInterimResponses = 8    // 1xx responses after which reading a response fails
	maxHeadLines        = 1000 // lines of a response's head
	unreservedFields    = 32   // lines of a head for which no memory is reserved
	fieldMemory         = 200  // bytes that a parsed field takes beside its text

	// headMemoryTimeout is how long a response may wait for the memory that its head needs. Two
	// requests may wait for memory that the other holds, so it is short.
	headMemoryTimeout = time.Second
)

var (
	lineEnd   = []byte("\r\n")
	endOfHead = []byte("\r\n\r\n")
)

// The requests that tell http.ReadResponse whether the response is one to HEAD, which has no body.
var (
	headRequest = &http.Request{Method: http.MethodHead}
	getRequest  = &http.Request{Method: http.MethodGet}
)

// readHead uses net/http to read the head of a response that http1.ParseResponse does not parse.
// The Body of the result must not be read: an http1.Body reads it from the connection.
func (r responseReader) readHead(method string) (*http.Response, error) {
	req := getRequest
	if method == http.MethodHead {
		req = headRequest
	}
	for range maxInterimResponses {
		text, err := r.conn.readHeadText()
		if err != nil {
			return nil, err
		}
		if err := r.reserveFields(bytes.Count(text, lineEnd[1:])); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(bufio.NewReaderSize(bytes.NewReader(text), len(text)), req)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
	return nil, errTooManyInterim
}

// reserveFields reserves the memory that a head with this many lines takes once it is parsed,
// beyond what every response may use, or returns an error if there is none in time. The memory
// stays reserved until the request ends.
func (r responseReader) reserveFields(lines int) error {
	size := max(lines-unreservedFields, 0) * fieldMemory
	timeout := min(time.Until(r.deadline), headMemoryTimeout)
	if size > 0 && !r.memory.Reserve(size, membudget.Serving, timeout) {
		return errNoHeadMemory
	}
	return nil
}

// headLines returns the number of lines of the head at the beginning of data, or 0 if the head is
// incomplete.
func headLines(data []byte) int {
	end := bytes.Index(data, endOfHead)
	if end < 0 {
		return 0
	}
	return bytes.Count(data[:end], lineEnd) + 1
}

// readHeadText reads a head with its empty line.
func (c *conn) readHeadText() ([]byte, error) {
	var text []byte
	for lines := 0; lines <= maxHeadLines; {
		part, err := c.reader.ReadSlice('\n')
		text = append(text, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull): // a long line
			continue
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if isEndOfHead(text) {
			return text, nil
		}
		lines++
	}
	return nil, errTooManyFields
}

// isEndOfHead reports whether a text of complete lines ends with an empty one.
func isEndOfHead(text []byte) bool {
	line := bytes.TrimSuffix(text[:len(text)-1], lineEnd[:1])
	return len(line) == 0 || line[len(line)-1] == '\n'
}
