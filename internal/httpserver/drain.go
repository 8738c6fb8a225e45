package httpserver

import (
	"net/http"
	"time"
)

const (
	newConnTimeout    = 2 * time.Second // time for the first byte on a new connection while draining
	drainPollInterval = 10 * time.Millisecond

	// minDrainAccept is the minimum time for which connections are accepted after Drain has begun
	// to close idle ones. A client that sends a request just as its connection is closed retries it
	// on a new connection.
	minDrainAccept = 150 * time.Millisecond
	// maxDrainAccept is the time after which the listener is closed even if clients keep
	// connecting, unless all slots are in use.
	maxDrainAccept = 3 * minDrainAccept
	// emptyQueueAfter is how long an accept must have blocked to show that the kernel's queue is
	// empty.
	emptyQueueAfter = 20 * time.Millisecond
	// lastAcceptMargin is how long before its deadline Drain stops accepting.
	lastAcceptMargin = 50 * time.Millisecond

	// drainIdleFactor bounds how long a drain keeps connections open for another request: this many
	// times the maxIdle of Drain.
	drainIdleFactor = 3
)

// Close closes the listener. Open connections stay open.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Abort closes all connections, including those with a request in progress.
func (l *Listener) Abort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Close()
	}
}

// Drain closes all idle connections and then the listener. It returns once all connections have
// ended, each after the response to its last request.
//
// Connections in the kernel's queue are served too: the listener is closed once its queue is
// empty, but no later than lastAcceptMargin before deadline and, while slots are free, than
// maxDrainAccept after the start. A paused listener is closed at once.
//
// A connection that was active within maxIdle stays open for its next request. If
// Server.StartDraining has been called, the response to that request closes it, so the client
// cannot send a request just as its connection is closed. After drainIdleFactor times maxIdle,
// idle connections are closed at once. After deadline, unless it is zero, all connections are
// aborted.
func (l *Listener) Drain(maxIdle time.Duration, deadline time.Time) error {
	var err error
	start := time.Now()
	for listening := true; ; {
		if time.Since(start) > drainIdleFactor*maxIdle {
			maxIdle = 0
		}
		if !deadline.IsZero() && time.Now().After(deadline) {
			l.Abort()
		}
		open := l.closeIdle(maxIdle)
		if listening && l.mayStopAccepting(start, deadline) {
			listening = false
			err = l.Close()
			continue // a connection may have been accepted since the open ones were counted
		}
		if !listening && open == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	if l.rejector != nil {
		l.rejector.wait()
	}
	return err
}

// mayStopAccepting reports whether a drain that began at start may close the listener.
func (l *Listener) mayStopAccepting(start, deadline time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.waitsForSlot() {
		l.slotsUsedAt = now
	}
	elapsed := now.Sub(later(start, l.slotsUsedAt)) // the accept loop needs time after a slot has become free
	switch {
	case l.isPaused(): // another process accepts the connections
		return true
	case !deadline.IsZero() && now.After(deadline.Add(-lastAcceptMargin)):
		return true
	case l.waitsForSlot(): // connections may be waiting in the kernel's queue
		return false
	case elapsed >= maxDrainAccept: // clients that keep connecting must not delay the drain
		return true
	}
	return elapsed >= minDrainAccept && l.isQueueEmpty(now)
}

// isPaused reports whether the listener is paused. The caller must hold l.mu.
func (l *Listener) isPaused() bool { return l.resumed != nil }

// waitsForSlot reports whether Accept is blocked because all slots are in use. The caller must
// hold l.mu.
func (l *Listener) waitsForSlot() bool {
	return l.slots != nil && len(l.slots) == cap(l.slots) && l.acceptingSince.IsZero()
}

// isQueueEmpty reports whether an accept has blocked for so long that no connection can be in the
// kernel's queue. The caller must hold l.mu.
func (l *Listener) isQueueEmpty(now time.Time) bool {
	return !l.acceptingSince.IsZero() && now.Sub(l.acceptingSince) >= emptyQueueAfter
}

// closeIdle closes the connections that have been idle for at least minIdle, and new connections
// that have sent nothing for longer than newConnTimeout. It returns how many connections are open.
func (l *Listener) closeIdle(minIdle time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		idle := c.state == http.StateIdle && time.Since(c.since) >= minIdle
		silent := c.silent && time.Since(c.since) > newConnTimeout
		if c.awaitsRequest() && (idle || silent) {
			c.startClosing()
		}
	}
	return len(l.conns)
}
