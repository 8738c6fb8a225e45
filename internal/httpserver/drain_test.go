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

// listen returns a listener on loopback.
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
	nc.SetDeadline(time.Now().Add(patience))
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

// A request that the kernel has accepted has been taken, though this process had no place for its
// connection when the shutdown began.
func TestDrainAnswersWhatWaitsToBeAccepted(t *testing.T) {
	const places = 2
	inner := listen(t)
	l := NewWaitingListener(inner, places, places)
	s := startServer(t, l, nil)
	for range places { // they send nothing
		connect(t, inner, "")
	}
	until(t, "all places are taken", func() bool { open, _ := l.Counts(); return open == places })
	waiting := connect(t, inner, healthRequest)
	s.StartDraining()
	go l.Drain(0, time.Now().Add(patience/2))
	requireStatus(t, waiting, http.StatusOK)
}

// A client whose request crosses the close of its connection sends it once more on a new one, which
// is still accepted.
func TestDrainAcceptsWhatCrossesItsCloses(t *testing.T) {
	inner := listen(t)
	l := NewListener(inner, 10)
	s := startServer(t, l, nil)
	resting := connect(t, inner, healthRequest)
	requireStatus(t, resting, http.StatusOK)
	s.StartDraining()
	drained := make(chan error, 1)
	go func() { drained <- l.Drain(0, time.Now().Add(patience/2)) }()
	if _, err := resting.Read(make([]byte, 1)); err == nil {
		t.Error("the resting connection is not closed")
	}
	requireStatus(t, connect(t, inner, healthRequest), http.StatusOK)
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// Nobody accepts on the listener any more: its drain ends all the same.
func TestDrainEndsThoughNobodyAccepts(t *testing.T) {
	l := NewListener(listen(t), 10)
	drained := make(chan error, 1)
	go func() { drained <- l.Drain(0, time.Time{}) }()
	select {
	case err := <-drained:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(patience):
		t.Error("it never ends")
		l.Close()
	}
}
