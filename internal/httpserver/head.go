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
	firstBuffer = 4 << 10 // bytes: enough for most heads, and little enough for every connection to have
	emptyMost   = 2       // empty lines ahead of a request
)

// errHeadTooLong says that a head does not end within engine.MaxHead.
var errHeadTooLong = errors.New("the head is too long")

// reader reads heads and bodies off a connection. Its buffer grows up to the longest head that is taken.
type reader struct {
	net.Conn
	buf        []byte
	start, end int // what has been read and not yet used
}

// fill reads more, behind what is there.
func (r *reader) fill() error {
	if r.start == r.end {
		r.start, r.end = 0, 0
	}
	if r.end == len(r.buf) {
		if r.start > 0 {
			r.end = copy(r.buf, r.buf[r.start:r.end])
			r.start = 0
		} else {
			r.buf = append(r.buf, make([]byte, max(len(r.buf), firstBuffer))...)
		}
	}
	n, err := r.Conn.Read(r.buf[r.end:])
	r.end += n
	if n > 0 {
		return nil
	}
	return err
}

// head waits for a whole head, up to and with its empty line. It stays valid until the next read.
func (r *reader) head() ([]byte, error) {
	for empty, seen := 0, 0; ; {
		if bytes.HasPrefix(r.buf[r.start:r.end], []byte("\r\n")) && empty < emptyMost { // RFC 9112, 2.2: some send one behind a body
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

// whole tells whether a head is there already.
func (r *reader) whole() bool { return bytes.Contains(r.buf[r.start:r.end], []byte("\r\n\r\n")) }

var errBareLF = errors.New("a line that does not end with CR LF")

// bodies keeps the memory of long bodies for others: *[]byte of engine.MaxBody bytes.
var bodies = sync.Pool{New: func() any { b := make([]byte, proxy.MaxBody); return &b }}

// readHead reads a request's head, and refuses one that has more than one reading.
func readHead(text []byte) (*http.Request, *Rejection) {
	if r := http1.ParseRequest(text); r != nil { // of the plainest form, in which there is nothing to refuse
		return r, nil
	}
	if f := checkHead(text); f != nil {
		return nil, f
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
	if err != nil {
		return nil, improper(http.StatusBadRequest, "no request of HTTP/1.1")
	}
	return r, nil
}

// checkHead holds a head to the framing that has one reading only (RFC 9112, 2.2, 3.2, 5 and 6.3): what net/http's parser
// would mend or let pass, a server behind us could read in another way.
func checkHead(head []byte) *Rejection {
	lines := bytes.Split(head[:len(head)-4], []byte("\r\n"))
	hosts, lengths, codings, chunked := 0, 0, 0, false
	for i, line := range lines {
		for _, c := range line {
			if c < ' ' && c != '\t' || c == 0x7f {
				return improper(http.StatusBadRequest, "a control character in the head")
			}
		}
		if i == 0 {
			continue
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return improper(http.StatusBadRequest, "a header without a name")
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
		return improper(http.StatusHTTPVersionNotSupported, "HTTP/1.1 is wanted")
	case hosts > 1 || hosts == 0 && !bytes.Equal(version, []byte("HTTP/1.0")):
		return improper(http.StatusBadRequest, "Host: exactly one is wanted")
	case lengths > 1 || lengths > 0 && codings > 0:
		return improper(http.StatusBadRequest, "Content-Length: one is wanted, and no Transfer-Encoding")
	case codings > 1 || codings > 0 && !chunked:
		return improper(http.StatusNotImplemented, "Transfer-Encoding: chunked is all that is known")
	case codings > 0 && !bytes.Equal(version, []byte("HTTP/1.1")):
		return improper(http.StatusBadRequest, "Transfer-Encoding: not in this version")
	}
	return nil
}

// checkHost refuses what is no host and port.
func checkHost(host string) *Rejection {
	for i := range len(host) {
		c := host[i]
		if c <= ' ' || c >= 0x7f || bytes.IndexByte([]byte(`"#/<>?@\^`+"`{|}"), c) >= 0 {
			return improper(http.StatusBadRequest, "Host: no host")
		}
	}
	return nil
}

// after is a deadline so far from now.
func after(d time.Duration) time.Time { return time.Now().Add(d) }
