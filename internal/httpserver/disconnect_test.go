package httpserver

import (
	"io"
	"net"
	"testing"

	"rowancart/internal/testpeer"
)

// looked gives a look-out for one end of a connection, that end, and the caller's.
func looked(t *testing.T) (w *disconnectWatcher, here, client *net.TCPConn) {
	t.Helper()
	_, c, nc := accepted(t)
	w = &disconnectWatcher{}
	w.attach(c.Conn)
	return w, c.Conn.(*net.TCPConn), nc.(*net.TCPConn)
}

// However a caller leaves, it is seen to; one that stays is not taken for gone, whatever it sends.
func TestACallerThatHasLeftIsSeen(t *testing.T) {
	ahead := func(client *net.TCPConn) { io.WriteString(client, "bytes that nobody reads") }
	half := func(client *net.TCPConn) { client.CloseWrite() }
	fin := func(client *net.TCPConn) { client.Close() }
	rst := func(client *net.TCPConn) { client.SetLinger(0); client.Close() }
	read := func(client *net.TCPConn) { io.ReadFull(client, make([]byte, len("answer"))) } // else the close is a reset
	for name, row := range map[string]struct {
		does []func(*net.TCPConn)
		gone bool
	}{
		"stays":                         {nil, false},
		"stays, bytes ahead":            {[]func(*net.TCPConn){ahead}, false},
		"ends its sending":              {[]func(*net.TCPConn){half}, true},
		"ends its sending, bytes ahead": {[]func(*net.TCPConn){ahead, half}, true},
		"closes":                        {[]func(*net.TCPConn){read, fin}, true},
		"closes, bytes ahead":           {[]func(*net.TCPConn){read, ahead, fin}, true},
		"resets":                        {[]func(*net.TCPConn){rst}, true},
		"resets, bytes ahead":           {[]func(*net.TCPConn){ahead, rst}, true},
	} {
		t.Run(name, func(t *testing.T) {
			w, here, client := looked(t)
			if w.clientGone() {
				t.Fatal("gone before it has done anything")
			}
			for _, do := range row.does {
				do(client)
			}
			if row.gone {
				until(t, "it is seen to have left", w.clientGone)
				return
			}
			if len(row.does) > 0 {
				until(t, "the bytes come", func() bool { return testpeer.Pending(here) })
			}
			if w.clientGone() {
				t.Error("it is taken for gone")
			}
		})
	}
}

// Once a request is answered its caller's leaving is nobody's business: what is told then would hit another request's connection.
func TestALookoutThatHasStoppedTellsNobody(t *testing.T) {
	w, _, client := looked(t)
	told := 0
	w.start(func() { told++ })
	client.SetLinger(0)
	client.Close()
	until(t, "it is seen to have left", w.clientGone)
	w.stop()
	was := told
	w.poll() // as the timer of the request before may still do
	if told != was {
		t.Error("told after the stop")
	}
	w.start(func() { told++ })
	w.poll()
	w.poll()
	if told != was+1 {
		t.Errorf("told %d times of one that has left", told-was)
	}
	w.stop()
}
