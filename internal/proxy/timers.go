package proxy

import (
	"slices"
	"time"
)

// farFuture is what the timer is set to while the Balancer has asked for nothing.
const farFuture = time.Hour

// The Balancer asks for instants; one time.Timer serves them all. It is set to the earliest one
// known, or earlier, and calls fireDueTimers as an event like any other.

// requestTimer notes an instant at which the Balancer wants a Timer event. p.mu must be held.
func (p *Pool) requestTimer(at time.Duration) {
	i, _ := slices.BinarySearch(p.timerInstants, at)
	p.timerInstants = slices.Insert(p.timerInstants, i, at)
}

// resetTimer sets the timer to the earliest instant asked for, unless it fires before anyway. p.mu
// must be held.
func (p *Pool) resetTimer(now time.Duration) {
	if len(p.timerInstants) > 0 && (p.timerInstants[0] < p.timerDeadline || p.timerDeadline <= now) {
		p.timerDeadline = p.timerInstants[0]
		p.timer.Reset(p.timerDeadline - now)
	}
}

// fireDueTimers reports the instants that have come. One that is asked for meanwhile waits for the
// next event, so that timers can't keep other events out. p.mu must be held.
func (p *Pool) fireDueTimers(now time.Duration) {
	due, _ := slices.BinarySearch(p.timerInstants, now+1)
	p.timerInstants = slices.Delete(p.timerInstants, 0, due)
	for range due {
		p.events.Timer(now)
	}
}
