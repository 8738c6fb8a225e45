package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"rowancart/internal/platform"
)

// The figures of the settings that the checker and the clients need, too.
const (
	longestDeadline  = time.Second
	keyWindow        = 400 * time.Millisecond
	warmupDuration   = 3 * time.Second
	initialShare     = 0.31
	overloadMultiple = 4
	overloadWindow   = time.Second
)

const (
	killDelay   = longestDeadline + 700*time.Millisecond // after SIGTERM, at the earliest
	descriptors = 256
	readyLimit  = 6 * time.Second
)

// settings returns the settings of the sidecar with an index. Deadlines are short, so that SIGKILL
// comes soon.
func settings(index int) platform.SettingsObject {
	const latencyObjective = 600 * time.Millisecond
	class := func(name, idempotency string) platform.ClassSettings {
		return platform.ClassSettings{
			Name:               name,
			Idempotency:        idempotency,
			LatencyObjectiveUs: latencyObjective.Microseconds(),
			MaxDeadlineUs:      longestDeadline.Microseconds(),
		}
	}
	book := class("book", platform.IdempotencyKeyed)
	book.KeyScope = platform.KeyScopeAll
	book.KeyWindowUs = keyWindow.Microseconds()
	return platform.SettingsObject{
		Instances: sidecarCount,
		Index:     index,
		Classes: []platform.ClassSettings{
			class("look", platform.Idempotent),
			class("pay", platform.NonIdempotent),
			book,
		},
		Permissions: platform.Permissions{
			CancelAllowed:     true,
			RetryAfterAllowed: true,
			MaxAttempts:       4,
			MaxRetryAfterUs:   (300 * time.Millisecond).Microseconds(),
			DialTimeoutUs:     (250 * time.Millisecond).Microseconds(),
			ConnIdleUs:        (3 * time.Second).Microseconds(),
		},
		EndpointBehavior: platform.EndpointBehavior{
			SlowStartCapacity: initialShare,
			SlowStartWindowUs: warmupDuration.Microseconds(),
			DrainGraceUs:      drainGrace.Microseconds(),
			OverloadMultiple:  platform.WriteOnly[float64]{Value: overloadMultiple},
			OverloadWindowUs:  platform.WriteOnly[int64]{Value: overloadWindow.Microseconds()},
		},
	}
}

// sidecar is one sidecar, of which two processes may run: the platform holds its listening socket.
type sidecar struct {
	index     int
	program   string
	dir       string // its configuration file and TMPDIR
	listener  *os.File
	addr      string
	checker   *checker
	discovery *discovery
	processes []*process // those that have been started
}

// process is one process of a sidecar.
type process struct {
	*exec.Cmd
	adminAddr string
	exited    chan struct{}
	exitErr   error // once exited is closed

	mu         sync.Mutex
	log        strings.Builder
	terminated bool // SIGTERM was sent
}

func newSidecar(index int, program, dir string, c *checker, d *discovery) (*sidecar, error) {
	s := &sidecar{
		index:     index,
		program:   program,
		dir:       filepath.Join(dir, fmt.Sprint("n", index)),
		checker:   c,
		discovery: d,
	}
	if err := os.MkdirAll(s.tempDir(), 0o700); err != nil {
		return nil, err
	}
	shared, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer shared.Close()
	s.addr = shared.Addr().String()
	s.listener, err = shared.(*net.TCPListener).File()
	return s, err
}

func (s *sidecar) name() string       { return fmt.Sprint("n", s.index) }
func (s *sidecar) tempDir() string    { return filepath.Join(s.dir, "tmp") }
func (s *sidecar) configPath() string { return filepath.Join(s.dir, "config.json") }

// writeConfig replaces the configuration file.
func (s *sidecar) writeConfig() error {
	text, err := json.Marshal(platform.ConfigFile{
		Name:      s.name(),
		Listen:    s.addr,
		Discovery: s.discovery.Addr(),
		Seed:      strconv.FormatInt(int64(7+s.index), 16),
		Limits:    platform.ConfigLimits{Cores: 1, MemoryMB: 64, Sockets: descriptors},
		Settings:  settings(s.index),
	})
	if err != nil {
		return err
	}
	next := s.configPath() + ".new"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, s.configPath())
}

