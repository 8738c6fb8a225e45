package connpool

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Backoff between two dials that this machine could not make.
const (
	minDialBackoff = 2 * time.Millisecond
	maxDialBackoff = 20 * time.Millisecond
)

// localDialErrors are the errors of socket(2) and connect(2) that are of this machine: a lack of
// descriptors, memory, addresses or ports, or no route from here. They say nothing of the endpoint.
// EHOSTUNREACH and ETIMEDOUT are not among them: the endpoint's machine does not answer.
var localDialErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EAGAIN, syscall.EPERM, syscall.EACCES,
}

// isLocalDialError reports whether a dial failed for a reason of this machine's.
func isLocalDialError(err error) bool {
	for _, local := range localDialErrors {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}

// dialUntilMade dials, again where this machine could not make the dial, until ctx ends. The last
// error is returned.
func (p *Pool) dialUntilMade(ctx context.Context, addr string) (net.Conn, error) {
	for backoff := minDialBackoff; ; backoff = min(2*backoff, maxDialBackoff) {
		nc, err := p.dial(ctx, "tcp", addr)
		if err == nil || !isLocalDialError(err) {
			return nc, err
		}
		wait, cancel := context.WithTimeout(ctx, backoff)
		p.waitUntilDone(wait)
		cancel()
		if ctx.Err() != nil {
			return nil, err
		}
	}
}
