package httpserver

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// finalReadTimeout is the timeout of the last read from a connection that is about to be closed.
// If a request has already arrived, the read returns its data.
const finalReadTimeout = 20 * time.Millisecond

// trackedConn is a client's connection that its Listener can close without losing a request.
//
// startClosing only interrupts the read that waits for the next request. If that read has returned
// data, or returns data when repeated, the request is served and the connection stays open;
// otherwise the read returns io.EOF, and the server closes the connection.
type trackedConn struct {
	net.Conn
	listener *Listener

	// listener.mu guards the fields below.
	state          http.ConnState // StateNew until the first request
	silent         bool           // nothing of a first request has been read yet
	since          time.Time      // when the connection was accepted or became idle
	readSinceWrite bool           // a request, or the beginning of one, has been read since the last write
	closing        bool           // the next read that returns no data ends the connection
}

// awaitsRequest reports whether no data of the next request has been read, and the connection is
// not closing yet. The caller must hold listener.mu.
func (c *trackedConn) awaitsRequest() bool { return !c.readSinceWrite && !c.closing }

// startClosing interrupts the read that waits for a request. The caller must hold listener.mu.
func (c *trackedConn) startClosing() {
	c.closing = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// isClosing reports whether startClosing was called and no data has been read since.
func (c *trackedConn) isClosing() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.closing
}

// hasWrittenSinceRead reports whether data was written after the latest read: a response has begun.
func (c *trackedConn) hasWrittenSinceRead() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return !c.readSinceWrite
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isClosing() {
		// The runtime reports an exceeded deadline even if data has arrived. Read again, so that
		// none is lost.
		_ = c.Conn.SetReadDeadline(time.Now().Add(finalReadTimeout))
		n, err = c.Conn.Read(b)
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if n > 0 && !(c.silent && isBlank(b[:n])) { // empty lines before the first request do not begin it
		c.silent = false
		c.readSinceWrite = true
		if c.closing { // a request has arrived before the close, so it is served
			c.closing = false
			return n, c.Conn.SetReadDeadline(time.Time{})
		}
	}
	if c.closing && errors.Is(err, os.ErrDeadlineExceeded) {
		return n, io.EOF
	}
	return n, err
}

// isBlank reports whether data consists of line ends only.
func isBlank(data []byte) bool { return len(bytes.Trim(data, "\r\n")) == 0 }

// SetReadDeadline implements net.Conn. While the connection is closing, it does nothing: the
// server sets a deadline right after it has marked a connection idle, and that must not undo
// startClosing.
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
	c.readSinceWrite = false // before the write: the client's next request may arrive during it
	c.listener.mu.Unlock()
	return c.Conn.Write(b)
}
