package proxy

import (
	"slices"
	"time"
)

// idleTimerInterval is what the timer is set to while the Balancer has requested no instant.
const idleTimerInterval = time.Hour

// eventTimer serves all instants at which the Balancer wants a Timer event with one time.Timer. The
// timer is set to the earliest instant or to an earlier one, so that it fires too early at worst.
//
// Pool.mu guards it.
type eventTimer struct {
	timer    *time.Timer
	deadline time.Duration   // the instant that timer is set to
	instants []time.Duration // requested by the Balancer and not yet taken, sorted
}

// newEventTimer returns a running eventTimer that calls fire in a goroutine of its own.
func newEventTimer(now time.Duration, fire func()) eventTimer {
	return eventTimer{timer: time.AfterFunc(idleTimerInterval, fire), deadline: now + idleTimerInterval}
}

// request adds an instant.
func (t *eventTimer) request(at time.Duration) {
	i, _ := slices.BinarySearch(t.instants, at)
	t.instants = slices.Insert(t.instants, i, at)
}

// takeDue removes the instants up to now and returns how many there were.
func (t *eventTimer) takeDue(now time.Duration) int {
	due, _ := slices.BinarySearch(t.instants, now+1)
	t.instants = slices.Delete(t.instants, 0, due)
	return due
}

// reset sets the timer to the earliest instant, unless it is set to an earlier one that is still to
// come.
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

// stop stops the timer for good.
func (t *eventTimer) stop() { t.timer.Stop() }
