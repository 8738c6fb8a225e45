package httpserver

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"rowancart/balancer"
	"rowancart/internal/http1"
	"rowancart/internal/platform"
	"rowancart/internal/testpeer"
)

// newTestBody returns a chunked body that is read from a connection, and the client's end of it.
func newTestBody(t *testing.T) (b *requestBody, client net.Conn) {
	t.Helper()
	client, server := net.Pipe()
	t.Cleanup(func() { client.Close(); server.Close() })
	return newTestBodyOn(server), client
}

// newTestBodyOn returns a chunked body that is read from a connection.
func newTestBodyOn(nc net.Conn) *requestBody {
	c := &conn{server: &Server{}, reader: connReader{Conn: nc}, requestStart: time.Now()}
	return c.newRequestBody(http1.Chunked)
}

// The pool has its result while an attempt waits for more of the client's body, such as a rejection
// at the shutdown. The interruption of that read is not an error of the client: its response was
// replaced by a 400.
func TestAbandonedReadIsNotTheClientsError(t *testing.T) {
	b, _ := newTestBody(t)
	readErr := make(chan error)
	go func() {
		_, err := b.Read(make([]byte, 1))
		readErr <- err
	}()
	waitUntil(t, "the read is in progress", func() bool {
		if !b.mu.TryLock() {
			return true
		}
		b.mu.Unlock()
		return false
	})
	if ended, err := b.abandon(); ended || err != nil {
		t.Errorf("abandon returns %v, %v; want an incomplete body without an error", ended, err)
	}
	if err := <-readErr; !errors.Is(err, errBodyAbandoned) {
		t.Errorf("the interrupted read returns %v, want %v", err, errBodyAbandoned)
	}
}

// The deadline of a shutdown passes while a client is still sending its body, and its attempt must
// not be canceled. The client must get the pool's rejection, after which it may send the request
// again: it got a 400.
func TestRejectionDuringABodyReachesTheClient(t *testing.T) {
	endpoint := startEndpoint(t, testpeer.RespondWith(okResponse, testpeer.KeepConn))
	pool := newPoolWith(balancer.Settings{}, endpoint.Addr)
	inner := listen(t)
	startServer(t, NewListener(inner, 9), poolRouter{pool})
	const length = 16 << 20 // more than is buffered, so that the body is forwarded while it arrives
	client := connect(t, inner, fmt.Sprintf("POST /upload HTTP/1.1\r\nHost: h\r\n%s: r1\r\n%s: 20000\r\n"+
		"Content-Length: %d\r\n\r\n%s", platform.RequestIDHeader, platform.DeadlineHeader, length,
		strings.Repeat("x", length/8)))
	waitUntil(t, "the upload is in flight", func() bool { return pool.Stats().Calls == 1 })
	pool.SetFinalDeadline(pool.Now() + 100*time.Millisecond)
	requireStatus(t, client, http.StatusServiceUnavailable)
}
