package virtual

import (
	"cmp"
	"slices"
	"time"

	"rowancart/internal/experiment/invariant"
)

// call is a request to an instance, made by a client or by a server that calls the next tier.
type call struct {
	id          string
	class       int     // index in Site.Classes
	tenant      int     // index in Site.Tenants; negative: none
	work        float64 // seconds, over all tiers; each server does Tier.WorkFraction of it
	deadline    time.Duration
	clientRetry bool
	digest      uint64 // of the response
	instance    *instance
	origin      callOrigin

	attempts   []*attempt
	attemptBuf [2]*attempt // backing array of attempts; a call rarely has more than two
	ended      bool        // the final response was sent, or the client has disconnected
	outcome    invariant.Outcome
	retryAfter time.Duration // of the final response, or retryAfterUnreachable
}

// callOrigin is the caller of a call: a client or a task.
type callOrigin interface {
	callEnded(now time.Duration, c *call)    // handles the arrival of the final response
	callTimedOut(now time.Duration, c *call) // handles a call without a response in the time the origin waits
}

// retryAfterUnreachable is the retryAfter of a call that failed because no instance received it.
const retryAfterUnreachable = time.Duration(-1)

// Actions of the events of a call.
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

// end schedules the arrival of the final response at the origin.
func (c *call) end(at time.Duration, outcome invariant.Outcome, retryAfter time.Duration) {
	c.outcome = outcome
	c.retryAfter = retryAfter
	c.instance.sim.schedule(&c.instance.eventSource, at, c, responseArrives)
}

// sortCalls sorts calls that were read from a map, so that the map's random order does not affect
// the result.
func sortCalls(calls []*call) {
	slices.SortFunc(calls, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
}
