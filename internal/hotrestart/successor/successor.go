// Package successor starts a successor of this process that serves at the same sockets, and takes them over from a predecessor.
// The kernel keeps one queue of connections for a socket, whoever holds it: between the two nothing is refused and nothing lost.
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

const (
	variable   = "ROWANCART_INHERIT"
	firstExtra = 3 // descriptors of a child begin after its standard ones
	ready      = "ready\n"
	killAfter  = time.Second // a successor that is to end gets this long for it
)

// ErrNotReady says that a successor was started and did not say in time that it serves. It has been ended.
var ErrNotReady = errors.New("the successor did not get ready in time")

// sockets says which descriptor is for which address; Ready is the pipe on which readiness is told.
type sockets struct {
	Addresses map[string]int `json:"addresses"`
	Ready     int            `json:"ready"`
}

// Predecessor is what a process has from the one before it.
type Predecessor struct {
	files map[string]*os.File
	ready *os.File
}

// Inherit takes over what a predecessor hands on; without one there is nothing in it. It must be called once, before the process
// starts others: they would inherit what they have no use for.
func Inherit() (*Predecessor, error) {
	p := &Predecessor{files: map[string]*os.File{}}
	text, told := os.LookupEnv(variable)
	if !told {
		return p, nil
	}
	_ = os.Unsetenv(variable) // its name is good
	var s sockets
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		return nil, fmt.Errorf("handover: %s: %w", variable, err)
	}
	for address, fd := range s.Addresses {
		syscall.CloseOnExec(fd)
		p.files[address] = os.NewFile(uintptr(fd), address)
	}
	if s.Ready > 0 {
		syscall.CloseOnExec(s.Ready)
		p.ready = os.NewFile(uintptr(s.Ready), "ready")
	}
	return p, nil
}

// Listener gives the predecessor's socket for an address, nil if it had none.
func (p *Predecessor) Listener(address string) (net.Listener, error) {
	f := p.files[address]
	if f == nil {
		return nil, nil
	}
	delete(p.files, address)
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("handover: %s: %w", address, err)
	}
	return l, nil
}

// Ready tells the predecessor that this process serves, and lets go of the sockets that nobody asked for.
func (p *Predecessor) Ready() error {
	for address, f := range p.files {
		f.Close()
		delete(p.files, address)
	}
	if p.ready == nil {
		return nil
	}
	_, err := p.ready.WriteString(ready)
	err = errors.Join(err, p.ready.Close())
	p.ready = nil
	if errors.Is(err, syscall.EPIPE) {
		return nil // the predecessor is gone already: there is nobody to tell
	}
	return err
}

// share gives another descriptor of a listener's socket. Its File method would not do: the exec package makes what comes from
// there blocking, and with it the listener itself, which is the same socket and could not be closed any more.
func share(l net.Listener) (*os.File, error) {
	c, ok := l.(syscall.Conn)
	if !ok {
		return nil, errors.New("this kind of listener can't be handed on")
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	var fd int
	var failed error
	if err := raw.Control(func(old uintptr) { fd, failed = unix.FcntlInt(old, unix.F_DUPFD_CLOEXEC, 0) }); err != nil || failed != nil {
		return nil, errors.Join(err, failed)
	}
	return os.NewFile(uintptr(fd), l.Addr().String()), nil
}

// Successor is a process that was started at the sockets of this one, and may not serve yet.
type Successor struct {
	Pid       int
	command   *exec.Cmd
	told      *os.File // where it says that it serves
	listeners map[string]net.Listener
}

// Start starts a command as the successor at the sockets of listeners, by their addresses. From its return on the successor
// holds the sockets, whatever becomes of this process. Wait must follow.
func Start(command *exec.Cmd, listeners map[string]net.Listener) (*Successor, error) {
	s := sockets{Addresses: map[string]int{}}
	var files []*os.File
	defer func() {
		for _, f := range files {
			f.Close() // that of the pipe above all: else the end of the successor would not show there
		}
	}()
	for address, l := range listeners {
		f, err := share(l)
		if err != nil {
			return nil, fmt.Errorf("handover: %s: %w", address, err)
		}
		s.Addresses[address] = firstExtra + len(files)
		files = append(files, f)
	}
	told, tells, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	s.Ready = firstExtra + len(files)
	files = append(files, tells)
	text, err := json.Marshal(s)
	if err != nil {
		told.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	if command.Env == nil {
		command.Env = os.Environ()
	}
	command.Env = append(command.Env, variable+"="+string(text))
	command.ExtraFiles = files
	if err := command.Start(); err != nil {
		told.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return &Successor{Pid: command.Process.Pid, command: command, told: told, listeners: listeners}, nil
}

// Wait waits until the successor serves. When it does not within the time given, or ctx ends, it is ended and the listeners
// stay with this process alone.
func (s *Successor) Wait(ctx context.Context, within time.Duration) error {
	defer s.told.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.command.Wait() // a successor that serves outlives this process, as a rule
	}()
	_ = s.told.SetReadDeadline(time.Now().Add(within))
	stop := context.AfterFunc(ctx, func() { _ = s.told.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	line, err := bufio.NewReader(s.told).ReadString('\n')
	if line == ready {
		for _, l := range s.listeners {
			if u, ok := l.(*net.UnixListener); ok {
				u.SetUnlinkOnClose(false) // the path is the successor's now
			}
		}
		return nil
	}
	_ = s.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(killAfter):
		_ = s.command.Process.Kill()
		<-ended
	}
	if ctx.Err() != nil {
		return fmt.Errorf("handover: %w", ctx.Err())
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("handover: process %d: %w: %v", s.Pid, ErrNotReady, within)
	}
	return fmt.Errorf("handover: process %d ended before it served: %v", s.Pid, s.command.ProcessState)
}
