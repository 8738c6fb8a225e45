package httpserver

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	newConnTimeout       = 2 * time.Second // a new connection may stay without a byte for this long at the end
	drainPollInterval    = 10 * time.Millisecond
	finalReadTimeout     = 20 * time.Millisecond // for what has come on a connection about to be closed
	drainKeepAliveFactor = 3                     // times as long as they may be idle, connections stay at the end
)

// Listener keeps the callers' connections and closes idle ones: the one idle for longest where there are too many,
// all of them at the end.
//
// It guards against closing a connection on which a request has just been read. A connection
// that is told to be idle may have its next request in the read that is going on: only that read may end it.
type Listener struct {
	net.Listener
	maxConns int

	rejector *connRejector // nil: what is accepted stays
	slots    chan struct{} // nil: any number; else one is taken for each connection that is open
	closed   chan struct{} // closed with the listener

	closeOnce sync.Once // closes ended

	mu       sync.Mutex
	conns    map[*trackedConn]bool
	rejected int           // connections turned away
	resumed  chan struct{} // closed when connections are taken again; nil: they are
}

// NewListener keeps the connections that a listener accepts, closing idle ones where there are more than most.
func NewListener(l net.Listener, most int) *Listener {
	return &Listener{Listener: l, maxConns: most, conns: map[*trackedConn]bool{}, closed: make(chan struct{})}
}

// NewWaitingListener is like NewConns, and accepts no more than so many at once: others wait in the kernel's queue, which costs no
// descriptor and loses nothing.
func NewWaitingListener(l net.Listener, most, places int) *Listener {
	c := NewListener(l, most)
	c.slots = make(chan struct{}, places)
	return c
}

// NewSheddingListener is like NewConns, and turns away at once, with 503, what comes when most are open and none is idle.
func NewSheddingListener(l net.Listener, most int) *Listener {
	c := NewListener(l, most)
	c.rejector = newConnRejector()
	return c
}

// Pause stops taking connections until Resume: they wait in the kernel's queue, from which another process may take them.
func (l *Listener) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resumed == nil {
		l.resumed = make(chan struct{})
		l.setAcceptDeadline(time.Unix(1, 0)) // the accept that waits ends
	}
}

// Resume takes connections again.
func (l *Listener) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resumed != nil {
		l.setAcceptDeadline(time.Time{})
		close(l.resumed)
		l.resumed = nil
	}
}

// setAcceptDeadline sets when the accept that waits ends. l.mu is held.
func (l *Listener) setAcceptDeadline(at time.Time) {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = d.SetDeadline(at) // of one that is closed the accept tells
	}
}

// waitWhilePaused waits while connections are not to be taken.
func (l *Listener) waitWhilePaused() error {
	l.mu.Lock()
	paused := l.resumed
	l.mu.Unlock()
	if paused == nil {
		return nil
	}
	select {
	case <-paused:
		return nil
	case <-l.closed:
		return net.ErrClosed
	}
}

// SetMaxConns sets how many connections there may be before idle ones are closed.
func (l *Listener) SetMaxConns(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConns = most
}

// Counts tells how many connections are open, and how many were turned away so far.
func (l *Listener) Counts() (open, shed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns), l.rejected
}

// trackedConn is a caller's connection. It knows whether anything was read since the last answer.
type trackedConn struct {
	net.Conn
	listener *Listener

	// all.mu guards these:
	unread  bool      // no byte has come since the last write
	idle    bool      // the front waits for the next request
	new     bool      // and it is the first
	since   time.Time // it is idle or new
	closing bool      // the next read ends the connection, if nothing came before
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		if l.slots != nil {
			select {
			case l.slots <- struct{}{}:
			case <-l.closed:
				return nil, net.ErrClosed
			}
		}
		nc, err := l.acceptUnpaused()
		if err != nil {
			if l.slots != nil {
				<-l.slots
			}
			return nil, err
		}
		if c := l.register(nc); c != nil {
			return c, nil
		}
		l.rejector.reject(nc)
	}
}

// acceptUnpaused takes a connection from the kernel's queue, once that is wanted.
func (l *Listener) acceptUnpaused() (net.Conn, error) {
	for {
		if err := l.waitWhilePaused(); err != nil {
			return nil, err
		}
		nc, err := l.Listener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nc, err
		}
	}
}

// register counts a connection in, or gives nil if there is no place for it.
func (l *Listener) register(nc net.Conn) *trackedConn {
	c := &trackedConn{Conn: nc, listener: l, unread: true, new: true, since: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	if !l.enforceMaxConns() && l.rejector != nil {
		delete(l.conns, c)
		l.rejected++
		return nil
	}
	return c
}

// setState follows a connection's state for http.Server.
func (l *Listener) setState(nc net.Conn, state http.ConnState) {
	c := nc.(*trackedConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive:
		c.idle, c.new = false, false
	case http.StateIdle:
		c.idle, c.since = true, time.Now()
		l.enforceMaxConns()
	case http.StateClosed:
		delete(l.conns, c)
		if l.slots != nil {
			<-l.slots
		}
	}
}

// enforceMaxConns retires the connection idle for longest if there are too many, and tells whether that was enough. l.mu is held.
func (l *Listener) enforceMaxConns() bool {
	if len(l.conns) <= l.maxConns {
		return true
	}
	var longest *trackedConn
	for c := range l.conns {
		if c.idle && c.unread && !c.closing && (longest == nil || c.since.Before(longest.since)) {
			longest = c
		}
	}
	if longest != nil {
		longest.startClosing()
	}
	return longest != nil
}

// startClosing makes the read that waits for a request end, unless bytes come first. all.mu is held.
func (c *trackedConn) startClosing() {
	c.closing = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

func (c *trackedConn) isClosing() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.closing
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isClosing() {
		// The runtime reports the deadline even if bytes have come: look once more, so that none go under.
		_ = c.Conn.SetReadDeadline(time.Now().Add(finalReadTimeout))
		n, err = c.Conn.Read(b)
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if n > 0 {
		c.unread = false
		if c.closing { // a request came first: it is served
			c.closing = false
			return n, c.Conn.SetReadDeadline(time.Time{})
		}
	}
	if c.closing && errors.Is(err, os.ErrDeadlineExceeded) {
		return n, io.EOF
	}
	return n, err
}

// SetReadDeadline implements net.Conn. The front sets one right after it has told that a connection is idle: that must
// not undo a retirement.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.closing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.listener.mu.Lock()
	c.unread = true // before the write: what comes in answer to it must count
	c.listener.mu.Unlock()
	return c.Conn.Write(b)
}

// Close ends the listener. Connections stay.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Abort closes all connections, whatever they are at.
func (l *Listener) Abort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Close()
	}
}

// Drain closes the listener, retires what is idle and returns when all connections have ended, each with its last
// request answered. Connections that were busy within the time given stay for their next request, but not for much longer
// than that: its answer closes them, which no request can cross. What is still open at the instant given is closed, whatever it
// is at; zero: it stays.
func (l *Listener) Drain(keepAlive time.Duration, deadline time.Time) error {
	err := l.Close()
	began := time.Now()
	for {
		if time.Since(began) > drainKeepAliveFactor*keepAlive {
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

// closeIdle retires all connections that have been idle for so long, and new ones that stay silent, and tells how many are open.
func (l *Listener) closeIdle(minIdle time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.unread && !c.closing && (c.idle && time.Since(c.since) >= minIdle || c.new && time.Since(c.since) > newConnTimeout) {
			c.startClosing()
		}
	}
	return len(l.conns)
}
