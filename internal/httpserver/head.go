package httpserver

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"rowancart/internal/http1"
	"rowancart/internal/proxy"
)

const (
	initialBufferSize    = 4 << 10 // bytes: enough for most heads, and little enough for every connection to have
	maxLeadingEmptyLines = 2       // empty lines ahead of a request
)

// errHeadTooLong says that a head does not end within engine.MaxHead.
var errHeadTooLong = errors.New("the head is too long")

// connReader reads heads and bodies off a connection. Its buffer grows up to the longest head that is taken.
type connReader struct {
	net.Conn
	buf        []byte
	start, end int // what has been read and not yet used
}

// fill reads more, behind what is there.
func (r *connReader) fill() error {
	if r.start == r.end {
		r.start, r.end = 0, 0
	}
	if r.end == len(r.buf) {
		if r.start > 0 {
			r.end = copy(r.buf, r.buf[r.start:r.end])
			r.start = 0
		} else {
			r.buf = append(r.buf, make([]byte, max(len(r.buf), initialBufferSize))...)
		}
	}
	n, err := r.Conn.Read(r.buf[r.end:])
	r.end += n
	if n > 0 {
		return nil
	}
	return err
}

// readHead waits for a whole head, up to and with its empty line. It stays valid until the next read.
func (r *connReader) readHead() ([]byte, error) {
	for empty, seen := 0, 0; ; {
		if bytes.HasPrefix(r.buf[r.start:r.end], []byte("\r\n")) && empty < maxLeadingEmptyLines { // RFC 9112, 2.2: some send one behind a body
			empty, seen = empty+1, 0
			r.start += 2
		}
		text := r.buf[r.start:r.end]
		if i := bytes.Index(text[max(seen-3, 0):], []byte("\r\n\r\n")); i >= 0 {
			n := max(seen-3, 0) + i + 4
			r.start += n
			return text[:n], nil
		}
		if bytes.Contains(text[max(seen-1, 0):], []byte("\n\n")) { // it ends for some, and not for us
			return nil, errBareLF
		}
		if seen = len(text); seen >= proxy.MaxHead {
			return nil, errHeadTooLong
		}
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// hasCompleteHead tells whether a head is there already.
func (r *connReader) hasCompleteHead() bool {
	return bytes.Contains(r.buf[r.start:r.end], []byte("\r\n\r\n"))
}

var errBareLF = errors.New("a line that does not end with CR LF")

// bodyMemory keeps the memory of long bodies for others: *[]byte of engine.MaxBody bytes.
var bodyMemory = sync.Pool{New: func() any { b := make([]byte, proxy.MaxBody); return &b }}

// parseHead reads a request's head, and refuses one that has more than one reading.
func parseHead(text []byte) (*http.Request, *Rejection) {
	if r := http1.ParseRequest(text); r != nil { // of the plainest form, in which there is nothing to refuse
		return r, nil
	}
	if f := validateHead(text); f != nil {
		return nil, f
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
	if err != nil {
		return nil, closingRejection(http.StatusBadRequest, "no request of HTTP/1.1")
	}
	return r, nil
}

// validateHead holds a head to the framing that has one reading only (RFC 9112, 2.2, 3.2, 5 and 6.3): what net/http's parser
// would mend or let pass, a server behind us could read in another way.
func validateHead(head []byte) *Rejection {
	lines := bytes.Split(head[:len(head)-4], []byte("\r\n"))
	hosts, lengths, codings, chunked := 0, 0, 0, false
	for i, line := range lines {
		for _, c := range line {
			if c < ' ' && c != '\t' || c == 0x7f {
				return closingRejection(http.StatusBadRequest, "a control character in the head")
			}
		}
		if i == 0 {
			continue
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return closingRejection(http.StatusBadRequest, "a header without a name")
		}
		switch {
		case bytes.EqualFold(name, []byte("Host")):
			hosts++
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			codings++
			chunked = bytes.EqualFold(bytes.Trim(value, " \t"), []byte("chunked"))
		}
	}
	version := lines[0][bytes.LastIndexByte(lines[0], ' ')+1:]
	switch {
	case !bytes.HasPrefix(version, []byte("HTTP/1.")):
		return closingRejection(http.StatusHTTPVersionNotSupported, "HTTP/1.1 is wanted")
	case hosts > 1 || hosts == 0 && !bytes.Equal(version, []byte("HTTP/1.0")):
		return closingRejection(http.StatusBadRequest, "Host: exactly one is wanted")
	case lengths > 1 || lengths > 0 && codings > 0:
		return closingRejection(http.StatusBadRequest, "Content-Length: one is wanted, and no Transfer-Encoding")
	case codings > 1 || codings > 0 && !chunked:
		return closingRejection(http.StatusNotImplemented, "Transfer-Encoding: chunked is all that is known")
	case codings > 0 && !bytes.Equal(version, []byte("HTTP/1.1")):
		return closingRejection(http.StatusBadRequest, "Transfer-Encoding: not in this version")
	}
	return nil
}

// validateHost refuses what is no host and port.
func validateHost(host string) *Rejection {
	for i := range len(host) {
		c := host[i]
		if c <= ' ' || c >= 0x7f || bytes.IndexByte([]byte(`"#/<>?@\^`+"`{|}"), c) >= 0 {
			return closingRejection(http.StatusBadRequest, "Host: no host")
		}
	}
	return nil
}

// deadlineAfter is a deadline so far from now.
func deadlineAfter(d time.Duration) time.Time { return time.Now().Add(d) }
