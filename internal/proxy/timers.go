package proxy

import (
	"slices"
	"time"
)

// fireDueTimers reports the timers that are due. One asked for meanwhile waits for the next turn, so that timers can't keep
// other events out.
func (p *Pool) fireDueTimers(now time.Duration) {
	due, _ := slices.BinarySearch(p.timerInstants, now+1)
	p.timerInstants = slices.Delete(p.timerInstants, 0, due)
	for range due {
		p.events.Timer(now)
	}
}

// Timer implements balancer.Host.
func (h host) Timer(at time.Duration) {
	i, _ := slices.BinarySearch(h.timerInstants, at)
	h.timerInstants = slices.Insert(h.timerInstants, i, at)
}
