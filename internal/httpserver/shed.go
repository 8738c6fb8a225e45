package httpserver

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	maxConcurrentRejections = 64                     // connections that are told why they are turned away; more are just closed
	rejectionTimeout        = 200 * time.Millisecond // for the answer to go out and what was sent to be read
	overloadResponse        = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n" +
		"Content-Type: text/plain; charset=utf-8\r\nContent-Length: 21\r\n\r\ntoo many connections\n"
)

// connRejector turns connections away at once when there is no place for them: their callers can go elsewhere, where a wait in
// the kernel's queue would use up their time.
type connRejector struct {
	slots   chan struct{}
	running sync.WaitGroup
}

func newConnRejector() *connRejector {
	return &connRejector{slots: make(chan struct{}, maxConcurrentRejections)}
}

// reject answers a connection and closes it, without holding up the caller.
func (s *connRejector) reject(nc net.Conn) {
	select {
	case s.slots <- struct{}{}:
	default:
		nc.Close()
		return
	}
	s.running.Go(func() {
		defer func() { <-s.slots }()
		defer nc.Close()
		_ = nc.SetDeadline(time.Now().Add(rejectionTimeout))
		// An answer ahead of its request is none: clients close a connection on which one comes.
		if _, err := nc.Read(make([]byte, 1)); err != nil {
			return
		}
		if _, err := io.WriteString(nc, overloadResponse); err != nil {
			return
		}
		// A close before the request has been read would end as a reset, and take the answer with it.
		if c, ok := nc.(interface{ CloseWrite() error }); ok && c.CloseWrite() == nil {
			_, _ = io.CopyN(io.Discard, nc, 64<<10)
		}
	})
}

// wait returns when nothing is being answered any more.
func (s *connRejector) wait() { s.running.Wait() }
