package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"
)

// How often, and for how long, the duplication of a descriptor is retried.
const (
	duplicateRetryInterval = 20 * time.Millisecond
	duplicateRetryTimeout  = 3 * time.Second
)

// Reasons why a text of the configuration does not name an inherited listening socket.
var (
	ErrNotDescriptor = errors.New("not a file descriptor")
	ErrNotOpen       = errors.New("not open")
	ErrNotSocket     = errors.New("not a socket")
	ErrNotListening  = errors.New("not a listening socket")
)

// InheritedListener returns a listener on the socket that this process has inherited at a file
// descriptor, given as decimal text. It closes that descriptor. An error is one line; it wraps one
// of the errors above unless the system failed.
func InheritedListener(descriptor string) (net.Listener, error) {
	fd, err := strconv.Atoi(descriptor)
	if err != nil || fd < 0 {
		return nil, fmt.Errorf("%.40q is %w", descriptor, ErrNotDescriptor)
	}
	isListening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	switch {
	case errors.Is(err, syscall.EBADF):
		return nil, fmt.Errorf("descriptor %d is %w", fd, ErrNotOpen)
	case err != nil:
		return nil, fmt.Errorf("descriptor %d is %w: %w", fd, ErrNotSocket, err)
	case isListening == 0:
		return nil, fmt.Errorf("descriptor %d is %w", fd, ErrNotListening)
	}
	file := os.NewFile(uintptr(fd), "inherited listener")
	defer file.Close() // the listener has a descriptor of its own
	listener, err := listenerOf(file)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	return listener, nil
}

// listenerOf is net.FileListener, retried until duplicateRetryTimeout where this machine lacks
// descriptors or memory. The caller closes the file afterwards, so nothing could retry later.
func listenerOf(file *os.File) (net.Listener, error) {
	for began := time.Now(); ; time.Sleep(duplicateRetryInterval) {
		listener, err := net.FileListener(file)
		if !isOutOfResources(err) || time.Since(began) >= duplicateRetryTimeout {
			return listener, err
		}
	}
}

// isOutOfResources reports whether an error says that this machine lacks descriptors or memory.
func isOutOfResources(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOMEM)
}
