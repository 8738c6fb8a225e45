package httpserver

import (
	"net/http"
	"time"

	"rowancart/balancer"
	"rowancart/internal/proxy"
)

// Router decides which pool serves a request.
type Router interface {
	// Route returns the target of a request, or a rejection if no pool serves it. It is called
	// after the request's body, or the beginning of a long one, has been read.
	Route(r *http.Request) (Target, *Rejection)
}

// Target is the pool that a request is routed to, and the parameters with which that pool serves
// it.
type Target struct {
	Pool        *proxy.Pool
	Class       string // name of a class in the pool's settings
	Idempotency balancer.Idempotency
	Tenant      string

	DefaultTimeout time.Duration // for a client that sends no deadline; 0: it must send one
	MaxTimeout     time.Duration // upper bound of the time to serve the request; 0: only the client's deadline applies

	AnyMethod bool   // the router has checked method and body; otherwise the class decides which are allowed
	DefaultID string // for a request without an id; empty: it must have one

	// Done, unless nil, is called once, after the response has been written.
	Done func(Outcome)
}

// Outcome is how a routed request ended.
type Outcome struct {
	Forwarded bool         // whether the request was passed to the pool
	Result    proxy.Result // the pool's result; of kind Failed unless Forwarded
}

// Rejection is the response to a request that no pool serves. It is also the error of reading such
// a request.
type Rejection struct {
	Status     int
	Message    string        // the body of the response
	Limit      string        // the configured limit that the request exceeds; empty: it exceeds none
	RetryAfter time.Duration // 0: no Retry-After
	Allow      []string      // the methods allowed, for 405
	Close      bool          // closes the connection
}

// Error implements error.
func (r *Rejection) Error() string { return r.Message }

// closingRejection returns a rejection that closes the connection. It is for a request whose end
// is uncertain: the beginning of the next request is then unknown.
func closingRejection(status int, message string) *Rejection {
	return &Rejection{Status: status, Message: message, Close: true}
}
