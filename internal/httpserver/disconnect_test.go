package httpserver

import (
	"io"
	"net"
	"testing"

	"rowancart/internal/testpeer"
)

// watchedConn is the two ends of a connection and a watcher of the server's end.
type watchedConn struct {
	watcher *disconnectWatcher
	server  *net.TCPConn
	client  *net.TCPConn
}

// newWatchedConn returns an idle connection without a request in progress.
func newWatchedConn(t *testing.T) watchedConn {
	t.Helper()
	idle := acceptIdle(t)
	return watchedConn{
		watcher: &disconnectWatcher{socket: socketOf(idle.server.Conn)},
		server:  idle.server.Conn.(*net.TCPConn),
		client:  idle.client.(*net.TCPConn),
	}
}

// Every kind of disconnect must be detected. A client that stays connected must not be reported as
// disconnected, regardless of what it sends.
func TestDisconnectIsDetected(t *testing.T) {
	sendAhead := func(client *net.TCPConn) { io.WriteString(client, "unread bytes") }
	closeWrite := func(client *net.TCPConn) { client.CloseWrite() }
	closeConn := func(client *net.TCPConn) { client.Close() }
	reset := func(client *net.TCPConn) {
		client.SetLinger(0)
		client.Close()
	}
	// Closing with the response unread would send a reset.
	readResponse := func(client *net.TCPConn) { io.ReadFull(client, make([]byte, len(idleResponse))) }
	for name, row := range map[string]struct {
		actions      []func(*net.TCPConn)
		disconnected bool
	}{
		"stays":                                 {nil, false},
		"stays, unread bytes":                   {[]func(*net.TCPConn){sendAhead}, false},
		"closes its sending side":               {[]func(*net.TCPConn){closeWrite}, true},
		"closes its sending side, unread bytes": {[]func(*net.TCPConn){sendAhead, closeWrite}, true},
		"closes":                                {[]func(*net.TCPConn){readResponse, closeConn}, true},
		"closes, unread bytes":                  {[]func(*net.TCPConn){readResponse, sendAhead, closeConn}, true},
		"resets":                                {[]func(*net.TCPConn){reset}, true},
		"resets, unread bytes":                  {[]func(*net.TCPConn){sendAhead, reset}, true},
	} {
		t.Run(name, func(t *testing.T) {
			conn := newWatchedConn(t)
			if conn.watcher.socket.isDisconnected() {
				t.Fatal("disconnected before any action")
			}
			for _, act := range row.actions {
				act(conn.client)
			}
			if row.disconnected {
				waitUntil(t, "the disconnect is detected", conn.watcher.socket.isDisconnected)
				return
			}
			if len(row.actions) > 0 {
				waitUntil(t, "the bytes arrive", func() bool { return testpeer.HasUnreadData(conn.server) })
			}
			if conn.watcher.socket.isDisconnected() {
				t.Error("a connected client is reported as disconnected")
			}
		})
	}
}

// Once the watch of a request has been stopped, a disconnect must not be notified: the
// notification would cancel the attempt of the next request.
func TestNoDisconnectIsNotifiedAfterStop(t *testing.T) {
	conn := newWatchedConn(t)
	w := conn.watcher
	notified := 0
	w.start(func() { notified++ })
	conn.client.SetLinger(0)
	conn.client.Close()
	waitUntil(t, "the disconnect is detected", w.socket.isDisconnected)
	w.stop()
	atStop := notified
	w.poll() // the timer of the previous request may still call it
	if notified != atStop {
		t.Error("notified after stop")
	}
	w.start(func() { notified++ })
	w.poll()
	w.poll()
	if notified != atStop+1 {
		t.Errorf("%d notifications of one disconnect", notified-atStop)
	}
	w.stop()
}
