package proxy

import (
	"slices"
	"time"
)

// idleTimerInterval is the initial setting of the timer, before the Balancer has requested an
// instant.
const idleTimerInterval = time.Hour

// eventTimer uses a single time.Timer for all instants at which the Balancer has requested a Timer
// event. The timer is set to the earliest of these instants or to an earlier time: it may fire too
// early, but never too late.
//
// It is guarded by Pool.mu.
type eventTimer struct {
	timer    *time.Timer
	deadline time.Duration   // the instant that timer is set to
	instants []time.Duration // requested by the Balancer and not yet removed by takeDue, sorted
}

// newEventTimer returns a running eventTimer. It calls fire in a separate goroutine.
func newEventTimer(now time.Duration, fire func()) eventTimer {
	return eventTimer{timer: time.AfterFunc(idleTimerInterval, fire), deadline: now + idleTimerInterval}
}

// request adds an instant at which the Balancer wants a Timer event.
func (t *eventTimer) request(at time.Duration) {
	i, _ := slices.BinarySearch(t.instants, at)
	t.instants = slices.Insert(t.instants, i, at)
}

// takeDue removes all instants up to and including now, and returns how many it removed.
func (t *eventTimer) takeDue(now time.Duration) int {
	due, _ := slices.BinarySearch(t.instants, now+1)
	t.instants = slices.Delete(t.instants, 0, due)
	return due
}

// reset sets the timer to the earliest requested instant, unless it is already set to an earlier
// time that is still in the future.
func (t *eventTimer) reset(now time.Duration) {
	if len(t.instants) == 0 {
		return
	}
	earliest := t.instants[0]
	hasFired := t.deadline <= now
	if earliest < t.deadline || hasFired {
		t.deadline = earliest
		t.timer.Reset(earliest - now)
	}
}

// stop stops the timer permanently.
func (t *eventTimer) stop() { t.timer.Stop() }
