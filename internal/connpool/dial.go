package connpool

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// The backoff after a dial that failed with a local error. It doubles from minimum to maximum.
const (
	minDialBackoff = 2 * time.Millisecond
	maxDialBackoff = 20 * time.Millisecond
)

// localDialErrors are the errors of socket(2) and connect(2) that are caused by this machine: no
// file descriptor, memory, address or port is available, or there is no route from here. They say
// nothing about the endpoint. EHOSTUNREACH and ETIMEDOUT are not among them, because they mean that
// the endpoint's machine does not answer.
var localDialErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EAGAIN, syscall.EPERM, syscall.EACCES,
}

// isLocalDialError reports whether a dial failed because of this machine rather than the endpoint.
func isLocalDialError(err error) bool {
	for _, localErr := range localDialErrors {
		if errors.Is(err, localErr) {
			return true
		}
	}
	return false
}

// dialWithRetry dials an address. After a local error it dials again with a backoff, until ctx is
// done, and then returns the last error.
func (p *Pool) dialWithRetry(ctx context.Context, addr string) (net.Conn, error) {
	for backoff := minDialBackoff; ; backoff = min(2*backoff, maxDialBackoff) {
		nc, err := p.dial(ctx, "tcp", addr)
		if err == nil || !isLocalDialError(err) {
			return nc, err
		}
		backoffCtx, cancel := context.WithTimeout(ctx, backoff)
		p.waitUntilDone(backoffCtx)
		cancel()
		if ctx.Err() != nil {
			return nil, err
		}
	}
}
