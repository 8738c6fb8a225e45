// Package successor passes listening sockets from a process to the successor that it starts.
// Package hotrestart defines the terms.
//
// The kernel keeps one accept queue for a listening socket, however many processes have a
// descriptor of it, so no connection is refused or lost during the process handover. The successor
// inherits the sockets as extra descriptors, and an environment variable assigns the descriptors to
// addresses. The successor writes to a pipe when it serves requests. If the pipe is closed before
// that, the predecessor treats the successor as exited, and terminates it if it still runs.
//
// The package is separate from hotrestart because it starts processes, and the platform's sidecar
// must not link code that does.
package successor

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The protocol between predecessor and successor. The two processes may run different versions of
// the program, so the protocol must not change.
const (
	inheritVariable = "ROWANCART_INHERIT" // environment variable: inheritedDescriptors in JSON
	readyMessage    = "ready\n"
)

// inheritedDescriptors holds the numbers of the inherited descriptors.
type inheritedDescriptors struct {
	Addresses map[string]int `json:"addresses"`       // listening sockets, by address
	Files     map[string]int `json:"files,omitempty"` // other files, by name; a predecessor may pass none
	Ready     int            `json:"ready"`           // write end of the pipe on which the successor reports readiness
}

const (
	// firstExtraFD is the first extra descriptor of a child, after the three standard ones.
	firstExtraFD = 3
	// killDelay is the time between SIGTERM and SIGKILL for a successor that did not become ready.
	killDelay = time.Second
)

// Errors returned by Wait. In both cases the successor has exited.
var (
	// ErrNotReady is returned if the timeout has expired. Wait terminated the successor.
	ErrNotReady = errors.New("successor not ready in time")
	// ErrExited is returned if the successor exited before it was ready. It is also returned if the
	// successor closed the pipe or sent an unexpected message; Wait then terminated it.
	ErrExited = errors.New("successor exited before it was ready")
)

// Successor is a process that was started with the listening sockets of this process. It may not
// serve requests yet.
type Successor struct {
	Pid       int
	command   *exec.Cmd
	ready     *os.File // read end of the readiness pipe
	listeners map[string]net.Listener
}

// Start starts a command as the successor. It inherits the sockets of the listeners, which are
// keyed by address, and keeps them open even if this process exits. It also inherits files, which
// are keyed by name. The caller must call Wait.
func Start(command *exec.Cmd, listeners map[string]net.Listener, files map[string]*os.File) (*Successor, error) {
	var extra []*os.File // inherited by the successor
	defer func() {
		// This closes the write end of the readiness pipe too: while this process holds it open,
		// the exit of the successor does not close the pipe.
		for _, f := range extra {
			f.Close()
		}
	}()
	inherited := inheritedDescriptors{Addresses: map[string]int{}, Files: map[string]int{}}
	for address, l := range listeners {
		f, err := duplicateSocket(l)
		if err != nil {
			return nil, fmt.Errorf("handover: %s: %w", address, err)
		}
		inherited.Addresses[address] = firstExtraFD + len(extra)
		extra = append(extra, f)
	}
	for name, file := range files {
		f, err := duplicateDescriptor(file, name)
		if err != nil {
			return nil, fmt.Errorf("handover: %s: %w", name, err)
		}
		inherited.Files[name] = firstExtraFD + len(extra)
		extra = append(extra, f)
	}
	ready, readyWriter, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	inherited.Ready = firstExtraFD + len(extra)
	extra = append(extra, readyWriter)
	if err := startInheriting(command, inherited, extra); err != nil {
		ready.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return &Successor{Pid: command.Process.Pid, command: command, ready: ready, listeners: listeners}, nil
}

// startInheriting starts a command that inherits the extra files, and describes them in its
// environment.
func startInheriting(command *exec.Cmd, inherited inheritedDescriptors, extra []*os.File) error {
	text, err := json.Marshal(inherited)
	if err != nil {
		return err
	}
	if command.Env == nil {
		command.Env = os.Environ()
	}
	command.Env = append(command.Env, inheritVariable+"="+string(text))
	command.ExtraFiles = extra
	return command.Start()
}

// duplicateSocket duplicates the descriptor of a listener's socket. The listener's File method
// can't be used: os/exec sets such a file to blocking mode. The listener shares the socket, so
// it would become blocking too and could no longer be closed.
func duplicateSocket(l net.Listener) (*os.File, error) {
	conn, ok := l.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("listener of type %T has no socket that can be inherited", l)
	}
	return duplicateDescriptor(conn, l.Addr().String())
}

// duplicateDescriptor returns a file with the given name for a duplicate of a descriptor.
func duplicateDescriptor(conn syscall.Conn, name string) (*os.File, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	var fd int
	var dupErr error
	err = raw.Control(func(old uintptr) { fd, dupErr = unix.FcntlInt(old, unix.F_DUPFD_CLOEXEC, 0) })
	if err != nil || dupErr != nil {
		return nil, errors.Join(err, dupErr)
	}
	return os.NewFile(uintptr(fd), name), nil
}

// Wait returns nil once the successor has reported that it serves requests. If the timeout expires,
// the successor exits or ctx ends first, Wait terminates the successor and returns an error that
// wraps ErrNotReady, ErrExited or the error of ctx. This process is then the only one that listens.
func (s *Successor) Wait(ctx context.Context, timeout time.Duration) error {
	defer s.ready.Close()
	exited := make(chan struct{})
	// This goroutine runs until the successor exits. Normally the successor outlives this process.
	go func() {
		defer close(exited)
		_ = s.command.Wait()
	}()
	err := s.awaitReady(ctx, timeout)
	if err == nil {
		s.keepSocketPaths()
		return nil
	}
	s.terminate(exited)
	if ctx.Err() != nil {
		return fmt.Errorf("handover: %w", ctx.Err())
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("handover: process %d: %w: limit %v", s.Pid, ErrNotReady, timeout)
	}
	return fmt.Errorf("handover: process %d: %w: %v", s.Pid, ErrExited, s.command.ProcessState)
}

var errUnexpectedMessage = errors.New("unexpected message on the readiness pipe")

// awaitReady returns nil if the successor reports readiness before the timeout expires or ctx ends.
func (s *Successor) awaitReady(ctx context.Context, timeout time.Duration) error {
	_ = s.ready.SetReadDeadline(time.Now().Add(timeout))
	expired := time.Unix(1, 0) // ends a read at once
	stop := context.AfterFunc(ctx, func() { _ = s.ready.SetReadDeadline(expired) })
	defer stop()
	line, err := bufio.NewReader(s.ready).ReadString('\n')
	if line == readyMessage {
		return nil
	}
	if err == nil {
		return errUnexpectedMessage
	}
	return err
}

// keepSocketPaths prevents the Unix listeners of this process from removing their socket paths when
// they are closed: the successor uses the paths.
func (s *Successor) keepSocketPaths() {
	for _, l := range s.listeners {
		if u, ok := l.(*net.UnixListener); ok {
			u.SetUnlinkOnClose(false)
		}
	}
}

// terminate sends SIGTERM and, after killDelay, SIGKILL. It returns once the process has exited.
func (s *Successor) terminate(exited <-chan struct{}) {
	_ = s.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(killDelay):
		_ = s.command.Process.Kill()
		<-exited
	}
}
