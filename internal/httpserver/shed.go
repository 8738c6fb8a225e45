package httpserver

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	shedAtOnce = 64                     // connections that are told why they are turned away; more are just closed
	shedWithin = 200 * time.Millisecond // for the answer to go out and what was sent to be read
	shedAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n" +
		"Content-Type: text/plain; charset=utf-8\r\nContent-Length: 21\r\n\r\ntoo many connections\n"
)

// shedder turns connections away at once when there is no place for them: their callers can go elsewhere, where a wait in
// the kernel's queue would use up their time.
type shedder struct {
	places chan struct{}
	all    sync.WaitGroup
}

func newShedder() *shedder { return &shedder{places: make(chan struct{}, shedAtOnce)} }

// shed answers a connection and closes it, without holding up the caller.
func (s *shedder) shed(nc net.Conn) {
	select {
	case s.places <- struct{}{}:
	default:
		nc.Close()
		return
	}
	s.all.Go(func() {
		defer func() { <-s.places }()
		defer nc.Close()
		_ = nc.SetDeadline(time.Now().Add(shedWithin))
		// An answer ahead of its request is none: clients close a connection on which one comes.
		if _, err := nc.Read(make([]byte, 1)); err != nil {
			return
		}
		if _, err := io.WriteString(nc, shedAnswer); err != nil {
			return
		}
		// A close before the request has been read would end as a reset, and take the answer with it.
		if c, ok := nc.(interface{ CloseWrite() error }); ok && c.CloseWrite() == nil {
			_, _ = io.CopyN(io.Discard, nc, 64<<10)
		}
	})
}

// wait returns when nothing is being answered any more.
func (s *shedder) wait() { s.all.Wait() }
