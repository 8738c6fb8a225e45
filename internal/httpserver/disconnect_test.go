package httpserver

import (
	"io"
	"net"
	"testing"

	"rowancart/internal/testpeer"
)

// watchConn returns a watcher of a connection, the connection's end that it watches, and the
// client's end.
func watchConn(t *testing.T) (w *disconnectWatcher, server, client *net.TCPConn) {
	t.Helper()
	_, c, nc := acceptIdle(t)
	w = &disconnectWatcher{}
	w.attach(c.Conn)
	return w, c.Conn.(*net.TCPConn), nc.(*net.TCPConn)
}

// However a client disconnects, it is noticed; one that stays connected is not taken for gone,
// whatever it sends.
func TestDisconnectIsNoticed(t *testing.T) {
	sendAhead := func(client *net.TCPConn) { io.WriteString(client, "bytes that nobody reads") }
	closeWrite := func(client *net.TCPConn) { client.CloseWrite() }
	closeConn := func(client *net.TCPConn) { client.Close() }
	reset := func(client *net.TCPConn) { client.SetLinger(0); client.Close() }
	// A close with the response unread would be a reset.
	readResponse := func(client *net.TCPConn) { io.ReadFull(client, make([]byte, len("answer"))) }
	for name, row := range map[string]struct {
		actions []func(*net.TCPConn)
		gone    bool
	}{
		"stays":                           {nil, false},
		"stays, bytes ahead":              {[]func(*net.TCPConn){sendAhead}, false},
		"closes its writing":              {[]func(*net.TCPConn){closeWrite}, true},
		"closes its writing, bytes ahead": {[]func(*net.TCPConn){sendAhead, closeWrite}, true},
		"closes":                          {[]func(*net.TCPConn){readResponse, closeConn}, true},
		"closes, bytes ahead":             {[]func(*net.TCPConn){readResponse, sendAhead, closeConn}, true},
		"resets":                          {[]func(*net.TCPConn){reset}, true},
		"resets, bytes ahead":             {[]func(*net.TCPConn){sendAhead, reset}, true},
	} {
		t.Run(name, func(t *testing.T) {
			w, server, client := watchConn(t)
			if w.clientGone() {
				t.Fatal("gone before it has done anything")
			}
			for _, act := range row.actions {
				act(client)
			}
			if row.gone {
				until(t, "the disconnect is noticed", w.clientGone)
				return
			}
			if len(row.actions) > 0 {
				until(t, "the bytes arrive", func() bool { return testpeer.HasUnreadData(server) })
			}
			if w.clientGone() {
				t.Error("it is taken for gone")
			}
		})
	}
}

// Once a request is answered, its client's disconnect must not be notified: it would hit the next
// request's attempt.
func TestNoDisconnectIsNotifiedAfterStop(t *testing.T) {
	w, _, client := watchConn(t)
	notified := 0
	w.start(func() { notified++ })
	client.SetLinger(0)
	client.Close()
	until(t, "the disconnect is noticed", w.clientGone)
	w.stop()
	atStop := notified
	w.poll() // as the timer of the request before may still do
	if notified != atStop {
		t.Error("notified after the stop")
	}
	w.start(func() { notified++ })
	w.poll()
	w.poll()
	if notified != atStop+1 {
		t.Errorf("notified %d times of one disconnect", notified-atStop)
	}
	w.stop()
}
