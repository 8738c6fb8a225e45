package sidecar

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// firstListTimeout is how long a start waits for discovery's first endpoint list. After that it
// uses the list of the configuration.
const firstListTimeout = 2 * time.Second

// Reasons why a sidecar is not ready. The texts are on the wire of the admin interface.
var (
	errNoList       = errors.New("discovery has not told its list yet")
	errNotAccepting = errors.New("connections are not taken yet")
)

// readiness is whether requests can be served: the endpoint list has been received or its deadline
// is over, and connections are accepted.
type readiness struct {
	listReceived chan struct{} // closed once the list has been received
	closeOnce    sync.Once
	listDeadline time.Time // after which no list is waited for
	accepting    atomic.Bool
}

// newReadiness returns the readiness of a sidecar that starts now.
func newReadiness() *readiness {
	return &readiness{listReceived: make(chan struct{}), listDeadline: time.Now().Add(firstListTimeout)}
}

// markListReceived notes that discovery's list is up to date. It may be called any number of times.
func (r *readiness) markListReceived() { r.closeOnce.Do(func() { close(r.listReceived) }) }

// waitForList returns once the list has been received or its deadline is over, or when stop is
// closed.
func (r *readiness) waitForList(stop <-chan struct{}) {
	timeout := time.NewTimer(time.Until(r.listDeadline))
	defer timeout.Stop()
	select {
	case <-r.listReceived:
	case <-timeout.C:
	case <-stop:
	}
}

// listSettled reports whether the list has been received or its deadline is over.
func (r *readiness) listSettled() bool {
	select {
	case <-r.listReceived:
		return true
	default:
		return time.Now().After(r.listDeadline)
	}
}

// check returns nil once requests can be served, and until then the reason why they can't.
func (r *readiness) check() error {
	switch {
	case !r.listSettled():
		return errNoList
	case !r.accepting.Load():
		return errNotAccepting
	}
	return nil
}
