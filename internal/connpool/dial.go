package connpool

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// The backoff between two dials that failed for a reason of this machine.
const (
	minDialBackoff = 2 * time.Millisecond
	maxDialBackoff = 20 * time.Millisecond
)

// localDialErrors are the errors of socket(2) and connect(2) that are caused by this machine: no
// file descriptor, memory, address or port is available, or there is no route from here. They say
// nothing about the endpoint. EHOSTUNREACH and ETIMEDOUT are not among them: the endpoint's machine
// does not answer.
var localDialErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EAGAIN, syscall.EPERM, syscall.EACCES,
}

// isLocalDialError reports whether a dial failed for a reason of this machine.
func isLocalDialError(err error) bool {
	for _, local := range localDialErrors {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}

// dialWithRetry dials, and dials again after a backoff if this machine was the reason of the
// failure, until ctx is done. It returns the last error.
func (p *Pool) dialWithRetry(ctx context.Context, addr string) (net.Conn, error) {
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
