package testbed

import (
	"sync"
	"time"

	"rowancart/internal/platform"
)

// endpointUpdate is a change to a tier's endpoint list that discovery has not yet published.
type endpointUpdate struct {
	tier     int
	endpoint platform.Endpoint
}

// discoveryFaults holds the discovery faults that are currently active. It is safe for concurrent
// use.
type discoveryFaults struct {
	mu       sync.Mutex
	silent   bool             // no updates are published
	delay    time.Duration    // of each update, in addition to the site's delay
	withheld []endpointUpdate // updates made while discovery is silent, in their order
}

// intercept stores an update and reports withheld while discovery is silent. Otherwise it returns
// the additional delay after which the caller must publish the update.
func (f *discoveryFaults) intercept(u endpointUpdate) (delay time.Duration, withheld bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent {
		f.withheld = append(f.withheld, u)
		return 0, true
	}
	return f.delay, false
}

// setDelay sets the additional delay of each update.
func (f *discoveryFaults) setDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

// silence starts a period in which no updates are published.
func (f *discoveryFaults) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = true
}

// resume ends the period in which no updates are published. It returns the withheld updates, which
// the caller must publish now.
func (f *discoveryFaults) resume() []endpointUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = false
	released := f.withheld
	f.withheld = nil
	return released
}
