package httpserver

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rowancart/balancer"
	"rowancart/internal/http1"
	"rowancart/internal/platform"
	"rowancart/internal/proxy"
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

// The deadline of a shutdown passes while a client is still sending its body. The client must get
// the pool's rejection at once, after which it may send the request again: it got a 400, and where
// attempts are canceled, 2.8 s late.
func TestRejectionDuringABodyReachesTheClient(t *testing.T) {
	for _, cancelAllowed := range []bool{false, true} {
		t.Run(fmt.Sprintf("cancel allowed %v", cancelAllowed), func(t *testing.T) {
			endpoint := startEndpoint(t, testpeer.RespondWith(okResponse, testpeer.KeepConn))
			pool := newPoolWith(balancer.Settings{CancelAllowed: cancelAllowed}, endpoint.Addr)
			inner := listen(t)
			startServer(t, NewListener(inner, 9), poolRouter{pool})
			const length = 16 << 20 // more than is buffered, so that the body is forwarded while it arrives
			client := connect(t, inner, fmt.Sprintf("POST /upload HTTP/1.1\r\nHost: h\r\n%s: r1\r\n%s: 20000\r\n"+
				"Content-Length: %d\r\n\r\n%s", platform.RequestIDHeader, platform.DeadlineHeader, length,
				strings.Repeat("x", length/8)))
			waitUntil(t, "the upload is in flight", func() bool { return pool.Stats().Calls == 1 })
			pool.SetFinalDeadline(time.Now().Add(100 * time.Millisecond))
			requireStatus(t, client, http.StatusServiceUnavailable)
		})
	}
}

// lateDeadlineConn is a connection whose first read deadline is set only after the second one, as
// when the goroutine that sets it is not scheduled in between.
type lateDeadlineConn struct {
	net.Conn
	calls     atomic.Int32
	firstSet  chan bool // closed when the first deadline is about to be set
	secondSet chan bool // closed once the second deadline has been set
}

func (c *lateDeadlineConn) SetReadDeadline(at time.Time) error {
	switch c.calls.Add(1) {
	case 1:
		close(c.firstSet)
		<-c.secondSet
	case 2:
		defer close(c.secondSet)
	}
	return c.Conn.SetReadDeadline(at)
}

// A read sets its own deadline just after it was to be interrupted by a deadline in the past. It
// must end all the same: the client's response waited until the deadline of the read.
func TestReadThatIsJustBeginningIsInterrupted(t *testing.T) {
	client, server := net.Pipe()
	t.Cleanup(func() { client.Close(); server.Close() })
	nc := &lateDeadlineConn{Conn: server, firstSet: make(chan bool), secondSet: make(chan bool)}
	b := newTestBodyOn(nc)
	go b.Read(make([]byte, 1))
	<-nc.firstSet
	began := time.Now()
	if _, err := b.abandon(); err != nil {
		t.Errorf("abandon returns the error %v, want none", err)
	}
	if took := time.Since(began); took >= incompleteRequestTimeout/2 {
		t.Errorf("the read ended after %v, want at once", took)
	}
}

// An attempt that is ending still asks when the client has sent the last byte, while the connection
// reads the next request: both used the connection's reader, as the race detector shows.
func TestAbandonedBodyLeavesTheReaderToTheConnection(t *testing.T) {
	b, client := newTestBody(t)
	go io.WriteString(client, "1\r\nx\r\n0\r\n\r\n")
	if n, err := b.readFull(make([]byte, 9)); n != 1 || err != nil {
		t.Fatalf("read %d bytes, error %v", n, err)
	}
	streamed := &streamedBody{requestBody: b, length: http1.Chunked}
	begin, ended := make(chan bool), make(chan bool)
	go func() {
		<-begin
		streamed.SentAt()
		close(ended)
	}()
	close(begin)
	b.abandon()
	go io.WriteString(client, "GET")
	if err := b.source.reader.fill(); err != nil {
		t.Error(err)
	}
	<-ended
}

// A long body whose request id is in use never reaches an attempt. Its buffers must be given back:
// they counted as in use until the process ended, and other bodies were streamed instead of
// buffered.
func TestDuplicateUploadGivesItsBuffersBack(t *testing.T) {
	endpoint := startEndpoint(t, testpeer.RespondWith(okResponse, testpeer.KeepConn))
	inner := listen(t)
	s := startServer(t, NewListener(inner, 9), poolRouter{newPool(endpoint.Addr)})
	const length = proxy.MaxBody + 2*bodyBufferSize
	upload := fmt.Sprintf("POST /upload HTTP/1.1\r\nHost: h\r\n%s: r1\r\n%s: 10000\r\nContent-Length: %d\r\n\r\n%s",
		platform.RequestIDHeader, platform.DeadlineHeader, length, strings.Repeat("x", length))
	requireStatus(t, connect(t, inner, upload), http.StatusOK)
	requireStatus(t, connect(t, inner, upload), http.StatusConflict)
	s.bodyBuffers.mu.Lock()
	defer s.bodyBuffers.mu.Unlock()
	if n := s.bodyBuffers.inUse; n != 0 {
		t.Errorf("%d buffers are in use after both responses, want none", n)
	}
}
