package httpserver

import (
	"net/http"
	"time"

	"rowancart/balancer"
	"rowancart/internal/proxy"
)

// Router decides which pool serves a request.
type Router interface {
	// Route returns the target of a request, or a rejection if no pool serves it. The request's body
	// has been read, or the beginning of a long one.
	Route(r *http.Request) (Target, *Rejection)
}

// Target is the pool that a request was routed to, and what that pool must know of it.
type Target struct {
	Pool   *proxy.Pool
	Class  string // as the pool's settings name it
	Effect balancer.Idempotency
	Tenant string

	DefaultTimeout time.Duration // for a client that sends no deadline; 0: it must send one
	MaxTimeout     time.Duration // upper bound of the time to serve the request; 0: the client's deadline alone counts

	AnyMethod bool   // the router has checked method and body; otherwise the class decides which are allowed
	DefaultID string // for a request without an id; empty: it must have one

	// Done, unless nil, is called once after the response: with whether the request was passed to the
	// pool, and the pool's result.
	Done func(forwarded bool, result proxy.Result)
}

// Rejection is the response to a request that no pool serves.
type Rejection struct {
	Status     int
	Reason     string
	Limit      string        // the configured limit that the request exceeds; empty: it is rejected for another reason
	RetryAfter time.Duration // 0: no Retry-After
	Allow      []string      // the methods allowed, for 405
	Close      bool          // closes the connection
}

// closingRejection returns a rejection that closes the connection: for a request that cannot be
// read safely, whose successor on the connection might begin anywhere.
func closingRejection(status int, reason string) *Rejection {
	return &Rejection{Status: status, Reason: reason, Close: true}
}
