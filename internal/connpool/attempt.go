package connpool

import (
	"context"
	"io"
	"sync"
	"time"
)

// Attempt controls one attempt: it holds the deadline, the callbacks and the cancellation state.
// The caller of RoundTrip sets the exported fields before the call, and may cancel the attempt from
// any goroutine at any time.
//
// A cancellation is final. It closes what is in progress (a dial, the wait for the end of a
// quarantine, or an exchange), and from then on setInProgress reports that the attempt must not
// begin another step. Both happen under mu, so a cancellation between two steps is not lost.
type Attempt struct {
	Deadline           time.Time
	WriteBy            time.Time   // deadline for writing the complete request; zero: Deadline applies
	OnRequestWritten   func()      // called when a request with a long body has been written completely; may be nil
	ClientDisconnected func() bool // reports whether the client has disconnected; must not block. nil: unknown

	request  *Request // set by RoundTrip
	progress Progress // of the goroutine in RoundTrip

	mu             sync.Mutex // guards the fields below; held while inProgress is closed, which doesn't block
	canceled       bool
	latestEnd      time.Time // see CapDeadline; zero: none
	requestWritten bool      // the request has been written completely: from now on it may run
	inProgress     io.Closer // closed by a cancellation; nil: nothing is in progress that could be canceled
}

// Phase is what an attempt was doing when it ended.
type Phase string

// The phases, in their order. Their values appear in logs.
const (
	Connecting     Phase = "connecting"      // waiting for a connection
	WritingHead    Phase = "writing_head"    // writing the head, with a short body if there is one
	WritingParts   Phase = "writing_parts"   // writing the part of a long body that is in memory
	WritingRest    Phase = "writing_rest"    // reading the rest of a long body from the client, and writing it
	AwaitsResponse Phase = "awaits_response" // the request has been written completely
)

// Progress says how far an attempt has come.
type Progress struct {
	Phase   Phase
	Written int64 // bytes of the request that the kernel has accepted on the attempt's last connection
}

// Progress returns how far the attempt has come. It must not be called before RoundTrip returns.
func (a *Attempt) Progress() Progress { return a.progress }

// Cancel cancels the attempt. What is in progress ends at once.
func (a *Attempt) Cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelLocked()
}

// CancelUnlessWritten cancels the attempt if its request has not been written completely. It is
// called when nobody waits for the response any more. A request that the endpoint has not received
// completely may be abandoned, even if requests that are running must not be canceled.
func (a *Attempt) CancelUnlessWritten() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.requestWritten {
		a.cancelLocked()
	}
}

// cancelLocked cancels the attempt and closes what is in progress. mu must be held.
func (a *Attempt) cancelLocked() {
	a.canceled = true
	if a.inProgress != nil {
		a.inProgress.Close()
	}
}

// CapDeadline limits the time that the attempt may take to write a long request. It may be called
// at any time.
func (a *Attempt) CapDeadline(latest time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.latestEnd = latest
}

// cap returns a time, or the one given to CapDeadline if that is earlier.
func (a *Attempt) cap(end time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.latestEnd.IsZero() {
		return end
	}
	return earlier(end, a.latestEnd)
}

// markRequestWritten records that the request has been written completely.
func (a *Attempt) markRequestWritten() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requestWritten = true
}

// setInProgress sets what a cancellation closes, nil for nothing, and reports whether the attempt
// may continue. If it returns false, the attempt has been canceled already and c was not closed.
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

// limitWrites sets the connection's write deadline to WriteBy, if there is one. It returns
// errRetryDeadlinePassed if WriteBy has passed or the connection is closed.
func (a *Attempt) limitWrites(c *conn) error {
	if a.WriteBy.IsZero() {
		return nil
	}
	if time.Now().After(a.WriteBy) || c.SetWriteDeadline(a.WriteBy) != nil {
		return errRetryDeadlinePassed
	}
	return nil
}

// failure returns the *Error of an attempt that failed. If the attempt was canceled, the kind is
// Canceled instead of the one given: the failure of an exchange whose connection was closed by a
// cancellation says nothing about the endpoint.
func (a *Attempt) failure(kind FailureKind, cause error) error {
	if a.isCanceled() {
		kind = Canceled
	}
	return &Error{Kind: kind, Err: cause}
}

// cancelCloser adapts a context's cancel function to io.Closer, so that a cancellation of the
// attempt can end a dial or a wait (see setInProgress).
type cancelCloser struct{ context.CancelFunc }

// Close cancels the context.
func (c cancelCloser) Close() error {
	c.CancelFunc()
	return nil
}
