package connpool

import (
	"context"
	"io"
	"sync"
	"time"
)

// Attempt is the control of one attempt: its deadline, its callbacks and its cancellation. The
// caller of RoundTrip sets the exported fields before and may cancel the attempt from any goroutine
// at any time.
//
// An attempt is canceled once and for good. Whatever is in progress then (a dial, the wait for a
// quarantine, an exchange) is closed under mu, and whatever would follow is prevented by
// setInProgress under mu. So there is no moment at which a cancellation finds nothing to close and
// the attempt continues.
type Attempt struct {
	Deadline           time.Time
	WriteBy            time.Time   // by when the request must have been written completely; zero: by Deadline
	OnRequestWritten   func()      // called when a request with an Upload has been written completely; may be nil
	ClientDisconnected func() bool // reports whether the client has disconnected; nil: unknown. It must not block

	mu             sync.Mutex // held for the transitions below and for Close, which doesn't block
	canceled       bool
	requestWritten bool      // the request has been written completely: from now on it may run
	inProgress     io.Closer // nil: nothing that could be canceled
}

// Cancel cancels the attempt. What is in progress ends at once.
func (a *Attempt) Cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelLocked()
}

// CancelUnlessWritten cancels the attempt if its request has not been written completely. Nobody
// waits for the response any more, and a request that the endpoint has not received may be
// abandoned whether or not running requests may be canceled.
func (a *Attempt) CancelUnlessWritten() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.requestWritten {
		a.cancelLocked()
	}
}

// cancelLocked ends what is in progress. mu must be held.
func (a *Attempt) cancelLocked() {
	a.canceled = true
	if a.inProgress != nil {
		a.inProgress.Close()
	}
}

// markRequestWritten notes that the request has been written completely.
func (a *Attempt) markRequestWritten() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requestWritten = true
}

// setInProgress sets what a cancellation closes, or nil, and reports whether the attempt continues.
// If it returns false the attempt was canceled before, and c has not been closed.
func (a *Attempt) setInProgress(c io.Closer) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inProgress = c
	return !a.canceled
}

func (a *Attempt) isCanceled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.canceled
}

// clientDisconnected reports whether the client is known to have disconnected.
func (a *Attempt) clientDisconnected() bool {
	return a.ClientDisconnected != nil && a.ClientDisconnected()
}

// limitWrites makes writes to the connection fail from WriteBy on. It returns
// errRetryDeadlinePassed if WriteBy has passed.
func (a *Attempt) limitWrites(c *conn) error {
	if a.WriteBy.IsZero() {
		return nil
	}
	if time.Now().After(a.WriteBy) || c.SetWriteDeadline(a.WriteBy) != nil {
		return errRetryDeadlinePassed
	}
	return nil
}

// failure returns the error of an attempt that failed in this way, or of a canceled one: the
// failure of an exchange whose connection was closed by a cancellation says nothing about the
// endpoint.
func (a *Attempt) failure(kind FailureKind, cause error) error {
	if a.isCanceled() {
		kind = Canceled
	}
	return &Error{Kind: kind, Err: cause}
}

// cancelableWait is a wait that ends with its context. Its Close ends it.
type cancelableWait struct{ context.CancelFunc }

// Close implements io.Closer.
func (w cancelableWait) Close() error {
	w.CancelFunc()
	return nil
}
