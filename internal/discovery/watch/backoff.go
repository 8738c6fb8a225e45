package watch

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// watchTiming holds the timeouts of a Client, and the time that it waits between two watches.
type watchTiming struct {
	// responseTimeout is the time limit for a complete list to arrive, for the response to a watch to
	// begin, and for a message or empty line of a watch to be complete after its first byte.
	responseTimeout time.Duration
	// idleTimeout is the time limit for the next message or empty line of a watch to begin.
	idleTimeout time.Duration
	// minBackoff and maxBackoff are the limits of the backoff between two watches, before jitter.
	minBackoff, maxBackoff time.Duration
	// stableAfter is how long a watch that has delivered a message or an empty line must have lasted
	// for the backoff to be reset when it ends.
	stableAfter time.Duration
}

const (
	defaultDrainGrace = time.Second
	firstBackoff      = 50 * time.Millisecond
	// watchIdleTimeout is longer than the 2 s between empty lines while nothing changes.
	watchIdleTimeout = 2500 * time.Millisecond
)

// localAgentTiming returns the timing for a discovery agent on this machine, which responds at
// once. A lost watch has to be replaced within the drain grace (0: the default). Therefore the
// response timeout is half of the drain grace, and the maximum backoff is a fifth of it.
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

// sharedServiceTiming is the timing for a discovery service of limited capacity that is shared by
// all instances and serves one call at a time.
var sharedServiceTiming = watchTiming{
	// The service queues a call for up to 2 s. A call that is canceled before that is served
	// nevertheless, and has to be repeated.
	responseTimeout: 2500 * time.Millisecond,
	idleTimeout:     watchIdleTimeout,
	minBackoff:      firstBackoff,
	// The maximum limits the rate of calls while they fail. If calls arrive faster than they are
	// served, the service rejects most of them, and hardly any instance is served.
	maxBackoff: 1600 * time.Millisecond,
	// A watch that ends right after its start must not reset the backoff, because all instances would
	// call again at once.
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

// nextDelay returns the time to wait before the next watch, and doubles the backoff, up to its
// maximum. The jitter is plus or minus half of the backoff: all instances lose their watches at the
// same time, and must not reopen them at the same time.
func (b *backoff) nextDelay() time.Duration {
	delay := time.Duration(float64(b.next) * (0.5 + rand.Float64()))
	b.next = min(2*b.next, b.max)
	return delay
}

func (b *backoff) reset() { b.next = b.min }
