package testpeer

import (
	"net"
	"syscall"
	"testing"
)

const (
	ethernetMSS        = 1448     // bytes
	smallReceiveBuffer = 64 << 10 // bytes
)

// ListenWithEthernetMSS returns a loopback listener, which is closed when the test ends. Its
// connections have the segment size of an Ethernet: the kernel then begins with a small send buffer
// at the other end, where loopback's own segment size makes it begin with megabytes.
func ListenWithEthernetMSS(t *testing.T) net.Listener {
	t.Helper()
	return listenWith(t, setEthernetMSS)
}

// ListenConfigWithEthernetMSS is the configuration of a listener like ListenWithEthernetMSS's.
func ListenConfigWithEthernetMSS() net.ListenConfig { return configWith(setEthernetMSS) }

// ListenWithSmallBuffer returns a loopback listener, which is closed when the test ends. Its
// connections have the segment size of an Ethernet and a small receive buffer: what is written to
// them blocks early, where loopback's own buffers would hold megabytes.
func ListenWithSmallBuffer(t *testing.T) net.Listener {
	t.Helper()
	return listenWith(t, func(fd int) error {
		if err := setEthernetMSS(fd); err != nil {
			return err
		}
		return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReceiveBuffer)
	})
}

// listenWith returns a loopback listener whose socket has the options that set sets.
func listenWith(t *testing.T, set func(fd int) error) net.Listener {
	t.Helper()
	config := configWith(set)
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// configWith returns the configuration of a listener whose socket has the options that set sets.
func configWith(set func(fd int) error) net.ListenConfig {
	return net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) { err = set(int(fd)) })
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
}

// setEthernetMSS sets the segment size of a socket.
func setEthernetMSS(fd int) error {
	return syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetMSS)
}
