// Package httpserver serves HTTP/1.1 clients. It reads a request, asks the Router for the pool
// that serves it, passes it to that pool and writes the response.
//
// Each connection has one goroutine, which reads a request, waits for the pool's result, writes the
// response and reads the next request. A Listener tracks the connections and closes idle ones; it
// never closes a connection on which the server has begun to read a request.
package httpserver

import (
	"log/slog"
	"sync/atomic"
	"time"

	"rowancart/internal/membudget"
)

// Time limits on a client's connection.
const (
	// requestHeadTimeout is more than the 2 s that a client may take to send a head. It leaves time
	// to respond within the 3 s that a client may take to send a complete request.
	requestHeadTimeout = 2500 * time.Millisecond

	// defaultBodyGracePeriod is the extra time for a long body, beyond the time it takes at
	// minBodyRate.
	defaultBodyGracePeriod = 800 * time.Millisecond

	// memoryTimeout is how long after its first byte a request may wait for the memory that its head
	// needs. It is less than requestHeadTimeout, so that the head can still be read.
	memoryTimeout = 1500 * time.Millisecond

	writeTimeout = 5 * time.Second // a client has at least this long to read a response that is not streamed
	idleTimeout  = 5 * time.Minute // limit on waiting for the next request after bufferIdleTimeout
)

// Server serves the connections of clients. Its methods are safe for concurrent use unless they say
// otherwise.
type Server struct {
	router          Router
	name            string // the name of this server in Proxy-Status
	defaultHost     string // forwarded as Host if a request has an empty one or, in HTTP/1.0, none
	log             *slog.Logger
	bodyGracePeriod time.Duration
	bodyBuffers     bodyBufferPool // for long request bodies
	memory          *membudget.Budget
	draining        atomic.Bool

	roundRetryAfter bool // Retry-After is rounded up to whole seconds
}

// New returns a server. name is its name in Proxy-Status. host is forwarded as the Host of a
// request that has none or an empty one.
func New(router Router, name, host string, log *slog.Logger) *Server {
	s := &Server{
		router: router, name: name, defaultHost: host, log: log, bodyGracePeriod: defaultBodyGracePeriod,
		memory: membudget.New(defaultMemory),
	}
	s.bodyBuffers.setLimit(defaultBodyMemory)
	return s
}

// RoundRetryAfter rounds Retry-After up to whole seconds, as RFC 9110 (10.2.3) requires. The
// platform's clients also read fractions. It must be called before Serve.
func (s *Server) RoundRetryAfter() { s.roundRetryAfter = true }

// SetMemory sets the budget from which requests and connections draw their memory, beyond the small
// amount that each connection may use. Servers may share a budget. It must be called before Serve.
func (s *Server) SetMemory(budget *membudget.Budget) { s.memory = budget }

// SetBodyMemory sets how many bytes of long request bodies may be buffered at once, over all
// connections. The rest is streamed to the endpoint as it arrives.
func (s *Server) SetBodyMemory(bytes int) { s.bodyBuffers.setLimit(bytes) }

// SetBodyGracePeriod sets the extra time for a long body, beyond the time it takes at the minimum
// rate. It must be called before Serve.
func (s *Server) SetBodyGracePeriod(d time.Duration) { s.bodyGracePeriod = d }

// StartDraining makes responses close their connections from now on, unless a pipelined request
// follows.
func (s *Server) StartDraining() { s.draining.Store(true) }

// Draining reports whether StartDraining is in effect.
func (s *Server) Draining() bool { return s.draining.Load() }

// StopDraining undoes StartDraining.
func (s *Server) StopDraining() { s.draining.Store(false) }

// Serve accepts connections and serves each in a goroutine of its own. It returns the first error
// after which the listener can never accept again, which is net.ErrClosed once it is closed.
func (s *Server) Serve(l *Listener) error {
	backoff := acceptBackoff{log: s.log}
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
			backoff.reset()
			go s.serveConn(l, nc.(*trackedConn))
		case !backoff.wait(err):
			return err
		}
	}
}
