package httpserver

import (
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"rowancart/internal/platform"
)

// failingListener fails to accept with each of its errors in order. After that, it accepts
// connections.
type failingListener struct {
	net.Listener
	mu       sync.Mutex
	failures []error
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.failures) > 0 {
		err := l.failures[0]
		l.failures = l.failures[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// listenFailing returns a loopback listener whose first accepts fail with the given errors.
func listenFailing(t *testing.T, failures ...error) *failingListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &failingListener{Listener: l, failures: failures}
}

// transientAcceptErrors are the transient errors that accept(2) lists: those of the process and
// the machine, and pending network errors of the new connection, which it says to treat like
// EAGAIN.
var transientAcceptErrors = []error{
	syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM,
	syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
	syscall.EOPNOTSUPP, syscall.ENETUNREACH,
}

// Transient errors of accept must neither end the server nor delay a client for long.
func TestServeRetriesFailedAccepts(t *testing.T) {
	inner := listenFailing(t, transientAcceptErrors...)
	l := NewListener(inner, 10)
	served := make(chan error, 1)
	go func() { served <- New(nil, "test", "h", slog.New(slog.DiscardHandler)).Serve(l) }()
	began := time.Now()
	client := http.Client{Timeout: waitTimeout}
	resp, err := client.Get("http://" + inner.Addr().String() + platform.HealthPath)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("%d consecutive failures delayed a request by %v", len(transientAcceptErrors), took)
	}
	l.Close()
	if err := <-served; err == nil {
		t.Error("Serve returned no error after its listener was closed")
	}
}

// A retrying listener hides transient errors from servers that stop at the first error, as
// net/http's does.
func TestRetryingListenerReturnsOnlyFinalErrors(t *testing.T) {
	inner := listenFailing(t, transientAcceptErrors...)
	l := NewRetryingListener(inner, slog.New(slog.DiscardHandler))
	client, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	nc.Close()
	l.Close()
	if _, err := l.Accept(); !isFinalAcceptError(err) {
		t.Errorf("Accept of a closed listener returned %v, want a final error", err)
	}
}
