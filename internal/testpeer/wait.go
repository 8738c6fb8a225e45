package testpeer

import (
	"errors"
	"syscall"
	"testing"
	"time"
)

// WaitTimeout bounds waits for what should come soon. No test that passes comes near it.
const WaitTimeout = 20 * time.Second

// WaitUntil polls until condition returns true, for what the kernel or another process does in its
// own time. It ends the test after WaitTimeout with the description of what was awaited.
func WaitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(WaitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", description)
		}
	}
}

// HasUnreadData reports whether a connection has received bytes that nobody has read, or its end.
// It is also true for a connection that is closed on this side.
func HasUnreadData(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	hasData := true
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		hasData = !errors.Is(err, syscall.EAGAIN)
	})
	return err != nil || hasData
}
