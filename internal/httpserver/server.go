// Package httpserver is the front for callers that speak HTTP/1.1: it reads a request, asks the desk whom it is for, hands it
// to an engine and writes the one answer.
package httpserver

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"rowancart/balancer"
	"rowancart/internal/proxy"
)

// What callers are answered. Only a refusal is 503, and nothing is 429: both promise that nothing has run.
const (
	statusServed    = http.StatusOK
	statusRejected  = http.StatusServiceUnavailable
	statusFailed    = http.StatusBadGateway
	statusDuplicate = http.StatusConflict
)

const (
	requestIDHeader      = "Req-Id"
	idempotencyKeyHeader = "Idempotency-Key"
	healthPath           = "/_health"
	maxRequestIDLength   = 256
	maxClientTimeout     = time.Hour
	networkAllowance     = 10 * time.Millisecond   // kept of a deadline for the way here and back: 0.4 ms here (p99), the rest the network's
	requestHeadTimeout   = 2500 * time.Millisecond // a caller may take 2 s; an improper peer is owed an end within 3 s
	defaultBodyTimeout   = 800 * time.Millisecond  // that a body may be behind the least pace of one
	writeTimeout         = 5 * time.Second
	idleTimeout          = 5 * time.Minute
)

// Router knows whom a request is for.
type Router interface {
	// Route says who is to serve a request, or why nobody does. The request's body has been read, or the beginning of a long one.
	Route(r *http.Request) (Target, *Rejection)
}

// Target is a request that has found its engine.
type Target struct {
	Pool           *proxy.Pool
	Class          string // as the engine's settings name it
	Effect         balancer.Repeatability
	Tenant         string
	DefaultTimeout time.Duration                    // how long a caller waits who does not say so; 0: it must say so
	MaxTimeout     time.Duration                    // how long it is served at most; 0: as long as it waits
	AnyMethod      bool                             // methods and bodies are as the desk has found them; else the class decides them
	DefaultID      string                           // for a request that brings none; empty: it must bring one
	Done           func(taken bool, a proxy.Result) // is told once whether an engine took the request, and its answer; nil: nobody asks
}

// Rejection is what a request is answered that nobody serves.
type Rejection struct {
	Status     int
	Reason     string
	Limit      string        // of the configuration, that it is over; empty: it is refused for something else
	RetryAfter time.Duration // 0: no advice
	Allow      []string      // methods that would do
	Close      bool          // ends the connection
}

func closingRejection(status int, reason string) *Rejection {
	return &Rejection{Status: status, Reason: reason, Close: true}
}

// Server is the callers' side: it serves connections.
type Server struct {
	router      Router
	name        string // in Proxy-Status
	defaultHost string // stands in where an HTTP/1.0 caller names no host
	log         *slog.Logger
	bodyTimeout time.Duration
	bodyBuffers bodyBufferPool // for long bodies
	draining    atomic.Bool

	roundRetryAfter bool // in Retry-After
}

// New returns a server. Name is what it calls itself to callers, and host stands in where a caller names none.
func New(d Router, name, host string, log *slog.Logger) *Server {
	s := &Server{router: d, name: name, defaultHost: host, log: log, bodyTimeout: defaultBodyTimeout}
	s.bodyBuffers.setLimit(defaultBodyMemory)
	return s
}

// RoundRetryAfter makes Retry-After a whole number of seconds, as RFC 9110 (10.2.3) has it. The platform's clients read
// fractions. It must be called before the first request comes.
func (s *Server) RoundRetryAfter() { s.roundRetryAfter = true }

// StartDraining makes answers close their connections from now on.
func (s *Server) StartDraining() { s.draining.Store(true) }

// Draining tells whether answers do.
func (s *Server) Draining() bool { return s.draining.Load() }

// StopDraining undoes End.
func (s *Server) StopDraining() { s.draining.Store(false) }

