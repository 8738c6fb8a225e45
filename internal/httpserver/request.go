package httpserver

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rowancart/balancer"
	"rowancart/internal/http1"
	"rowancart/internal/membudget"
	"rowancart/internal/platform"
	"rowancart/internal/proxy"
)

const (
	maxRequestIDLength = 256       // bytes
	maxClientTimeout   = time.Hour // maximum deadline that a client may send

	maxHeadFields    = 1000 // lines of a head
	unreservedFields = 32   // lines of a head for which no memory is reserved
	fieldMemory      = 200  // bytes that a parsed field takes beside its text
	headCopies       = 2    // of a long head's text: the parsed one, and the one that is written to an endpoint

	memoryRetryAfter = time.Second // Retry-After of a request for which there is no memory

	// networkAllowance is the part of a client's deadline that is reserved for transfer: 0.4 ms in
	// this process (p99) and the round-trip time on the network.
	networkAllowance = 10 * time.Millisecond
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

// Errors of requests whose method or body their class does not allow.
var (
	errNotBodilessGet = errors.New("the class takes GET with no body")
	errNotPost        = errors.New("the class takes POST")
)

// headerError is the error of a header whose value is missing, repeated or invalid.
type headerError struct {
	header  string
	problem string
}

// Error implements error.
func (e *headerError) Error() string { return e.header + ": " + e.problem }

// checkMethod returns an error unless a request has the form that its class requires: GET without
// a body for idempotent requests, POST for all others. A target with AnyMethod accepts all
// requests.
func (t *Target) checkMethod(method string, body receivedBody) error {
	isBodilessGet := method == http.MethodGet && body.isEmpty()
	switch {
	case t.AnyMethod:
		return nil
	case t.Idempotency == balancer.Idempotent && !isBodilessGet:
		return errNotBodilessGet
	case t.Idempotency != balancer.Idempotent && method != http.MethodPost:
		return errNotPost
	}
	return nil
}

// completeMessage completes the message for the endpoints, except for the body. It rejects
// a request whose method or headers are not acceptable.
func (s *Server) completeMessage(m *proxy.RequestMessage, r *http.Request, target *Target,
	body receivedBody) *Rejection {
	if err := target.checkMethod(r.Method, body); err != nil {
		return closingRejection(http.StatusMethodNotAllowed, err.Error())
	}
	id, err := requestID(r.Header, target.DefaultID)
	if err != nil {
		return closingRejection(http.StatusBadRequest, err.Error())
	}
	timeout, err := clientTimeout(r.Header, target)
	if err != nil {
		return closingRejection(http.StatusBadRequest, err.Error())
	}
	if target.Idempotency == balancer.IdempotencyKeyed && r.Header.Get(platform.IdempotencyKeyHeader) == "" {
		// Without a key, the endpoints could not recognize a retry.
		err := &headerError{platform.IdempotencyKeyHeader, "missing"}
		return closingRejection(http.StatusBadRequest, err.Error())
	}
	// These fields are forwarded unchanged even if Connection names them.
	m.Header = http1.RemoveHopByHop(r.Header, platform.RequestIDHeader, platform.IdempotencyKeyHeader)
	if len(r.Header[platform.RequestIDHeader]) == 0 {
		m.Header.Set(platform.RequestIDHeader, id)
	}
	m.Method = r.Method
	m.Target = r.RequestURI
	m.Host = cmp.Or(r.Host, s.defaultHost)
	m.ClientTimeout = timeout
	return nil
}

// newCall returns the call with which a pool serves a complete message. The client's timeout
// starts at sentAt, the earliest time at which the client can have sent the latest data of the
// request. For a request with a streamed body, the caller replaces the deadline.
func newCall(r *http.Request, target *Target, m *proxy.RequestMessage, sentAt time.Time) *proxy.Call {
	return proxy.NewCall(balancer.Request{
		ID:          m.Header.Get(platform.RequestIDHeader),
		Class:       target.Class,
		Tenant:      target.Tenant,
		Deadline:    target.Pool.Now() - time.Since(sentAt) + m.ClientTimeout,
		ClientRetry: r.Header.Get(platform.ClientRetryHeader) == platform.ClientRetryValue,
	}, m)
}

// requestID returns a request's id, or defaultID if the request has none and there is a default.
func requestID(h http.Header, defaultID string) (string, error) {
	values := h.Values(platform.RequestIDHeader)
	if len(values) == 0 && defaultID != "" {
		return defaultID, nil
	}
	id, err := singleValue(values, platform.RequestIDHeader)
	if err != nil || len(id) > maxRequestIDLength {
		return "", &headerError{platform.RequestIDHeader, "one of moderate length is wanted"}
	}
	return id, nil
}

// clientTimeout returns how long a request may be served. That is the client's deadline or, if the
// client sends none, the target's default, less networkAllowance. It is at most the target's
// maximum.
func clientTimeout(h http.Header, target *Target) (time.Duration, error) {
	timeout := target.DefaultTimeout
	values := h.Values(platform.DeadlineHeader)
	if len(values) > 0 || timeout == 0 {
		text, err := singleValue(values, platform.DeadlineHeader)
		if err != nil {
			return 0, err
		}
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 || ms > maxClientTimeout.Milliseconds() {
			return 0, &headerError{platform.DeadlineHeader, fmt.Sprintf("%.40q is no usable time", text)}
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	timeout -= networkAllowance
	if target.MaxTimeout > 0 {
		timeout = min(timeout, target.MaxTimeout)
	}
	return timeout, nil
}

// singleValue returns the value of a header that must occur exactly once and not be empty.
func singleValue(values []string, name string) (string, error) {
	if len(values) != 1 || values[0] == "" {
		return "", &headerError{name, "exactly one is wanted"}
	}
	return values[0], nil
}
