package httpserver

import (
	"encoding/binary"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// disconnectPollInterval is the time between two checks whether a client is still connected.
const disconnectPollInterval = 100 * time.Millisecond

// disconnectWatcher notices a client that disconnects before it has its response. It serves one
// request after the other.
//
// It asks the kernel for the connection's state and reads nothing. A read would notice a disconnect
// sooner, but not behind data that the client has sent ahead, nor while reading is paused because
// an endpoint is slow to accept a body: the end of the stream is hidden behind unread data.
type disconnectWatcher struct {
	rawConn syscall.RawConn // nil: the connection cannot be checked

	mu           sync.Mutex // held while onDisconnect is called, so that it is never called once stop has returned
	timer        *time.Timer
	onDisconnect func() // nil: no request waits
	disconnected bool   // onDisconnect was called
}

// attach sets the connection to watch. It must be called before all other methods.
func (w *disconnectWatcher) attach(nc net.Conn) {
	if s, ok := nc.(syscall.Conn); ok {
		w.rawConn, _ = s.SyscallConn()
	}
}

// start calls onDisconnect once if the client disconnects before stop.
func (w *disconnectWatcher) start(onDisconnect func()) {
	if w.rawConn == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onDisconnect = onDisconnect
	if w.timer == nil {
		w.timer = time.AfterFunc(disconnectPollInterval, w.poll)
		return
	}
	w.timer.Reset(disconnectPollInterval)
}

// poll checks the connection once, and again after disconnectPollInterval if the client is still
// connected.
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

// stop ends the watch. It reports whether the client was seen to disconnect: then nothing more may
// be read from the connection.
func (w *disconnectWatcher) stop() (disconnected bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onDisconnect = nil
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.disconnected
}

// The states of a connection that neither side has begun to close (Linux's tcp_states.h). A
// connection may be accepted a moment before it is established.
const (
	tcpEstablished = 1 // TCP_ESTABLISHED
	tcpSynReceived = 3 // TCP_SYN_RECV
)

// clientGone reports whether the client has closed its side of the connection or reset it, or the
// connection was closed on this side, at the end of the process.
func (w *disconnectWatcher) clientGone() bool {
	if w.rawConn == nil {
		return false
	}
	gone := false
	err := w.rawConn.Control(func(fd uintptr) { gone = isTCPClosing(fd) || isAtEnd(fd) })
	return gone || err != nil
}

// isTCPClosing reports whether either side has begun to close a TCP connection. It is false for any
// other connection.
func isTCPClosing(fd uintptr) bool {
	// GetsockoptInt returns the first four bytes of struct tcp_info. Its first byte is the state.
	info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	if err != nil {
		return false
	}
	var firstBytes [4]byte
	binary.NativeEndian.PutUint32(firstBytes[:], uint32(info))
	state := firstBytes[0]
	return state != tcpEstablished && state != tcpSynReceived
}

// isAtEnd reports whether a read would return the end of the stream or an error. Unlike the TCP
// state, this works for connections of any kind, but only where no data is unread.
func isAtEnd(fd uintptr) bool {
	n, err := peekByte(fd)
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
		return false
	}
	return err != nil || n == 0
}

// hasUnreadBytes reports whether data has arrived that nobody has read.
func (w *disconnectWatcher) hasUnreadBytes() bool {
	if w.rawConn == nil {
		return false
	}
	n := 0
	err := w.rawConn.Control(func(fd uintptr) { n, _ = peekByte(fd) })
	return err == nil && n > 0
}

// peekByte reads a byte without consuming it. It does not wait.
func peekByte(fd uintptr) (n int, err error) {
	var b [1]byte
	n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
