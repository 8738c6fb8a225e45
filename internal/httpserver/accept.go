package httpserver

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// Backoff between two failures to accept a connection. A client's deadline may be a few tenths
	// of a second, so the longest is a small part of that.
	minAcceptBackoff = 2 * time.Millisecond
	maxAcceptBackoff = 50 * time.Millisecond

	// acceptLogInterval is the least time between two log lines about failures to accept.
	acceptLogInterval = time.Second
)

// isFinalAcceptError reports whether a listener can never accept again after an error: it is
// closed, or its descriptor is no listening socket. All other errors may pass: a lack of
// descriptors or memory, a firewall's rule, and errors of the connection's network, which accept(2)
// says to treat like EAGAIN. A deadline is not an error of accepting.
func isFinalAcceptError(err error) bool {
	for _, final := range []error{
		net.ErrClosed, os.ErrDeadlineExceeded, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT,
	} {
		if errors.Is(err, final) {
			return true
		}
	}
	return false
}

// acceptBackoff is the backoff between failures to accept. It is used by one goroutine.
type acceptBackoff struct {
	log      *slog.Logger
	next     time.Duration
	loggedAt time.Time // zero: never
}

// reset starts anew: a connection was accepted.
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
		b.log.Warn("accept failed", "err", err, "retry_in", b.next)
	}
	time.Sleep(b.next)
	return true
}

// retryingListener accepts again after errors that may pass.
type retryingListener struct {
	net.Listener
	backoff acceptBackoff
}

// NewRetryingListener returns a listener whose Accept fails only where l can never accept again. It
// is for servers that end at the first error. Accept must be called by one goroutine.
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
