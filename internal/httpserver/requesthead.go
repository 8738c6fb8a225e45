package httpserver

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
	"time"

	"rowancart/internal/http1"
	"rowancart/internal/membudget"
)

const (
	maxHeadFields    = 1000 // lines of a head
	unreservedFields = 32   // lines of a head for which no memory is reserved
	fieldMemory      = 200  // bytes that a parsed field takes beside its text
	headCopies       = 2    // of a long head's text: the parsed one, and the one that is written to an endpoint

	memoryRetryAfter = time.Second // Retry-After of a request for which there is no memory
)

// readRequestHead reads and validates the head of a request. If the head is not acceptable, the
// error is a *Rejection, and the request is nil if it could not be parsed. Any other error means
// that the connection was closed or timed out.
func (c *conn) readRequestHead() (*http.Request, error) {
	c.reader.memoryDeadline = c.requestStart.Add(memoryTimeout)
	head, err := c.reader.readHead()
	switch {
	case errors.Is(err, errNoMemory):
		return nil, memoryRejection()
	case errors.Is(err, errHeadTooLong):
		return nil, closingRejection(http.StatusRequestHeaderFieldsTooLarge, err.Error())
	case errors.Is(err, errBareLF):
		return nil, closingRejection(http.StatusBadRequest, err.Error())
	case err != nil:
		return nil, err
	}
	if rejection := c.reserveHead(head); rejection != nil {
		return nil, rejection
	}
	r, rejection := parseHead(head)
	c.reader.shrink() // the parsed request does not refer to the head
	if rejection != nil {
		return nil, rejection
	}
	if err := http1.CheckTarget(r.RequestURI); err != nil {
		return r, closingRejection(http.StatusBadRequest, err.Error())
	}
	if rejection := validateHost(r.Host); rejection != nil {
		return r, rejection
	}
	if r.ContentLength != 0 && !r.ProtoAtLeast(1, 1) {
		return r, closingRejection(http.StatusHTTPVersionNotSupported, "a body is not taken in this version")
	}
	return r, nil
}

// reserveHead reserves the memory that a parsed head takes beyond what every request may use. It
// rejects a head with too many fields, or for which there is no memory in time.
func (c *conn) reserveHead(head []byte) *Rejection {
	fields := bytes.Count(head, crlf)
	if fields > maxHeadFields {
		return closingRejection(http.StatusRequestHeaderFieldsTooLarge, "too many header fields")
	}
	size := max(fields-unreservedFields, 0) * fieldMemory
	if len(head) > initialBufferSize {
		size += headCopies * len(head)
	}
	if size > 0 && !c.requestMemory.Reserve(size, membudget.Serving, time.Until(c.requestStart.Add(requestHeadTimeout))) {
		return memoryRejection()
	}
	return nil
}

// memoryRejection returns the rejection of a request for which there is no memory.
func memoryRejection() *Rejection {
	rejection := closingRejection(http.StatusServiceUnavailable, errNoMemory.Error())
	rejection.RetryAfter = memoryRetryAfter
	return rejection
}

// parseHead parses the head of a request. It rejects a head that different servers could interpret
// differently.
func parseHead(head []byte) (*http.Request, *Rejection) {
	if r := http1.ParseRequest(head); r != nil { // a simple head, which is unambiguous
		return r, nil
	}
	if rejection := validateHead(head); rejection != nil {
		return nil, rejection
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil, closingRejection(http.StatusBadRequest, "no request of HTTP/1.1")
	}
	return r, nil
}

// framingFields counts the fields of a head that determine the request's framing and host.
type framingFields struct {
	hosts             int
	contentLengths    int
	transferEncodings int
	chunked           bool // the last Transfer-Encoding names "chunked" alone, in any case
}

// count counts a field if it determines the framing or the host.
func (f *framingFields) count(name, value []byte) {
	switch {
	case bytes.EqualFold(name, []byte("Host")):
		f.hosts++
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.contentLengths++
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.transferEncodings++
		f.chunked = bytes.EqualFold(bytes.Trim(value, " \t"), []byte("chunked"))
	}
}

// validateHead rejects a head whose lines or framing are ambiguous (RFC 9112, 2.2, 3.2, 5 and 6.3).
// net/http's parser corrects or accepts some of these, and an endpoint might interpret them
// differently.
func validateHead(head []byte) *Rejection {
	lines := bytes.Split(head[:len(head)-len(endOfHead)], crlf)
	var fields framingFields
	for i, line := range lines {
		if bytes.ContainsFunc(line, isControl) {
			return closingRejection(http.StatusBadRequest, "a control character in the head")
		}
		if i == 0 {
			continue
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return closingRejection(http.StatusBadRequest, "a header without a name")
		}
		fields.count(name, value)
	}
	version := lines[0][bytes.LastIndexByte(lines[0], ' ')+1:]
	return fields.validate(string(version))
}

// isControl reports whether a character is a control character other than a tab.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

// hasAmbiguousHost reports whether Host is missing or repeated. HTTP/1.0 does not require it.
func (f *framingFields) hasAmbiguousHost(version string) bool {
	isMissing := f.hosts == 0 && version != "HTTP/1.0"
	return isMissing || f.hosts > 1
}

// hasAmbiguousLength reports whether more than one field determines the length of the body.
func (f *framingFields) hasAmbiguousLength() bool {
	return f.contentLengths > 1 || f.contentLengths > 0 && f.transferEncodings > 0
}

// hasUnknownEncoding reports whether the transfer coding is anything but a single "chunked".
func (f *framingFields) hasUnknownEncoding() bool {
	return f.transferEncodings > 1 || f.transferEncodings > 0 && !f.chunked
}

// validate rejects fields that leave the end of the body, or the host, ambiguous.
func (f *framingFields) validate(version string) *Rejection {
	switch {
	case !strings.HasPrefix(version, "HTTP/1."):
		return closingRejection(http.StatusHTTPVersionNotSupported, "HTTP/1.1 is wanted")
	case f.hasAmbiguousHost(version):
		return closingRejection(http.StatusBadRequest, "Host: exactly one is wanted")
	case f.hasAmbiguousLength():
		return closingRejection(http.StatusBadRequest, "Content-Length: one is wanted, and no Transfer-Encoding")
	case f.hasUnknownEncoding():
		return closingRejection(http.StatusNotImplemented, "Transfer-Encoding: chunked is all that is known")
	case f.transferEncodings > 0 && version != "HTTP/1.1":
		return closingRejection(http.StatusBadRequest, "Transfer-Encoding: not in this version")
	}
	return nil
}

// invalidHostChars are the printable ASCII characters that are invalid in a host and port.
const invalidHostChars = `"#/<>?@\^` + "`{|}"

// isHostChar reports whether a byte is valid in a host and port.
func isHostChar(c byte) bool {
	return c > ' ' && c < 0x7f && strings.IndexByte(invalidHostChars, c) < 0
}

// validateHost rejects a Host with characters that are invalid in a host and port.
func validateHost(host string) *Rejection {
	for i := range len(host) {
		if !isHostChar(host[i]) {
			return closingRejection(http.StatusBadRequest, "Host: no host")
		}
	}
	return nil
}
