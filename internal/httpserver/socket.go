package httpserver

import (
	"encoding/binary"
	"errors"
	"net"
	"syscall"
	"time"
	"unsafe"
)

const (
	// tcpInfoLastDataRecv is the offset of tcpi_last_data_recv in Linux's struct tcp_info: the time
	// since data was last received, in ms.
	tcpInfoLastDataRecv = 52
	tcpInfoSize         = tcpInfoLastDataRecv + 4

	// maxUnreadAge is the longest plausible age of unread data. A higher age is treated as unknown.
	maxUnreadAge = time.Minute
)

// The states of a connection that neither side has begun to close (Linux's tcp_states.h). A
// connection may be accepted a moment before it is established.
const (
	tcpEstablished = 1 // TCP_ESTABLISHED
	tcpSynReceived = 3 // TCP_SYN_RECV
)

// socket queries the kernel for the state of a connection. It consumes no data, so it can be used
// while another goroutine reads or writes. The zero socket has no connection, and its state is
// unknown.
type socket struct {
	rawConn syscall.RawConn // nil: the connection cannot be queried
}

// socketOf returns the socket of a connection.
func socketOf(nc net.Conn) socket {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return socket{}
	}
	rawConn, err := sc.SyscallConn()
	if err != nil {
		return socket{}
	}
	return socket{rawConn}
}

// unreadAge returns the time since data was last received, or 0 if that is unknown. Data that was
// just read has waited in the kernel for at least that long.
func (s socket) unreadAge() time.Duration {
	if s.rawConn == nil {
		return 0
	}
	var age time.Duration
	if s.rawConn.Control(func(fd uintptr) { age = sinceLastData(fd) }) != nil || age > maxUnreadAge {
		return 0
	}
	return age
}

// unreadBytes returns how many bytes have been received and not read, or 0 if that is unknown.
func (s socket) unreadBytes() int64 {
	if s.rawConn == nil {
		return 0
	}
	var n int32
	_ = s.rawConn.Control(func(fd uintptr) { // if it fails, n stays 0
		_, _, _ = syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCINQ, uintptr(unsafe.Pointer(&n)))
	})
	return int64(max(n, 0))
}

// hasUnreadBytes reports whether data has been received and not read.
func (s socket) hasUnreadBytes() bool {
	if s.rawConn == nil {
		return false
	}
	n := 0
	err := s.rawConn.Control(func(fd uintptr) { n, _ = peekByte(fd) })
	return err == nil && n > 0
}

// isDisconnected reports whether the peer has closed its side of the connection or reset it. It is
// also true if this side has closed the connection, at the end of the process.
func (s socket) isDisconnected() bool {
	if s.rawConn == nil {
		return false
	}
	disconnected := false
	err := s.rawConn.Control(func(fd uintptr) { disconnected = isTCPClosing(fd) || isAtEnd(fd) })
	return disconnected || err != nil
}

// sinceLastData returns the time since a TCP connection last received data, in whole
// milliseconds. It returns 0 if the descriptor is not a TCP socket.
func sinceLastData(fd uintptr) time.Duration {
	var info [tcpInfoSize]byte
	size := uint32(len(info))
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	if errno != 0 || size < tcpInfoSize {
		return 0
	}
	return time.Duration(binary.NativeEndian.Uint32(info[tcpInfoLastDataRecv:])) * time.Millisecond
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

// isAtEnd reports whether a read would return the end of the stream or an error. Unlike
// isTCPClosing, it works for connections of any kind, but only if there is no unread data.
func isAtEnd(fd uintptr) bool {
	n, err := peekByte(fd)
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
		return false
	}
	return err != nil || n == 0
}

// peekByte reads a byte without consuming it. It does not block.
func peekByte(fd uintptr) (n int, err error) {
	var b [1]byte
	n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
