package sidecar

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// firstListTimeout bounds how long a starting process waits for the first endpoint list from
// discovery. After that it uses the list in the configuration.
const firstListTimeout = 2 * time.Second

// Reasons why a sidecar is not ready. The texts are part of the admin protocol and must not change.
var (
	errNoList       = errors.New("discovery has not told its list yet")
	errNotAccepting = errors.New("connections are not taken yet")
)

// readiness records whether requests can be served: the endpoint list has been received or
// listDeadline has passed, and connections are accepted.
type readiness struct {
	listReceived chan struct{} // closed once the endpoint list has been received
	closeOnce    sync.Once
	listDeadline time.Time // after which nothing waits for the endpoint list
	accepting    atomic.Bool
}

// newReadiness returns the readiness of a starting sidecar, with listDeadline firstListTimeout from
// now.
func newReadiness() *readiness {
	return &readiness{listReceived: make(chan struct{}), listDeadline: time.Now().Add(firstListTimeout)}
}

// markListReceived records that the endpoint list from discovery is up to date. It may be called
// more than once.
func (r *readiness) markListReceived() { r.closeOnce.Do(func() { close(r.listReceived) }) }

// waitForList returns when the list has been received, listDeadline has passed or stop is closed.
func (r *readiness) waitForList(stop <-chan struct{}) {
	timeout := time.NewTimer(time.Until(r.listDeadline))
	defer timeout.Stop()
	select {
	case <-r.listReceived:
	case <-timeout.C:
	case <-stop:
	}
}

// listSettled reports whether the list has been received or listDeadline has passed.
func (r *readiness) listSettled() bool {
	select {
	case <-r.listReceived:
		return true
	default:
		return time.Now().After(r.listDeadline)
	}
}

// check returns nil if requests can be served, and otherwise the reason why they can't.
func (r *readiness) check() error {
	switch {
	case !r.listSettled():
		return errNoList
	case !r.accepting.Load():
		return errNotAccepting
	}
	return nil
}
