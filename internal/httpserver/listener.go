package httpserver

import (
	"cmp"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// While at most 1 / closingDivisor of the connections, or minClosing, are closing to make room for
// others, new ones are accepted beyond the limit.
const (
	closingDivisor = 4
	minClosing     = 8
)

// Listener accepts client connections and limits their number. Beyond the limit, it closes
// connections that are silent or idle. Drain closes all connections as they become idle.
//
// It never closes a connection on which a request has just been read. The server may be about to
// read the next request on a connection that is still marked idle. The listener therefore only
// interrupts that read, and the connection ends if the read has returned no data: see trackedConn.
type Listener struct {
	net.Listener

	rejector  *connRejector // rejects connections beyond maxConns; nil: they are served
	slots     chan struct{} // holds a value for each open connection and the accept in progress; nil: no limit
	closed    chan struct{} // closed with the listener
	closeOnce sync.Once     // closes closed

	mu             sync.Mutex // guards the fields below, and the state of each connection
	maxConns       int
	conns          map[*trackedConn]bool
	rejected       int           // total number of rejected connections
	resumed        chan struct{} // closed by Resume; nil while the listener is not paused
	acceptingSince time.Time     // when the accept in progress began; zero: no accept is in progress
	slotsUsedAt    time.Time     // when a drain last saw that Accept was waiting for a slot; zero: never
}

// NewListener returns a Listener that closes connections while there are more than maxConns.
func NewListener(l net.Listener, maxConns int) *Listener {
	return &Listener{Listener: l, maxConns: maxConns, conns: map[*trackedConn]bool{}, closed: make(chan struct{})}
}

// NewWaitingListener returns a Listener like that of NewListener which has no more than slots
// connections open at once. Further connections wait in the kernel's queue, where they need no
// file descriptor and are not lost.
func NewWaitingListener(l net.Listener, maxConns, slots int) *Listener {
	waiting := NewListener(l, maxConns)
	waiting.slots = make(chan struct{}, slots)
	return waiting
}

// NewSheddingListener returns a Listener like that of NewListener which rejects a new connection
// at once, with 503, if maxConns are open and none of them can be closed.
func NewSheddingListener(l net.Listener, maxConns int) *Listener {
	shedding := NewListener(l, maxConns)
	shedding.rejector = newConnRejector()
	return shedding
}

// SetMaxConns sets how many connections may be open before idle ones are closed.
func (l *Listener) SetMaxConns(maxConns int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConns = maxConns
}

// Counts returns how many connections are open, and how many have been rejected.
func (l *Listener) Counts() (open, rejected int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns), l.rejected
}

// Pause stops accepting connections until Resume. They wait in the kernel's queue, from which
// another process may accept them.
func (l *Listener) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isPaused() {
		l.resumed = make(chan struct{})
		l.setAcceptDeadline(time.Unix(1, 0)) // ends the accept in progress
	}
}

// Resume accepts connections again.
func (l *Listener) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isPaused() {
		l.setAcceptDeadline(time.Time{})
		close(l.resumed)
		l.resumed = nil
	}
}

// setAcceptDeadline sets the time at which the accept in progress is interrupted. The caller must
// hold l.mu.
func (l *Listener) setAcceptDeadline(deadline time.Time) {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = d.SetDeadline(deadline) // fails if the listener is closed; the next accept then fails too
	}
}

// waitWhilePaused returns once the listener is not paused, or net.ErrClosed once it is closed.
func (l *Listener) waitWhilePaused() error {
	l.mu.Lock()
	resumed := l.resumed
	l.mu.Unlock()
	if resumed == nil {
		return nil
	}
	select {
	case <-resumed:
		return nil
	case <-l.closed:
		return net.ErrClosed
	}
}

// Accept implements net.Listener. The connections that it returns are of type *trackedConn.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		if err := l.acquireSlot(); err != nil {
			return nil, err
		}
		nc, err := l.acceptUnpaused()
		if err != nil {
			l.releaseSlot()
			return nil, err
		}
		if c := l.register(nc); c != nil {
			return c, nil
		}
		l.rejector.reject(nc)
	}
}

// acquireSlot waits for a slot. It returns net.ErrClosed if the listener is closed meanwhile.
func (l *Listener) acquireSlot() error {
	if l.slots == nil {
		return nil
	}
	select {
	case l.slots <- struct{}{}:
		return nil
	case <-l.closed:
		return net.ErrClosed
	}
}

// releaseSlot releases a connection's slot.
func (l *Listener) releaseSlot() {
	if l.slots != nil {
		<-l.slots
	}
}

// acceptUnpaused accepts a connection while the listener is not paused.
func (l *Listener) acceptUnpaused() (net.Conn, error) {
	for {
		if err := l.waitWhilePaused(); err != nil {
			return nil, err
		}
		l.setAccepting(time.Now())
		nc, err := l.Listener.Accept()
		l.setAccepting(time.Time{})
		if !errors.Is(err, os.ErrDeadlineExceeded) { // Pause causes this error, and accepting is then retried
			return nc, err
		}
	}
}

// setAccepting records when the accept in progress began. Zero means that no accept is in
// progress.
func (l *Listener) setAccepting(since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acceptingSince = since
}

// register adds a connection to the open ones. It returns nil if the connection must be rejected.
func (l *Listener) register(nc net.Conn) *trackedConn {
	c := &trackedConn{Conn: nc, listener: l, state: http.StateNew, silent: true, since: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	if !l.enforceMaxConns(c) && l.rejector != nil {
		delete(l.conns, c)
		l.rejected++
		return nil
	}
	return c
}

// setState records that a connection is active, idle or closed. A closed connection is removed.
func (l *Listener) setState(c *trackedConn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.state = state
	switch state {
	case http.StateIdle:
		c.since = time.Now()
		l.enforceMaxConns(nil)
	case http.StateClosed:
		delete(l.conns, c)
		l.releaseSlot()
	}
}

// enforceMaxConns closes a connection if more than maxConns are open and not closing yet. It
// returns false if none of them can be closed, or too many are closing already. accepted is the
// connection for which room is made, or nil. The caller must hold l.mu.
func (l *Listener) enforceMaxConns(accepted *trackedConn) bool {
	if len(l.conns) <= l.maxConns {
		return true
	}
	candidates := l.connsToClose(accepted)
	if len(l.conns)-candidates.closing <= l.maxConns {
		return candidates.closing <= max(l.maxConns/closingDivisor, minClosing)
	}
	victim := cmp.Or(candidates.silent, candidates.idle)
	if victim == nil {
		return false
	}
	victim.startClosing()
	return true
}

// closeCandidates are the connections of which one is closed to make room for another.
type closeCandidates struct {
	silent  *trackedConn // silent for longest since it was accepted; nil: none is
	idle    *trackedConn // idle for longest, which is closed if none is silent; nil: none is
	closing int          // number of connections that are closing already
}

// connsToClose returns the candidates. A client that has begun to send a request keeps its
// connection, and so does accepted. The caller must hold l.mu.
func (l *Listener) connsToClose(accepted *trackedConn) (found closeCandidates) {
	for c := range l.conns {
		switch {
		case c.closing:
			found.closing++
		case c == accepted:
		case c.silent:
			found.silent = olderConn(found.silent, c)
		case c.state == http.StateIdle && c.awaitsRequest():
			found.idle = olderConn(found.idle, c)
		}
	}
	return found
}

// olderConn returns the connection that has been in its state for longer; c may be nil.
func olderConn(c, d *trackedConn) *trackedConn {
	if c == nil || d.since.Before(c.since) {
		return d
	}
	return c
}
