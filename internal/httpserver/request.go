package httpserver

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"rowancart/balancer"
	"rowancart/internal/http1"
	"rowancart/internal/platform"
	"rowancart/internal/proxy"
)

const (
	maxRequestIDLength = 256       // bytes
	maxClientTimeout   = time.Hour // maximum deadline that a client may send

	// networkAllowance is the part of a client's deadline that is reserved for transfer: 0.4 ms in
	// this process (p99) and the round-trip time on the network.
	networkAllowance = 10 * time.Millisecond
)

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
