package proxy

import (
	"context"
	"io"
	"sync"
	"time"

	"rowancart/balancer"
)

// AttemptControl ends an attempt from outside: at its deadline, or when it is called off.
type AttemptControl struct {
	Deadline         time.Time
	OnRequestWritten func()      // is told when a long request has been written whole; nil: nobody asks
	ClientGone       func() bool // tells whether the caller has left; nil: nobody knows

	mu             sync.Mutex
	canceledFlag   bool      // off
	requestWritten bool      // the request is written: it may run from now on
	inProgress     io.Closer // what is under way: a wait, or an exchange on a connection
}

// Cancel calls the attempt off. What is under way ends at once.
func (a *AttemptControl) Cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelLocked()
}

// CancelUnlessWritten calls the attempt off if its request is not written whole: nobody waits for an answer any more, and what has not
// been asked for need not be, whether what runs may be called off or not.
func (a *AttemptControl) CancelUnlessWritten() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.requestWritten {
		a.cancelLocked()
	}
}

// cancelLocked ends what is under way. l.mu is held.
func (a *AttemptControl) cancelLocked() {
	a.canceledFlag = true
	if a.inProgress != nil {
		a.inProgress.Close()
	}
}

// markRequestWritten notes that the request is written whole.
func (a *AttemptControl) markRequestWritten() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requestWritten = true
}

// setInProgress says what is under way, nil for nothing any more, and tells whether the attempt goes on.
func (a *AttemptControl) setInProgress(c io.Closer) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inProgress = c
	return !a.canceledFlag
}

func (a *AttemptControl) isCanceled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.canceledFlag
}

// unlessCanceled is r, or Canceled if the attempt was called off.
func (a *AttemptControl) unlessCanceled(r balancer.Result) balancer.Result {
	if a.isCanceled() {
		return balancer.Canceled
	}
	return r
}

// cancelableWait is a wait for a connection to be made, or to have rested. To close it is to call it off.
type cancelableWait struct{ context.CancelFunc }

// Close implements io.Closer.
func (w cancelableWait) Close() error { w.CancelFunc(); return nil }
