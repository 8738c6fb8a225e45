package httpserver

import (
	"net/http"
	"time"
)

const (
	newConnTimeout    = 2 * time.Second // for the first byte on a new connection, while draining
	drainPollInterval = 10 * time.Millisecond

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

// Drain closes the listener and all idle connections, and returns once all connections have ended,
// each with its last request answered.
//
// A connection that has been active within keepAlive is kept for its next request, whose response
// closes it: no request can cross that close. This ends after drainKeepAliveFactor times keepAlive,
// when idle connections are closed at once. After deadline, unless it is zero, all connections are
// closed whatever they are doing.
func (l *Listener) Drain(keepAlive time.Duration, deadline time.Time) error {
	err := l.Close()
	start := time.Now()
	for {
		if time.Since(start) > drainKeepAliveFactor*keepAlive {
			keepAlive = 0
		}
		if !deadline.IsZero() && time.Now().After(deadline) {
			l.Abort()
		}
		if l.closeIdle(keepAlive) == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	if l.rejector != nil {
		l.rejector.wait()
	}
	return err
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
