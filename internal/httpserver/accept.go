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
	// Bounds of the backoff after a failed accept. A client's deadline may be as short as a few
	// tenths of a second, so the maximum is a small fraction of that.
	minAcceptBackoff = 2 * time.Millisecond
	maxAcceptBackoff = 50 * time.Millisecond

	// acceptLogInterval is the minimum time between two log lines about failed accepts.
	acceptLogInterval = time.Second
)

// finalAcceptErrors are the errors after which a listener can never accept again: it is closed,
// its deadline has passed, or its descriptor is not a listening socket. All other errors are
// transient: a lack of descriptors or memory, a firewall rule, and pending network errors of the
// new connection, which accept(2) says to treat like EAGAIN.
var finalAcceptErrors = []error{
	net.ErrClosed, os.ErrDeadlineExceeded, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT,
}

// isFinalAcceptError reports whether an error is one of finalAcceptErrors.
func isFinalAcceptError(err error) bool {
	return slices.ContainsFunc(finalAcceptErrors, func(final error) bool { return errors.Is(err, final) })
}

// acceptBackoff waits between the retries of a failing accept, and logs the failures. It is not
// safe for concurrent use.
type acceptBackoff struct {
	log      *slog.Logger
	next     time.Duration
	loggedAt time.Time // time of the latest log line; zero: never logged
}

// reset returns to the minimum backoff after a connection was accepted.
func (b *acceptBackoff) reset() { b.next = 0 }

// wait sleeps for the backoff that follows err and returns true. If err is final, it returns false
// at once.
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

// NewRetryingListener returns a listener whose Accept fails only if l can never accept again. It
// is for servers that stop at the first error of Accept, as net/http's does. Accept must not be
// called concurrently.
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
