package testbed

import (
	"sync"
	"time"

	"rowancart/internal/platform"
)

// notice is a change of a tier's endpoint list that discovery has not yet published.
type notice struct {
	tier  int
	entry platform.Endpoint
}

// discoveryFaults are the faults of discovery in force. It is safe for concurrent use.
type discoveryFaults struct {
	mu       sync.Mutex
	silent   bool          // nothing is published
	delay    time.Duration // of what is published, beyond the site's
	withheld []notice      // while discovery is silent, in order
}

// intercept withholds a notice while discovery is silent. Otherwise it returns the additional delay
// with which the notice is to be published.
func (f *discoveryFaults) intercept(n notice) (delay time.Duration, withheld bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent {
		f.withheld = append(f.withheld, n)
		return 0, true
	}
	return f.delay, false
}

// setDelay sets the additional delay.
func (f *discoveryFaults) setDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

// silence begins a time in which nothing is published.
func (f *discoveryFaults) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = true
}

// resume ends the time in which nothing is published. It returns what was withheld, which is to be
// published now.
func (f *discoveryFaults) resume() []notice {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = false
	released := f.withheld
	f.withheld = nil
	return released
}
