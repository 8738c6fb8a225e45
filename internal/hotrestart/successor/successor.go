// Package successor starts a successor of this process that serves at the same listening sockets,
// and in the successor takes them over from its predecessor.
//
// The kernel keeps one queue of connections for a listening socket, however many processes have a
// descriptor of it. Between the two processes no connection is refused, and none is lost. The
// successor gets the sockets as extra descriptors, and a variable of its environment says which is
// which. It reports on a pipe that it serves: a pipe that closes before means that it has ended.
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

// The protocol between the two processes. They may be of different versions, so it must not change.
const (
	inheritVariable = "ROWANCART_INHERIT" // of the environment: an inheritance in JSON
	readyMessage    = "ready\n"
)

// inheritance says which descriptor the successor inherits for what.
type inheritance struct {
	Addresses map[string]int `json:"addresses"` // listening sockets
	Ready     int            `json:"ready"`     // the pipe on which readiness is reported
}

const (
	// firstExtraFD is the descriptor of the first extra file of a child, after its standard ones.
	firstExtraFD = 3
	// killDelay is the time from SIGTERM to SIGKILL for a successor that didn't get ready.
	killDelay = time.Second
)

// ErrNotReady says that a successor was started but did not report in time that it serves. It has
// been ended.
var ErrNotReady = errors.New("the successor did not get ready in time")

// Successor is a process that was started with the sockets of this one, and may not serve yet.
type Successor struct {
	Pid       int
	command   *exec.Cmd
	ready     *os.File // the end of the pipe that is read
	listeners map[string]net.Listener
}

// Start starts a command as the successor with the sockets of listeners, which are by address. Once
// Start has returned the successor holds the sockets, whatever becomes of this process. The caller
// must call Wait.
func Start(command *exec.Cmd, listeners map[string]net.Listener) (*Successor, error) {
	var extra []*os.File // what the child inherits
	defer func() {
		// Above all the writing end of the pipe: while this process has it open, the end of the
		// successor doesn't close the pipe.
		for _, f := range extra {
			f.Close()
		}
	}()
	passedOn := inheritance{Addresses: map[string]int{}}
	for address, l := range listeners {
		f, err := duplicateSocket(l)
		if err != nil {
			return nil, fmt.Errorf("handover: %s: %w", address, err)
		}
		passedOn.Addresses[address] = firstExtraFD + len(extra)
		extra = append(extra, f)
	}
	ready, reportReady, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	passedOn.Ready = firstExtraFD + len(extra)
	extra = append(extra, reportReady)
	if err := startWith(command, passedOn, extra); err != nil {
		ready.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return &Successor{Pid: command.Process.Pid, command: command, ready: ready, listeners: listeners}, nil
}

// startWith starts a command that inherits the extra files. Its environment says which is which.
func startWith(command *exec.Cmd, passedOn inheritance, extra []*os.File) error {
	text, err := json.Marshal(passedOn)
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
// would not do: the exec package makes such a file blocking, and with it the listener itself, which
// is the same socket and could then not be closed any more.
func duplicateSocket(l net.Listener) (*os.File, error) {
	conn, ok := l.(syscall.Conn)
	if !ok {
		return nil, errors.New("this kind of listener can't be handed on")
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

// Wait returns nil once the successor has reported that it serves. Where it doesn't within the
// timeout, or ends, or ctx ends, Wait ends it and returns an error; this process is then the only
// one that listens. The error wraps ErrNotReady after the timeout, and that of ctx if it ended.
func (s *Successor) Wait(ctx context.Context, timeout time.Duration) error {
	defer s.ready.Close()
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		_ = s.command.Wait() // a successor that serves normally outlives this process
	}()
	err := s.awaitReady(ctx, timeout)
	if err == nil {
		s.giveUpPaths()
		return nil
	}
	s.terminate(exited)
	if ctx.Err() != nil {
		return fmt.Errorf("handover: %w", ctx.Err())
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("handover: process %d: %w: %v", s.Pid, ErrNotReady, timeout)
	}
	return fmt.Errorf("handover: process %d ended before it served: %v", s.Pid, s.command.ProcessState)
}

var errOtherMessage = errors.New("the successor reported something else than readiness")

// awaitReady returns nil if the successor reports readiness before the timeout and the end of ctx.
func (s *Successor) awaitReady(ctx context.Context, timeout time.Duration) error {
	_ = s.ready.SetReadDeadline(time.Now().Add(timeout))
	longAgo := time.Unix(1, 0)
	stop := context.AfterFunc(ctx, func() { _ = s.ready.SetReadDeadline(longAgo) })
	defer stop()
	line, err := bufio.NewReader(s.ready).ReadString('\n')
	if line == readyMessage {
		return nil
	}
	if err == nil {
		return errOtherMessage
	}
	return err
}

// giveUpPaths leaves the paths of Unix sockets to the successor: the close of a listener in this
// process must not remove them.
func (s *Successor) giveUpPaths() {
	for _, l := range s.listeners {
		if u, ok := l.(*net.UnixListener); ok {
			u.SetUnlinkOnClose(false)
		}
	}
}

// terminate ends the process and returns once it has exited.
func (s *Successor) terminate(exited <-chan struct{}) {
	_ = s.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(killDelay):
		_ = s.command.Process.Kill()
		<-exited
	}
}
