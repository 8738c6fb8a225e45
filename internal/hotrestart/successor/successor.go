// Package successor passes listening sockets from a process to the successor that it starts.
// Package hotrestart defines the terms.
//
// The kernel keeps one queue of connections for a listening socket, however many processes have a
// descriptor of it, so no connection is refused or lost during the process handover. The successor
// inherits the sockets as extra descriptors, and an environment variable says which is which. It
// reports on a pipe that it serves; if the pipe is closed first, it has exited.
//
// It is a package apart from hotrestart because it starts processes, which the platform's sidecar
// must not link.
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

// The protocol between predecessor and successor. They may be of different versions, so it must not
// change.
const (
	inheritVariable = "ROWANCART_INHERIT" // environment variable: an inheritance in JSON
	readyMessage    = "ready\n"
)

// inheritance says what each inherited descriptor is.
type inheritance struct {
	Addresses map[string]int `json:"addresses"` // listening sockets, by address
	Ready     int            `json:"ready"`     // the pipe on which readiness is reported
}

const (
	// firstExtraFD is the descriptor of the first extra file of a child, after its standard ones.
	firstExtraFD = 3
	// killDelay is the time from SIGTERM to SIGKILL for a successor that has not become ready.
	killDelay = time.Second
)

// Errors of Wait. In both cases the successor has exited.
var (
	ErrNotReady = errors.New("successor not ready in time")          // it was terminated
	ErrExited   = errors.New("successor exited before it was ready") // or reported no readiness, and was terminated
)

// Successor is a process that was started with the sockets of this one. It may not serve yet.
type Successor struct {
	Pid       int
	command   *exec.Cmd
	ready     *os.File // the read end of the pipe
	listeners map[string]net.Listener
}

// Start starts a command as the successor, which inherits the sockets of the listeners, given by
// address. From then on the successor has the sockets, even if this process exits. The caller must
// call Wait.
func Start(command *exec.Cmd, listeners map[string]net.Listener) (*Successor, error) {
	var extra []*os.File // inherited by the successor
	defer func() {
		// This includes the write end of the pipe: while this process has it open, the exit of the
		// successor does not close the pipe.
		for _, f := range extra {
			f.Close()
		}
	}()
	inherited := inheritance{Addresses: map[string]int{}}
	for address, l := range listeners {
		f, err := duplicateSocket(l)
		if err != nil {
			return nil, fmt.Errorf("handover: %s: %w", address, err)
		}
		inherited.Addresses[address] = firstExtraFD + len(extra)
		extra = append(extra, f)
	}
	ready, reportReady, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	inherited.Ready = firstExtraFD + len(extra)
	extra = append(extra, reportReady)
	if err := startInheriting(command, inherited, extra); err != nil {
		ready.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return &Successor{Pid: command.Process.Pid, command: command, ready: ready, listeners: listeners}, nil
}

// startInheriting starts a command that inherits the extra files. Its environment says which is
// which.
func startInheriting(command *exec.Cmd, inherited inheritance, extra []*os.File) error {
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

// duplicateSocket returns another descriptor of a listener's socket. The listener's File method
// can't be used: the exec package makes such a file blocking, and with it the listener, which is
// the same socket and could then no longer be closed.
func duplicateSocket(l net.Listener) (*os.File, error) {
	conn, ok := l.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("a %T has no socket to pass on", l)
	}
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
	return os.NewFile(uintptr(fd), l.Addr().String()), nil
}

// Wait returns nil once the successor has reported that it serves. If it does not within the
// timeout, or exits, or ctx ends, Wait terminates it and returns an error: this process is then the
// only one that listens. The error wraps ErrNotReady, ErrExited or the error of ctx.
func (s *Successor) Wait(ctx context.Context, timeout time.Duration) error {
	defer s.ready.Close()
	exited := make(chan struct{})
	// This goroutine ends with the successor, which normally outlives this process.
	go func() {
		defer close(exited)
		_ = s.command.Wait()
	}()
	err := s.awaitReady(ctx, timeout)
	if err == nil {
		s.leaveSocketPaths()
		return nil
	}
	s.terminate(exited)
	if ctx.Err() != nil {
		return fmt.Errorf("handover: %w", ctx.Err())
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("handover: process %d: %w: %v", s.Pid, ErrNotReady, timeout)
	}
	return fmt.Errorf("handover: process %d: %w: %v", s.Pid, ErrExited, s.command.ProcessState)
}

var errUnexpectedMessage = errors.New("unexpected message in place of readiness")

// awaitReady returns nil if the successor reports readiness before the timeout and the end of ctx.
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

// leaveSocketPaths keeps the close of a Unix listener in this process from removing the path of its
// socket, which is the successor's now.
func (s *Successor) leaveSocketPaths() {
	for _, l := range s.listeners {
		if u, ok := l.(*net.UnixListener); ok {
			u.SetUnlinkOnClose(false)
		}
	}
}

// terminate sends SIGTERM, then SIGKILL after killDelay, and returns once the process has exited.
func (s *Successor) terminate(exited <-chan struct{}) {
	_ = s.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(killDelay):
		_ = s.command.Process.Kill()
		<-exited
	}
}
