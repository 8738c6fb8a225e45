package httpserver

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"rowancart/internal/logkey"
)

const (
	// Backoff after a failure to accept a connection. A client's deadline may be a few tenths of a
	// second, so the longest backoff is a small part of that.
	minAcceptBackoff = 2 * time.Millisecond
	maxAcceptBackoff = 50 * time.Millisecond

	// acceptLogInterval is the minimum time between two log lines about failures to accept.
	acceptLogInterval = time.Second
)

// finalAcceptErrors are the errors after which a listener can never accept again: it is closed, its
// deadline has passed, or its descriptor is not a listening socket. All other errors are transient:
// a lack of descriptors or memory, a firewall's rule, and errors of the connection's network, which
// accept(2) says to treat like EAGAIN.
var finalAcceptErrors = []error{
	net.ErrClosed, os.ErrDeadlineExceeded, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT,
}

// isFinalAcceptError reports whether an error is one of finalAcceptErrors.
func isFinalAcceptError(err error) bool {
	return slices.ContainsFunc(finalAcceptErrors, func(final error) bool { return errors.Is(err, final) })
}

// acceptBackoff is the backoff between failures to accept. It is used by one goroutine.
type acceptBackoff struct {
	log      *slog.Logger
	next     time.Duration
	loggedAt time.Time // zero: never
}

// reset ends a series of failures: a connection was accepted.
func (b *acceptBackoff) reset() { b.next = 0 }

// wait waits before the next attempt and returns true, or returns false at once after a final
// error.
func (b *acceptBackoff) wait(err error) bool {
	if isFinalAcceptError(err) {
		return false
	}
	b.next = min(max(2*b.next, minAcceptBackoff), maxAcceptBackoff)
	if now := time.Now(); b.loggedAt.IsZero() || now.Sub(b.loggedAt) >= acceptLogInterval {
		b.loggedAt = now
		b.log.Warn("accept failed", logkey.Err, err, logkey.RetryDelay, b.next)
	}
	time.Sleep(b.next)
	return true
}

// retryingListener retries accepting after transient errors.
type retryingListener struct {
	net.Listener
	backoff acceptBackoff
}

// NewRetryingListener returns a listener whose Accept fails only if l can never accept again. It is
// for servers that end at the first error. Accept must not be called concurrently.
func NewRetryingListener(l net.Listener, log *slog.Logger) net.Listener {
	return &retryingListener{Listener: l, backoff: acceptBackoff{log: log}}
}

// Accept implements net.Listener.
func (l *retryingListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err == nil {
			l.backoff.reset()
			return nc, nil
		}
		if !l.backoff.wait(err) {
			return nil, err
		}
	}
}
