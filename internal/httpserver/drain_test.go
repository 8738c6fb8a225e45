package httpserver

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"rowancart/internal/platform"
)

const healthRequest = "GET " + platform.HealthPath + " HTTP/1.1\r\nHost: h\r\n\r\n"

// startServer serves a listener's connections until the test ends.
func startServer(t *testing.T, l *Listener, router Router) *Server {
	t.Helper()
	s := New(router, "test", "h", slog.New(slog.DiscardHandler))
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	t.Cleanup(func() {
		l.Close()
		<-ended
	})
	return s
}

// listen returns a loopback listener.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// connect opens a connection and sends text.
func connect(t *testing.T, l net.Listener, text string) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
	return nc
}

// requireStatus checks the status of the next response on a connection.
func requireStatus(t *testing.T, nc net.Conn, want int) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Error(err)
		return
	}
	io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != want {
		t.Errorf("status %d, want %d", resp.StatusCode, want)
	}
}

// A connection in the kernel's queue is served even if all slots are in use when the drain begins.
func TestDrainServesQueuedConnection(t *testing.T) {
	const slots = 2
	inner := listen(t)
	l := NewWaitingListener(inner, slots, slots)
	s := startServer(t, l, nil)
	for range slots { // connections on which nothing is sent
		connect(t, inner, "")
	}
	waitUntil(t, "all slots are in use", func() bool {
		open, _ := l.Counts()
		return open == slots
	})
	queued := connect(t, inner, healthRequest)
	s.StartDraining()
	go l.Drain(0, time.Now().Add(waitTimeout/2))
	requireStatus(t, queued, http.StatusOK)
}

// Guards against a listener that is closed in the moment between a slot's release and the accept.
func TestDrainLeavesTimeToAcceptAfterASlotIsFree(t *testing.T) {
	l := NewWaitingListener(listen(t), 1, 1)
	defer l.Close()
	start := time.Now().Add(-time.Minute)
	l.slots <- struct{}{}
	if l.mayStopAccepting(start, time.Time{}) {
		t.Error("accepting may stop while a connection may be waiting for a slot")
	}
	<-l.slots
	if l.mayStopAccepting(start, time.Time{}) {
		t.Error("accepting may stop before the waiting connection could be accepted")
	}
}

// A client that sends a request just as the drain closes its idle connection retries the request
// on a new connection, which must still be accepted.
func TestDrainAcceptsRetryAfterClose(t *testing.T) {
	inner := listen(t)
	l := NewListener(inner, 10)
	s := startServer(t, l, nil)
	idle := connect(t, inner, healthRequest)
	requireStatus(t, idle, http.StatusOK)
	s.StartDraining()
	drained := make(chan error, 1)
	go func() { drained <- l.Drain(0, time.Now().Add(waitTimeout/2)) }()
	if _, err := idle.Read(make([]byte, 1)); err == nil {
		t.Error("the drain has not closed the idle connection")
	}
	requireStatus(t, connect(t, inner, healthRequest), http.StatusOK)
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// A drain ends even if Accept is not called.
func TestDrainEndsWithoutAcceptLoop(t *testing.T) {
	l := NewListener(listen(t), 10)
	drained := make(chan error, 1)
	go func() { drained <- l.Drain(0, time.Time{}) }()
	select {
	case err := <-drained:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(waitTimeout):
		t.Error("the drain has not ended")
		l.Close()
	}
}
