package httpserver

import (
	"encoding/binary"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const lookEvery = 100 * time.Millisecond // between two looks whether a caller is still there

// lookout looks out for a caller that leaves before it has its answer. It serves one request after the other.
//
// It asks the kernel how the connection stands and reads nothing. A read would see a caller leave sooner, but not behind bytes that
// were sent ahead, nor while reading is paused for an endpoint that is slow to take a body: what is unread hides the end behind it.
type lookout struct {
	raw syscall.RawConn // nil: there is no way to look

	mu    sync.Mutex // held while leave is called: on return from stop nobody is told of this caller any more
	timer *time.Timer
	leave func() // nil: no request waits
	left  bool   // the caller has, of which leave was told
}

// of says whose caller is looked out for.
func (w *lookout) of(c net.Conn) {
	if s, ok := c.(syscall.Conn); ok {
		w.raw, _ = s.SyscallConn()
	}
}

// start calls leave once when the caller leaves, until stop.
func (w *lookout) start(leave func()) {
	if w.raw == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leave = leave
	if w.timer == nil {
		w.timer = time.AfterFunc(lookEvery, w.look)
		return
	}
	w.timer.Reset(lookEvery)
}

func (w *lookout) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.leave == nil:
	case w.gone():
		w.left = true
		w.leave()
		w.leave = nil
	default:
		w.timer.Reset(lookEvery)
	}
}

// stop ends the look-out, and tells whether the caller was seen to leave: then nothing more is to be read off its connection.
func (w *lookout) stop() (left bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leave = nil
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.left
}

// The states of a connection of which neither side has ended anything (TCP_ESTABLISHED and TCP_SYN_RECV in Linux's tcp_states.h): one
// may be accepted a moment before it is established.
const (
	established = 1
	synReceived = 3
)

// gone tells whether the caller has left: it has ended its side of the connection or broken it, or the connection was cut off here,
// at the end of the process's time.
func (w *lookout) gone() bool {
	if w.raw == nil {
		return false
	}
	gone := false
	err := w.raw.Control(func(fd uintptr) {
		var first [4]byte
		if info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO); err == nil {
			binary.NativeEndian.PutUint32(first[:], uint32(info)) // struct tcp_info begins with the state, in a byte
			gone = first[0] != established && first[0] != synReceived
		}
		switch n, err := peek(fd); { // where nothing is unread, the end shows here as well, whatever the connection is made of
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		case err != nil || n == 0:
			gone = true
		}
	})
	return gone || err != nil
}

// pending tells whether bytes have come that nobody has read.
func (w *lookout) pending() bool {
	if w.raw == nil {
		return false
	}
	n := 0
	err := w.raw.Control(func(fd uintptr) { n, _ = peek(fd) })
	return err == nil && n > 0
}

// peek looks at the next byte and leaves it there.
func peek(fd uintptr) (n int, err error) {
	var b [1]byte
	n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