// SetBodyMemory sets how many bytes of long bodies are kept at once, over all connections. What does not fit is passed on as it comes.
func (s *Server) SetBodyMemory(bytes int) { s.bodyBuffers.setLimit(bytes) }

// SetBodyTimeout sets how far a body may be behind the least pace of one. It must be called before the first request comes.
func (s *Server) SetBodyTimeout(d time.Duration) { s.bodyTimeout = d }

// setRetryAfter says when trying again makes sense.
func (s *Server) setRetryAfter(h http.Header, after time.Duration) {
	switch {
	case after <= 0:
	case s.roundRetryAfter:
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	default:
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
}

// newCall makes a call of a request, with a message that has its body, or says what is wrong with it.
func (c *conn) newCall(r *http.Request, target *Target, message *proxy.RequestMessage, streamed bool, arrived time.Time) (*proxy.Call, *Rejection) {
	if err := checkMethod(r.Method, target.Effect, len(message.Body) > 0 || streamed); err != nil && !target.AnyMethod {
		return nil, closingRejection(http.StatusMethodNotAllowed, err.Error())
	}
	id := target.DefaultID
	header := proxy.EndToEnd(r.Header, requestIDHeader, idempotencyKeyHeader) // whatever Connection names, these go on unchanged
	if values := r.Header.Values(requestIDHeader); len(values) > 0 || id == "" {
		var err error
		if id, err = singleValue(values, requestIDHeader); err != nil || len(id) > maxRequestIDLength {
			return nil, closingRejection(http.StatusBadRequest, "Req-Id: one of moderate length is wanted")
		}
	} else {
		header.Set(requestIDHeader, id)
	}
	timeout := target.DefaultTimeout
	if values := r.Header.Values(proxy.DeadlineHeader); len(values) > 0 || timeout == 0 {
		text, err := singleValue(values, proxy.DeadlineHeader)
		if err != nil {
			return nil, closingRejection(http.StatusBadRequest, err.Error())
		}
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 || ms > maxClientTimeout.Milliseconds() {
			return nil, closingRejection(http.StatusBadRequest, fmt.Sprintf("%s: %.40q is no usable time", proxy.DeadlineHeader, text))
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	timeout -= networkAllowance
	if target.MaxTimeout > 0 {
		timeout = min(timeout, target.MaxTimeout)
	}
	if target.Effect == balancer.IdempotencyKeyed && r.Header.Get(idempotencyKeyHeader) == "" { // endpoints could not drop its repeats
		return nil, closingRejection(http.StatusBadRequest, "Idempotency-Key: missing")
	}
	message.ClientTimeout = timeout
	message.Method, message.URL, message.Host, message.Header = r.Method, r.URL, cmp.Or(r.Host, c.defaultHost), header
	return proxy.NewCall(balancer.Request{ID: id, Class: target.Class, Tenant: target.Tenant,
		Deadline: target.Pool.Now() - time.Since(arrived) + timeout, ClientRetry: r.Header.Get("Req-Retry") == "1"}, message), nil
}

// checkMethod holds a request to the form that its class decides: what is safe is asked for with no body.
func checkMethod(method string, effect balancer.Repeatability, hasBody bool) error {
	switch {
	case effect == balancer.Idempotent && (method != http.MethodGet || hasBody):
		return errors.New("the class takes GET with no body")
	case effect != balancer.Idempotent && method != http.MethodPost:
		return errors.New("the class takes POST")
	}
	return nil
}

// singleValue gives the value of a header that must come exactly once.
func singleValue(values []string, name string) (string, error) {
	if len(values) != 1 || values[0] == "" {
		return "", fmt.Errorf("%s: exactly one is wanted", name)
	}
	return values[0], nil
}

// resultStatuses are what the kinds of answers are to callers.
var resultStatuses = map[proxy.ResultKind]int{proxy.Served: statusServed, proxy.Rejected: statusRejected, proxy.Failed: statusFailed,
	proxy.Duplicate: statusDuplicate}
