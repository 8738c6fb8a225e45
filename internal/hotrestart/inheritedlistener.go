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

// Interval and total time of the retries when a descriptor cannot be duplicated.
const (
	duplicateRetryInterval = 20 * time.Millisecond
	duplicateRetryTimeout  = 3 * time.Second
)

// Reasons why InheritedListener rejects the configured descriptor.
var (
	ErrNotDescriptor = errors.New("not a file descriptor")
	ErrNotOpen       = errors.New("not open")
	ErrNotSocket     = errors.New("not a socket")
	ErrNotListening  = errors.New("not a listening socket")
)

// InheritedListener returns a listener on the socket that this process has inherited as the given
// file descriptor, a decimal number. It closes that descriptor unless it rejects it. Error messages
// are a single line. An error wraps one of the errors above, unless the descriptor is a listening
// socket and net.FileListener failed.
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
	defer file.Close() // the listener has its own descriptor
	listener, err := fileListenerWithRetry(file)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	return listener, nil
}

// fileListenerWithRetry calls net.FileListener. While the machine is out of descriptors or memory,
// it retries until duplicateRetryTimeout. The caller closes the file afterwards, so a later retry
// is impossible.
func fileListenerWithRetry(file *os.File) (net.Listener, error) {
	for start := time.Now(); ; time.Sleep(duplicateRetryInterval) {
		listener, err := net.FileListener(file)
		if !isOutOfResources(err) || time.Since(start) >= duplicateRetryTimeout {
			return listener, err
		}
	}
}

// isOutOfResources reports whether err means that the machine is out of descriptors or memory.
func isOutOfResources(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOMEM)
}
