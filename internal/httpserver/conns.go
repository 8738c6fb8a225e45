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
	silentFor  = 2 * time.Second // a new connection may stay without a byte for this long at the end
	lookAround = 10 * time.Millisecond
	lastLook   = 20 * time.Millisecond // for what has come on a connection about to be closed
	linger     = 3                     // times as long as they may be idle, connections stay at the end
)

// Listener keeps the callers' connections and closes idle ones: the one idle for longest where there are too many,
// all of them at the end.
//
// It guards against closing a connection on which a request has just been read. A connection
// that is told to be idle may have its next request in the read that is going on: only that read may end it.
type Listener struct {
	net.Listener
	most int

	shedder *shedder      // nil: what is accepted stays
	places  chan struct{} // nil: any number; else one is taken for each connection that is open
	ended   chan struct{} // closed with the listener

	end sync.Once // closes ended

	mu     sync.Mutex
	open   map[*callerConn]bool
	shed   int           // connections turned away
	paused chan struct{} // closed when connections are taken again; nil: they are
}

// NewListener keeps the connections that a listener accepts, closing idle ones where there are more than most.
func NewListener(l net.Listener, most int) *Listener {
	return &Listener{Listener: l, most: most, open: map[*callerConn]bool{}, ended: make(chan struct{})}
}

// NewWaitingListener is like NewConns, and accepts no more than so many at once: others wait in the kernel's queue, which costs no
// descriptor and loses nothing.
func NewWaitingListener(l net.Listener, most, places int) *Listener {
	c := NewListener(l, most)
	c.places = make(chan struct{}, places)
	return c
}

// NewSheddingListener is like NewConns, and turns away at once, with 503, what comes when most are open and none is idle.
func NewSheddingListener(l net.Listener, most int) *Listener {
	c := NewListener(l, most)
	c.shedder = newShedder()
	return c
}

// Pause stops taking connections until Resume: they wait in the kernel's queue, from which another process may take them.
func (l *Listener) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused == nil {
		l.paused = make(chan struct{})
		l.wake(time.Unix(1, 0)) // the accept that waits ends
	}
}

// Resume takes connections again.
func (l *Listener) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused != nil {
		l.wake(time.Time{})
		close(l.paused)
		l.paused = nil
	}
}

// wake sets when the accept that waits ends. l.mu is held.
func (l *Listener) wake(at time.Time) {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = d.SetDeadline(at) // of one that is closed the accept tells
	}
}

// rest waits while connections are not to be taken.
func (l *Listener) rest() error {
	l.mu.Lock()
	paused := l.paused
	l.mu.Unlock()
	if paused == nil {
		return nil
	}
	select {
	case <-paused:
		return nil
	case <-l.ended:
		return net.ErrClosed
	}
}

// SetMaxConns sets how many connections there may be before idle ones are closed.
func (l *Listener) SetMaxConns(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most = most
}

// Counts tells how many connections are open, and how many were turned away so far.
func (l *Listener) Counts() (open, shed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open), l.shed
}

// callerConn is a caller's connection. It knows whether anything was read since the last answer.
type callerConn struct {
	net.Conn
	all *Listener

	// all.mu guards these:
	unread  bool      // no byte has come since the last write
	idle    bool      // the front waits for the next request
	new     bool      // and it is the first
	since   time.Time // it is idle or new
	retired bool      // the next read ends the connection, if nothing came before
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		if l.places != nil {
			select {
			case l.places <- struct{}{}:
			case <-l.ended:
				return nil, net.ErrClosed
			}
		}
		nc, err := l.accept()
		if err != nil {
			if l.places != nil {
				<-l.places
			}
			return nil, err
		}
		if c := l.take(nc); c != nil {
			return c, nil
		}
		l.shedder.shed(nc)
	}
}

// accept takes a connection from the kernel's queue, once that is wanted.
func (l *Listener) accept() (net.Conn, error) {
	for {
		if err := l.rest(); err != nil {
			return nil, err
		}
		nc, err := l.Listener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nc, err
		}
	}
}

// take counts a connection in, or gives nil if there is no place for it.
func (l *Listener) take(nc net.Conn) *callerConn {
	c := &callerConn{Conn: nc, all: l, unread: true, new: true, since: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	if !l.makeRoom() && l.shedder != nil {
		delete(l.open, c)
		l.shed++
		return nil
	}
	return c
}

// track follows a connection's state for http.Server.
func (l *Listener) track(nc net.Conn, state http.ConnState) {
	c := nc.(*callerConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive:
		c.idle, c.new = false, false
	case http.StateIdle:
		c.idle, c.since = true, time.Now()
		l.makeRoom()
	case http.StateClosed:
		delete(l.open, c)
		if l.places != nil {
			<-l.places
		}
	}
}

// makeRoom retires the connection idle for longest if there are too many, and tells whether that was enough. l.mu is held.
func (l *Listener) makeRoom() bool {
	if len(l.open) <= l.most {
		return true
	}
	var longest *callerConn
	for c := range l.open {
		if c.idle && c.unread && !c.retired && (longest == nil || c.since.Before(longest.since)) {
			longest = c
		}
	}
	if longest != nil {
		longest.retire()
	}
	return longest != nil
}

// retire makes the read that waits for a request end, unless bytes come first. all.mu is held.
func (c *callerConn) retire() {
	c.retired = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

func (c *callerConn) isRetired() bool {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	return c.retired
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isRetired() {
		// The runtime reports the deadline even if bytes have come: look once more, so that none go under.
		_ = c.Conn.SetReadDeadline(time.Now().Add(lastLook))
		n, err = c.Conn.Read(b)
	}
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if n > 0 {
		c.unread = false
		if c.retired { // a request came first: it is served
			c.retired = false
			return n, c.Conn.SetReadDeadline(time.Time{})
		}
	}
	if c.retired && errors.Is(err, os.ErrDeadlineExceeded) {
		return n, io.EOF
	}
	return n, err
}

// SetReadDeadline implements net.Conn. The front sets one right after it has told that a connection is idle: that must
// not undo a retirement.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.retired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	c.all.mu.Lock()
	c.unread = true // before the write: what comes in answer to it must count
	c.all.mu.Unlock()
	return c.Conn.Write(b)
}

// Close ends the listener. Connections stay.
func (l *Listener) Close() error {
	l.end.Do(func() { close(l.ended) })
	return l.Listener.Close()
}

// Abort closes all connections, whatever they are at.
func (l *Listener) Abort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.Close()
	}
}

// Drain closes the listener, retires what is idle and returns when all connections have ended, each with its last
// request answered. Connections that were busy within the time given stay for their next request, but not for much longer
// than that: its answer closes them, which no request can cross. What is still open at the instant given is closed, whatever it
// is at; zero: it stays.
func (l *Listener) Drain(lately time.Duration, by time.Time) error {
	err := l.Close()
	began := time.Now()
	for {
		if time.Since(began) > linger*lately {
			lately = 0
		}
		if !by.IsZero() && time.Now().After(by) {
			l.Abort()
		}
		if l.retireIdle(lately) == 0 {
			break
		}
		time.Sleep(lookAround)
	}
	if l.shedder != nil {
		l.shedder.wait()
	}
	return err
}

// retireIdle retires all connections that have been idle for so long, and new ones that stay silent, and tells how many are open.
func (l *Listener) retireIdle(lately time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if c.unread && !c.retired && (c.idle && time.Since(c.since) >= lately || c.new && time.Since(c.since) > silentFor) {
			c.retire()
		}
	}
	return len(l.open)
}
