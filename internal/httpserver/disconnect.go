package httpserver

import (
	"encoding/binary"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const disconnectPollInterval = 100 * time.Millisecond // between two looks whether a caller is still there

// disconnectWatcher looks out for a caller that leaves before it has its answer. It serves one request after the other.
//
// It asks the kernel how the connection stands and reads nothing. A read would see a caller leave sooner, but not behind bytes that
// were sent ahead, nor while reading is paused for an endpoint that is slow to take a body: what is unread hides the end behind it.
type disconnectWatcher struct {
	rawConn syscall.RawConn // nil: there is no way to look

	mu           sync.Mutex // held while leave is called: on return from stop nobody is told of this caller any more
	timer        *time.Timer
	onDisconnect func() // nil: no request waits
	disconnected bool   // the caller has, of which leave was told
}

// attach says whose caller is looked out for.
func (w *disconnectWatcher) attach(c net.Conn) {
	if s, ok := c.(syscall.Conn); ok {
		w.rawConn, _ = s.SyscallConn()
	}
}

// start calls leave once when the caller leaves, until stop.
func (w *disconnectWatcher) start(leave func()) {
	if w.rawConn == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onDisconnect = leave
	if w.timer == nil {
		w.timer = time.AfterFunc(disconnectPollInterval, w.poll)
		return
	}
	w.timer.Reset(disconnectPollInterval)
}

func (w *disconnectWatcher) poll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.onDisconnect == nil:
	case w.clientGone():
		w.disconnected = true
		w.onDisconnect()
		w.onDisconnect = nil
	default:
		w.timer.Reset(disconnectPollInterval)
	}
}

// stop ends the look-out, and tells whether the caller was seen to leave: then nothing more is to be read off its connection.
func (w *disconnectWatcher) stop() (left bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onDisconnect = nil
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.disconnected
}

// The states of a connection of which neither side has ended anything (TCP_ESTABLISHED and TCP_SYN_RECV in Linux's tcp_states.h): one
// may be accepted a moment before it is established.
const (
	tcpEstablished = 1
	tcpSynReceived = 3
)

// clientGone tells whether the caller has left: it has ended its side of the connection or broken it, or the connection was cut off here,
// at the end of the process's time.
func (w *disconnectWatcher) clientGone() bool {
	if w.rawConn == nil {
		return false
	}
	gone := false
	err := w.rawConn.Control(func(fd uintptr) {
		var first [4]byte
		if info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO); err == nil {
			binary.NativeEndian.PutUint32(first[:], uint32(info)) // struct tcp_info begins with the state, in a byte
			gone = first[0] != tcpEstablished && first[0] != tcpSynReceived
		}
		switch n, err := peekByte(fd); { // where nothing is unread, the end shows here as well, whatever the connection is made of
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		case err != nil || n == 0:
			gone = true
		}
	})
	return gone || err != nil
}

// hasUnreadBytes tells whether bytes have come that nobody has read.
func (w *disconnectWatcher) hasUnreadBytes() bool {
	if w.rawConn == nil {
		return false
	}
	n := 0
	err := w.rawConn.Control(func(fd uintptr) { n, _ = peekByte(fd) })
	return err == nil && n > 0
}

// peekByte looks at the next byte and leaves it there.
func peekByte(fd uintptr) (n int, err error) {
	var b [1]byte
	n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
