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
	"rowancart/internal/platform"
	"rowancart/internal/proxy"
)

const (
	maxRequestIDLength = 256 // bytes
	maxClientTimeout   = time.Hour

	// networkAllowance is the part of a client's deadline that is left for the way here and back: 0.4
	// ms of this process (p99), and the network's.
	networkAllowance = 10 * time.Millisecond
)

// readRequestHead reads and checks the head of a request. It returns an error if the connection has
// ended or timed out, and a rejection if the head is not acceptable; the request is nil then if it
// could not be parsed.
func (c *conn) readRequestHead() (*http.Request, *Rejection, error) {
	head, err := c.reader.readHead()
	switch {
	case errors.Is(err, errHeadTooLong):
		return nil, closingRejection(http.StatusRequestHeaderFieldsTooLarge, err.Error()), nil
	case errors.Is(err, errBareLF):
		return nil, closingRejection(http.StatusBadRequest, err.Error()), nil
	case err != nil:
		return nil, nil, err
	}
	r, rejection := parseHead(head)
	if rejection != nil {
		return nil, rejection, nil
	}
	if rejection := validateHost(r.Host); rejection != nil {
		return r, rejection, nil
	}
	if r.ContentLength != 0 && !r.ProtoAtLeast(1, 1) {
		return r, closingRejection(http.StatusHTTPVersionNotSupported, "a body is not taken in this version"), nil
	}
	return r, nil, nil
}

// parseHead parses the head of a request, and rejects one that servers could read in different
// ways.
func parseHead(head []byte) (*http.Request, *Rejection) {
	if r := http1.ParseRequest(head); r != nil { // a simple head, which has one reading only
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

// framingFields is what the fields of a head say about the request's framing.
type framingFields struct {
	hosts, contentLengths, transferEncodings int  // how many there are
	chunked                                  bool // the last Transfer-Encoding is "chunked" alone
}

// count counts a field if it concerns framing.
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

// validateHead rejects a head whose lines or framing have more than one reading (RFC 9112, 2.2,
// 3.2, 5 and 6.3). net/http's parser corrects or accepts some of these, and a server behind this
// one might read them differently.
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

// validate rejects fields that leave the end of the body, or the host, open to more than one
// reading.
func (f *framingFields) validate(version string) *Rejection {
	switch {
	case !strings.HasPrefix(version, "HTTP/1."):
		return closingRejection(http.StatusHTTPVersionNotSupported, "HTTP/1.1 is wanted")
	case f.hosts > 1 || f.hosts == 0 && version != "HTTP/1.0":
		return closingRejection(http.StatusBadRequest, "Host: exactly one is wanted")
	case f.contentLengths > 1 || f.contentLengths > 0 && f.transferEncodings > 0:
		return closingRejection(http.StatusBadRequest, "Content-Length: one is wanted, and no Transfer-Encoding")
	case f.transferEncodings > 1 || f.transferEncodings > 0 && !f.chunked:
		return closingRejection(http.StatusNotImplemented, "Transfer-Encoding: chunked is all that is known")
	case f.transferEncodings > 0 && version != "HTTP/1.1":
		return closingRejection(http.StatusBadRequest, "Transfer-Encoding: not in this version")
	}
	return nil
}

// validateHost rejects what cannot be a host and port.
func validateHost(host string) *Rejection {
	for i := range len(host) {
		c := host[i]
		if c <= ' ' || c >= 0x7f || bytes.IndexByte([]byte(`"#/<>?@\^`+"`{|}"), c) >= 0 {
			return closingRejection(http.StatusBadRequest, "Host: no host")
		}
	}
	return nil
}

// newCall makes the call that a pool is to serve, and completes its message, or rejects a request
// whose headers are not acceptable. The message has the body already; streamed says that more of it
// is to come. The time of a call without a streamed body counts from received.
func (s *Server) newCall(r *http.Request, target *Target, message *proxy.RequestMessage, streamed bool,
	received time.Time) (*proxy.Call, *Rejection) {
	if err := checkMethod(r.Method, target.Idempotency, len(message.Body) > 0 || streamed); err != nil && !target.AnyMethod {
		return nil, closingRejection(http.StatusMethodNotAllowed, err.Error())
	}
	// These fields are forwarded unchanged even if Connection names them.
	header := proxy.EndToEnd(r.Header, platform.RequestIDHeader, platform.IdempotencyKeyHeader)
	id, err := requestID(r.Header, target.DefaultID)
	if err != nil {
		return nil, closingRejection(http.StatusBadRequest, err.Error())
	}
	if len(r.Header[platform.RequestIDHeader]) == 0 {
		header.Set(platform.RequestIDHeader, id)
	}
	timeout, err := clientTimeout(r.Header, target)
	if err != nil {
		return nil, closingRejection(http.StatusBadRequest, err.Error())
	}
	if target.Idempotency == balancer.IdempotencyKeyed && r.Header.Get(platform.IdempotencyKeyHeader) == "" {
		// Without a key the endpoints could not recognize a retry.
		return nil, closingRejection(http.StatusBadRequest, platform.IdempotencyKeyHeader+": missing")
	}
	message.ClientTimeout = timeout
	message.Method, message.URL, message.Header = r.Method, r.URL, header
	message.Host = cmp.Or(r.Host, s.defaultHost)
	return proxy.NewCall(balancer.Request{
		ID:          id,
		Class:       target.Class,
		Tenant:      target.Tenant,
		Deadline:    target.Pool.Now() - time.Since(received) + timeout,
		ClientRetry: r.Header.Get(platform.ClientRetryHeader) == platform.ClientRetryValue,
	}, message), nil
}

// checkMethod returns an error if a request does not have the form that its class requires: GET
// without a body for idempotent requests, POST for all others.
func checkMethod(method string, effect balancer.Idempotency, hasBody bool) error {
	switch {
	case effect == balancer.Idempotent && (method != http.MethodGet || hasBody):
		return errors.New("the class takes GET with no body")
	case effect != balancer.Idempotent && method != http.MethodPost:
		return errors.New("the class takes POST")
	}
	return nil
}

// requestID returns a request's id, or defaultID if the request has none and there is a default.
func requestID(h http.Header, defaultID string) (string, error) {
	values := h.Values(platform.RequestIDHeader)
	if len(values) == 0 && defaultID != "" {
		return defaultID, nil
	}
	id, err := singleValue(values, platform.RequestIDHeader)
	if err != nil || len(id) > maxRequestIDLength {
		return "", fmt.Errorf("%s: one of moderate length is wanted", platform.RequestIDHeader)
	}
	return id, nil
}

// clientTimeout returns how long a request may be served: until the client's deadline or, if the
// client sends none, the target's default, less the time on the network and at most the target's
// maximum.
func clientTimeout(h http.Header, target *Target) (time.Duration, error) {
	timeout := target.DefaultTimeout
	if values := h.Values(platform.DeadlineHeader); len(values) > 0 || timeout == 0 {
		text, err := singleValue(values, platform.DeadlineHeader)
		if err != nil {
			return 0, err
		}
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 || ms > maxClientTimeout.Milliseconds() {
			return 0, fmt.Errorf("%s: %.40q is no usable time", platform.DeadlineHeader, text)
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	timeout -= networkAllowance
	if target.MaxTimeout > 0 {
		timeout = min(timeout, target.MaxTimeout)
	}
	return timeout, nil
}

// singleValue returns the value of a field that must be there exactly once and not be empty.
func singleValue(values []string, name string) (string, error) {
	if len(values) != 1 || values[0] == "" {
		return "", fmt.Errorf("%s: exactly one is wanted", name)
	}
	return values[0], nil
}
