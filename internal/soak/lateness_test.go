package soak

import (
	"sync"
	"time"
)

// timingAllowance is by how much a measured time may be late because of the machine, even if no
// timer was measured to be late.
const timingAllowance = 100 * time.Millisecond

// timerLateness measures how late this process's own timers fire. The times that the process
// records may be late by the same amount.
type timerLateness struct {
	mu   sync.Mutex
	late []lateTimer // timers that fired late, in order of time
}

type lateTimer struct {
	at time.Time     // when the timer fired
	by time.Duration // how late it fired
}

// measure records each timer that fires late by more than its interval, until stop is closed.
func (l *timerLateness) measure(stop <-chan struct{}) {
	const interval = 5 * time.Millisecond
	for {
		began := time.Now()
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		if by := time.Since(began) - interval; by > interval {
			l.mu.Lock()
			l.late = append(l.late, lateTimer{time.Now(), by})
			l.mu.Unlock()
		}
	}
}

// allowance returns by how much times that were recorded between since and now may be late.
func (l *timerLateness) allowance(since time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	allowance := timingAllowance
	for i := len(l.late) - 1; i >= 0 && l.late[i].at.After(since.Add(-timingAllowance)); i-- {
		allowance += l.late[i].by
	}
	return allowance
}
