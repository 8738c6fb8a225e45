package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
)

// InheritedListener gives the listening socket that this process has inherited as the descriptor told.
func InheritedListener(descriptor string) (net.Listener, error) {
	fd, err := strconv.Atoi(descriptor)
	if err != nil || fd < 0 {
		return nil, fmt.Errorf("%.40q is no descriptor", descriptor)
	}
	listens, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	switch {
	case errors.Is(err, syscall.EBADF):
		return nil, fmt.Errorf("descriptor %d is not open", fd)
	case err != nil:
		return nil, fmt.Errorf("descriptor %d is no socket: %w", fd, err)
	case listens == 0:
		return nil, fmt.Errorf("descriptor %d is a socket that does not listen", fd)
	}
	f := os.NewFile(uintptr(fd), "inherited listener")
	defer f.Close() // the listener has a descriptor of its own
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	return l, nil
}
