package virtual

import (
	"cmp"
	"slices"
	"time"

	"rowancart/internal/experiment/invariant"
)

// call is a request to an instance, by a client or by a server for the tier below.
type call struct {
	id          string
	class       int // index in Site.Classes
	tenant      int // index in Site.Tenants; negative: none
	work        float64
	deadline    time.Duration
	clientRetry bool
	digest      uint64 // of the response
	instance    *instance
	origin      callOrigin

	attempts   []*attempt
	attemptBuf [2]*attempt // backing array of attempts, which are rarely more
	ended      bool        // the final response was sent, or the client has disconnected
	outcome    invariant.Outcome
	retryAfter time.Duration // with outcome; see retryAfterUnreachable
}

// callOrigin is the caller of a call: a client or a task.
type callOrigin interface {
	callEnded(now time.Duration, c *call)    // the final response has arrived
	callTimedOut(now time.Duration, c *call) // the time for which the origin waits has passed
}

// retryAfterUnreachable marks a failure of a call that no instance received.
const retryAfterUnreachable = time.Duration(-1)

// Events of a call.
const (
	callArrives = iota
	responseArrives
	clientTimesOut
)

// act implements actor.
func (c *call) act(now time.Duration, action int) {
	switch action {
	case callArrives:
		c.instance.receive(now, c)
	case responseArrives:
		c.origin.callEnded(now, c)
	case clientTimesOut:
		c.origin.callTimedOut(now, c)
	}
}

// end sends the final response, which arrives at an instant.
func (c *call) end(at time.Duration, outcome invariant.Outcome, retryAfter time.Duration) {
	c.outcome = outcome
	c.retryAfter = retryAfter
	c.instance.sim.schedule(&c.instance.eventSource, at, c, responseArrives)
}

// sortCalls sorts calls from a map, whose random order must not affect the result.
func sortCalls(calls []*call) {
	slices.SortFunc(calls, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
}