// start starts a process and waits until it is ready.
func (s *sidecar) start() (*process, error) {
	if err := s.writeConfig(); err != nil {
		return nil, err
	}
	p := &process{Cmd: exec.Command(s.program), exited: make(chan struct{})}
	p.Env = []string{
		platform.EnvConfig + "=" + s.configPath(),
		platform.EnvAdminAddr + "=127.0.0.1:0",
		platform.EnvAcceptFD + "=3",
		platform.EnvSharedDir + "=" + s.tempDir(),
	}
	p.ExtraFiles = []*os.File{s.listener}
	stderr, err := p.StderrPipe()
	if err != nil {
		return nil, err
	}
	began := time.Now()
	if err := p.Start(); err != nil {
		return nil, err
	}
	s.processes = append(s.processes, p)
	adminAddr := make(chan string, 1)
	go p.readLog(stderr, adminAddr)
	select {
	case p.adminAddr = <-adminAddr:
	case <-p.exited:
		return nil, fmt.Errorf("exited at its start: %w", p.exitErr)
	}
	for {
		if p.command("ready").succeeded() {
			return p, nil
		}
		if time.Since(began) > readyLimit {
			return nil, errors.New("not ready in time")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// readLog records the process's log until it exits, and sends the address of its admin interface.
func (p *process) readLog(stderr io.Reader, adminAddr chan<- string) {
	for lines := bufio.NewScanner(stderr); lines.Scan(); {
		p.mu.Lock()
		p.log.WriteString(lines.Text() + "\n")
		p.mu.Unlock()
		if _, text, ok := strings.Cut(lines.Text(), `msg="admin interface listening" `); ok {
			_, addr, _ := strings.Cut(text, "addr=")
			adminAddr <- addr
		}
	}
	p.exitErr = p.Wait()
	close(p.exited)
}

func (p *process) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// adminResponse is the response to an admin command.
type adminResponse struct {
	line string // the first one, or an error
	took time.Duration
}

func (r adminResponse) succeeded() bool { return strings.HasPrefix(r.line, "SUCCESS") }
func (r adminResponse) failed() bool    { return strings.HasPrefix(r.line, "FAILURE") }

// command sends a command to the admin interface.
func (p *process) command(line string) adminResponse {
	began := time.Now()
	response, err := p.exchange(line, began.Add(3*adminLimit))
	if err != nil {
		response = err.Error()
	}
	return adminResponse{response, time.Since(began)}
}

// exchange sends a command and returns the first line of the response.
func (p *process) exchange(line string, deadline time.Time) (string, error) {
	conn, err := net.DialTimeout("tcp", p.adminAddr, time.Until(deadline))
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(deadline)
	_, _ = io.WriteString(conn, line+"\n")
	return bufio.NewReader(conn).ReadString('\n')
}

// adminCommand sends a command that has to be responded to in time, and reports whether it
// succeeded.
func (s *sidecar) adminCommand(p *process, line string) bool {
	began := time.Now()
	response := p.command(line)
	isLate := response.took > adminLimit+s.checker.allowance(began)
	if isLate || !response.succeeded() && !response.failed() {
		s.checker.recordViolation(ruleAdmin, "%s: %q after %v", line, response.line, response.took)
	}
	return response.succeeded()
}

// reload replaces the configuration and sends SIGHUP n times.
func (s *sidecar) reload(p *process, n int) error {
	s.discovery.extendGrace(reloadGrace)
	if err := s.writeConfig(); err != nil {
		return err
	}
	for range n {
		if err := p.Process.Signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	return nil
}

// terminate sends SIGTERM so many times, and SIGKILL at the earliest moment that is allowed.
func (s *sidecar) terminate(p *process, signals int) {
	p.mu.Lock()
	p.terminated = true
	p.mu.Unlock()
	for range signals {
		_ = p.Process.Signal(syscall.SIGTERM)
	}
	select {
	case <-p.exited:
	case <-time.After(killDelay):
		s.checker.count("killed")
		_ = p.Process.Kill()
		<-p.exited
	}
}

// exhaustDescriptors leaves the process no further descriptors for a while.
func (p *process) exhaustDescriptors(d time.Duration) {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	if err != nil {
		return
	}
	var before unix.Rlimit
	if unix.Prlimit(p.Process.Pid, unix.RLIMIT_NOFILE, nil, &before) != nil {
		return
	}
	exhausted := unix.Rlimit{Cur: uint64(len(open)), Max: before.Max}
	if unix.Prlimit(p.Process.Pid, unix.RLIMIT_NOFILE, &exhausted, nil) != nil {
		return
	}
	time.Sleep(d)
	_ = unix.Prlimit(p.Process.Pid, unix.RLIMIT_NOFILE, &before, nil)
}

// breakSharedDir makes the sidecar's shared directory fail for a while.
func (s *sidecar) breakSharedDir(d time.Duration) error {
	path := filepath.Join(s.tempDir(), "rowancart-"+s.name())
	moved := filepath.Join(s.dir, "moved")
	if err := os.Rename(path, moved); err != nil {
		return err
	}
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		return err
	}
	time.Sleep(d)
	if err := os.Remove(path); err != nil {
		return err
	}
	return os.Rename(moved, path)
}

// checkProcesses checks that the processes have ended without a crash and left nothing behind.
func (s *sidecar) checkProcesses() {
	for _, p := range s.processes {
		s.checkProcess(p)
	}
	left, _ := filepath.Glob(filepath.Join(s.tempDir(), "*", "*"))
	for _, path := range left {
		switch name := filepath.Base(path); {
		case name == "bans", name == "learned":
		default:
			s.checker.recordViolation(ruleCleanup, "%s is left behind", path)
		}
	}
}

func (s *sidecar) checkProcess(p *process) {
	select {
	case <-p.exited:
	default:
		s.checker.recordViolation(ruleCleanup, "process %d still runs", p.Process.Pid)
		return
	}
	var exit *exec.ExitError
	killed := errors.As(p.exitErr, &exit) && exit.Sys().(syscall.WaitStatus).Signal() == syscall.SIGKILL
	if p.exitErr != nil && !(p.terminated && killed) {
		s.checker.recordViolation(ruleCleanup, "process %d ended with %v:\n%s", p.Process.Pid, p.exitErr, p.logText())
	}
	if strings.Contains(p.logText(), "request panicked") {
		s.checker.recordViolation(ruleCleanup, "process %d: %s", p.Process.Pid, p.logText())
	}
}
