package testpeer

import (
	"errors"
	"syscall"
	"testing"
	"time"
)

// WaitTimeout bounds waits for events that should occur soon. Passing tests wait much less.
const WaitTimeout = 20 * time.Second

// WaitUntil polls until condition returns true. It is for conditions that depend on the kernel or
// on another process. After WaitTimeout it fails the test with a description of the condition.
func WaitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(WaitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", description)
		}
	}
}

// HasUnreadData reports whether a connection has received bytes that have not been read, or was
// closed or reset by the peer. It also returns true for a connection that is closed on this side.
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
