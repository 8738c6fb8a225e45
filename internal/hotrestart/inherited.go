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

const (
	duplicateRetryInterval = 20 * time.Millisecond
	duplicateRetryTimeout  = 3 * time.Second
)

// InheritedListener returns a listener of the socket that this process has inherited at a file
// descriptor, given as decimal text. It takes over the descriptor. The error says, in one line, why
// the descriptor can't be used: it comes from the configuration.
func InheritedListener(descriptor string) (net.Listener, error) {
	fd, err := strconv.Atoi(descriptor)
	if err != nil || fd < 0 {
		return nil, fmt.Errorf("%.40q is no descriptor", descriptor)
	}
	isListening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	switch {
	case errors.Is(err, syscall.EBADF):
		return nil, fmt.Errorf("descriptor %d is not open", fd)
	case err != nil:
		return nil, fmt.Errorf("descriptor %d is no socket: %w", fd, err)
	case isListening == 0:
		return nil, fmt.Errorf("descriptor %d is a socket that does not listen", fd)
	}
	file := os.NewFile(uintptr(fd), "inherited listener")
	defer file.Close() // the listener has a descriptor of its own
	listener, err := listenerOf(file)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	return listener, nil
}

// listenerOf is net.FileListener, tried again for a moment where this machine lacks a descriptor or
// memory: the caller closes the file, so that nobody else can.
func listenerOf(file *os.File) (net.Listener, error) {
	for began := time.Now(); ; time.Sleep(duplicateRetryInterval) {
		listener, err := net.FileListener(file)
		lacking := errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOMEM)
		if !lacking || time.Since(began) >= duplicateRetryTimeout {
			return listener, err
		}
	}
}
