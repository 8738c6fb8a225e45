package httpserver

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	maxConcurrentRejections = 64                     // beyond that, connections are closed without a response
	rejectionTimeout        = 200 * time.Millisecond // for reading the request and writing the response
	maxRejectedBytes        = 64 << 10               // maximum bytes that are read and discarded after the response

	overloadResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n" +
		"Content-Type: text/plain; charset=utf-8\r\nContent-Length: 21\r\n\r\ntoo many connections\n"
)

// connRejector responds with 503 on connections beyond the limit, so that their clients can retry
// elsewhere at once. Waiting in the kernel's accept queue would use up their deadlines.
type connRejector struct {
	slots   chan struct{}  // holds a value for each rejection in progress
	running sync.WaitGroup // rejections in progress
}

func newConnRejector() *connRejector {
	return &connRejector{slots: make(chan struct{}, maxConcurrentRejections)}
}

// reject responds to a connection's request and closes the connection, in a goroutine of its own.
func (r *connRejector) reject(nc net.Conn) {
	select {
	case r.slots <- struct{}{}:
	default:
		nc.Close()
		return
	}
	r.running.Go(func() {
		defer func() { <-r.slots }()
		defer nc.Close()
		writeRejection(nc)
	})
}

// writeRejection waits for the first byte of a request and writes the response.
func writeRejection(nc net.Conn) {
	_ = nc.SetDeadline(time.Now().Add(rejectionTimeout))
	// Clients close a connection on which a response arrives before their request, without reading
	// it.
	if _, err := nc.Read(make([]byte, 1)); err != nil {
		return
	}
	if _, err := io.WriteString(nc, overloadResponse); err != nil {
		return
	}
	// Closing a connection with unread data would reset it, and the client would lose the response.
	if halfCloser, ok := nc.(interface{ CloseWrite() error }); ok && halfCloser.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, nc, maxRejectedBytes)
	}
}

// wait returns once no rejection is in progress.
func (r *connRejector) wait() { r.running.Wait() }
