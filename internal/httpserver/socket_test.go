package httpserver

import (
	"io"
	"net"
	"testing"
)

// A socket reports unread data without consuming it.
func TestSocketReportsUnreadBytes(t *testing.T) {
	conn := newWatchedConn(t)
	s := conn.watcher.socket
	if s.hasUnreadBytes() || s.unreadBytes() != 0 {
		t.Errorf("%d bytes unread before any were sent", s.unreadBytes())
	}
	const text = "unread"
	io.WriteString(conn.client, text)
	waitUntil(t, "the bytes arrive", func() bool { return s.unreadBytes() == int64(len(text)) })
	if !s.hasUnreadBytes() {
		t.Error("unread bytes are not reported")
	}
	read := make([]byte, len(text))
	if _, err := io.ReadFull(conn.server, read); err != nil || string(read) != text {
		t.Errorf("read %q, %v", read, err)
	}
	if s.hasUnreadBytes() || s.unreadBytes() != 0 {
		t.Errorf("%d bytes unread after all were read", s.unreadBytes())
	}
}

// The state of a connection without a file descriptor is unknown. It must not be reported as
// disconnected.
func TestSocketWithoutDescriptorIsUnknown(t *testing.T) {
	client, server := net.Pipe()
	client.Close()
	defer server.Close()
	s := socketOf(server)
	if s.isDisconnected() || s.hasUnreadBytes() || s.unreadBytes() != 0 || s.unreadAge() != 0 {
		t.Errorf("disconnected %v, %d bytes unread for %v", s.isDisconnected(), s.unreadBytes(), s.unreadAge())
	}
}
