package httpserver

import (
	"net/http"
	"time"
)

const (
	newConnTimeout    = 2 * time.Second // for the first byte on a new connection, while draining
	drainPollInterval = 10 * time.Millisecond

	// acceptAfterCloses is for how long connections are accepted once Drain has begun to close idle
	// ones: a client whose request crosses such a close sends it once more on a new connection.
	acceptAfterCloses = 150 * time.Millisecond
	// maxAcceptAfterCloses is for how long they are where more keep coming.
	maxAcceptAfterCloses = 3 * acceptAfterCloses
	// emptyQueueAfter is how long an accept must have waited to show that no connection is queued.
	emptyQueueAfter = 20 * time.Millisecond
	// lastAcceptMargin is how long before its deadline Drain ends accepting.
	lastAcceptMargin = 50 * time.Millisecond

	// drainKeepAliveFactor bounds how long connections are kept for another request while draining:
	// this many times as long as they may be idle.
	drainKeepAliveFactor = 3
)

// Close closes the listener. Open connections stay.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Abort closes all connections, whatever they are doing.
func (l *Listener) Abort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Close()
	}
}

// Drain closes all idle connections and then the listener, and returns once all connections have
// ended, each with its last request answered. What the kernel has accepted is taken: unless the
// listener is paused, it is closed only once no connection waits in its queue for a place.
//
// A connection that has been active within keepAlive is kept for its next request, whose response
// closes it: no request can cross that close. This ends after drainKeepAliveFactor times keepAlive,
// when idle connections are closed at once. After deadline, unless it is zero, all connections are
// closed whatever they are doing.
func (l *Listener) Drain(keepAlive time.Duration, deadline time.Time) error {
	var err error
	start := time.Now()
	for listening := true; ; {
		if time.Since(start) > drainKeepAliveFactor*keepAlive {
			keepAlive = 0
		}
		if !deadline.IsZero() && time.Now().After(deadline) {
			l.Abort()
		}
		open := l.closeIdle(keepAlive)
		if listening && l.mayStopAccepting(start, deadline) {
			listening = false
			err = l.Close()
			continue // a connection may have been accepted since the look at those that are open
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
	switch {
	case l.resumed != nil: // paused: another process accepts
		return true
	case !deadline.IsZero() && now.After(deadline.Add(-lastAcceptMargin)):
		return true
	}
	if l.slots != nil && len(l.slots) == cap(l.slots) && l.acceptingSince.IsZero() {
		return false // there is no place for a connection that may be queued
	}
	if now.Sub(start) >= maxAcceptAfterCloses { // clients that go on connecting must not hold up the end
		return true
	}
	queueIsEmpty := !l.acceptingSince.IsZero() && now.Sub(l.acceptingSince) >= emptyQueueAfter
	return queueIsEmpty && now.Sub(start) >= acceptAfterCloses
}

// closeIdle closes the connections that have been idle for at least minIdle, and those that have
// been new for longer than newConnTimeout. It returns how many are open.
func (l *Listener) closeIdle(minIdle time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		idle := c.state == http.StateIdle && time.Since(c.since) >= minIdle
		silent := c.state == http.StateNew && time.Since(c.since) > newConnTimeout
		if c.awaitsRequest() && (idle || silent) {
			c.startClosing()
		}
	}
	return len(l.conns)
}
