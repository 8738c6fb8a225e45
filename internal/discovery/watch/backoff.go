package watch

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// watchTiming says how long a Client waits for discovery, and how long between two attempts.
type watchTiming struct {
	// responseTimeout is the time for a complete list to arrive, for a watch to begin, and for a
	// message or line that has begun to be complete.
	responseTimeout time.Duration
	// idleTimeout is how long a watch may deliver nothing after a message or an empty line.
	idleTimeout time.Duration
	// minBackoff and maxBackoff bound the backoff between two watches, before jitter.
	minBackoff, maxBackoff time.Duration
	// stableAfter is how long a watch that delivered something must have lasted for its end to reset
	// the backoff.
	stableAfter time.Duration
}

const (
	defaultDrainGrace = time.Second
	firstBackoff      = 50 * time.Millisecond
	// watchIdleTimeout allows for the empty line that comes every 2 s while nothing changes.
	watchIdleTimeout = 2500 * time.Millisecond
)

// localAgentTiming returns the timing for an agent on this machine, which responds at once. A lost
// watch has to be replaced within the drain grace (0 means the default), so the bounds are
// fractions of it: half of it for a response, a fifth between two watches.
func localAgentTiming(drainGrace time.Duration) watchTiming {
	const responseFraction, backoffFraction = 0.5, 0.2
	grace := float64(cmp.Or(drainGrace, defaultDrainGrace))
	maxBackoff := time.Duration(backoffFraction * grace)
	return watchTiming{
		responseTimeout: time.Duration(responseFraction * grace),
		idleTimeout:     watchIdleTimeout,
		minBackoff:      min(firstBackoff, maxBackoff),
		maxBackoff:      maxBackoff,
		stableAfter:     0,
	}
}

// sharedServiceTiming is the timing for one service of bounded capacity that serves the calls of
// all instances one after the other.
var sharedServiceTiming = watchTiming{
	// A call is queued for up to 2 s. One that is canceled sooner is served nevertheless, and has to
	// be made again.
	responseTimeout: 2500 * time.Millisecond,
	idleTimeout:     watchIdleTimeout,
	minBackoff:      firstBackoff,
	// Where calls come faster than they are served, the service rejects most of them, and hardly any
	// instance is served.
	maxBackoff: 1600 * time.Millisecond,
	// A watch that ends right after its start must not reset the backoff: all instances would call
	// again at once.
	stableAfter: time.Second,
}

// backoff is an exponential backoff with jitter.
type backoff struct {
	min, max time.Duration
	next     time.Duration // before jitter
}

func newBackoff(t watchTiming) *backoff {
	return &backoff{min: t.minBackoff, max: t.maxBackoff, next: t.minBackoff}
}

// nextDelay returns the time to wait before the next attempt, and doubles the one after it up to
// the maximum. The jitter is half of the backoff either way: all instances lose their watches at
// the same time, and must not come back at the same time.
func (b *backoff) nextDelay() time.Duration {
	delay := time.Duration(float64(b.next) * (0.5 + rand.Float64()))
	b.next = min(2*b.next, b.max)
	return delay
}

func (b *backoff) reset() { b.next = b.min }
