package testpeer

import (
	"net"
	"syscall"
	"testing"
)

const (
	ethernetMSS        = 1460     // bytes
	smallReceiveBuffer = 64 << 10 // bytes
)

// ListenWithSmallBuffer returns a loopback listener, which is closed when the test ends. Its
// connections have the segment size of an Ethernet and a small receive buffer: what is written to
// them blocks early, where loopback's own buffers would hold megabytes.
func ListenWithSmallBuffer(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) { err = limitBuffers(int(fd)) })
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// limitBuffers sets the segment size and the receive buffer of a socket.
func limitBuffers(fd int) error {
	if err := syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetMSS); err != nil {
		return err
	}
	return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReceiveBuffer)
}
