package testpeer

import (
	"errors"
	"syscall"
	"testing"
	"time"
)

// Patience bounds waits for what should come soon. No test that passes comes near it.
const Patience = 20 * time.Second

// Until polls until ok returns true, for what the kernel or another process does in its own time.
// It ends the test after Patience; what says what never came.
func Until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(Patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", what)
		}
	}
}

// Pending reports whether a connection has received bytes that nobody has read, or its end. It is
// also true for a connection that is closed on this side.
func Pending(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	pending := true
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		pending = !errors.Is(err, syscall.EAGAIN)
	})
	return err != nil || pending
}
