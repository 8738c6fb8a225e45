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

// Values of the settings that the checker and the clients also use.
const (
	longestDeadline  = time.Second
	keyWindow        = 400 * time.Millisecond
	warmupDuration   = 3 * time.Second
	initialShare     = 0.31
	overloadMultiple = 4
	overloadWindow   = time.Second
)

const (
	killDelay   = longestDeadline + 700*time.Millisecond // earliest SIGKILL after SIGTERM
	descriptors = 256                                    // limit of descriptors of a sidecar
	readyLimit  = 6 * time.Second                        // from the start of a process until it must be ready
)

// settings returns the settings of the sidecar with the given index. Deadlines are short, so that
// the wait before SIGKILL is short too.
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

// sidecar is one sidecar. Two of its processes may run at the same time, because the test holds the
// listening socket in place of the platform.
type sidecar struct {
	index     int
	program   string
	dir       string // holds the configuration file and TMPDIR
	listener  *os.File
	addr      string
	checker   *checker
	discovery *discovery
	processes []*process // all that have been started
}

// process is one process of a sidecar.
type process struct {
	*exec.Cmd
	adminAddr string
	exited    chan struct{}
	exitErr   error // valid once exited is closed

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

// start starts a new process of the sidecar and waits until it is ready.
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
		return nil, fmt.Errorf("sidecar process exited during start-up: %w", p.exitErr)
	}
	for {
		if p.command("ready").succeeded() {
			return p, nil
		}
		if time.Since(began) > readyLimit {
			return nil, errors.New("sidecar process not ready within the limit")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// readLog records the process's log until it exits, and sends the address of the admin interface to
// adminAddr.
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
	line string // first line, or the text of an error
	took time.Duration
}

func (r adminResponse) succeeded() bool { return strings.HasPrefix(r.line, "SUCCESS") }
func (r adminResponse) failed() bool    { return strings.HasPrefix(r.line, "FAILURE") }

// command sends a command to the admin interface and waits for the response.
func (p *process) command(line string) adminResponse {
	began := time.Now()
	response, err := p.exchange(line, began.Add(3*adminLimit))
	if err != nil {
		response = err.Error()
	}
	return adminResponse{response, time.Since(began)}
}

// exchange sends an admin command and returns the first line of the response.
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

// adminCommand sends a command and reports whether it succeeded. A late or unknown response is
// recorded as a violation.
func (s *sidecar) adminCommand(p *process, line string) bool {
	began := time.Now()
	response := p.command(line)
	isLate := response.took > adminLimit+s.checker.allowance(began)
	if isLate || !response.succeeded() && !response.failed() {
		s.checker.recordViolation(ruleAdmin, "%s: response %q after %v", line, response.line, response.took)
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

// terminate sends a series of signals with one SIGTERM or more, and SIGKILL if the process still
// runs killDelay after the first of them.
func (s *sidecar) terminate(p *process, series signalSeries) {
	p.mu.Lock()
	p.terminated = true
	p.mu.Unlock()
	var killAt <-chan time.Time
	for _, signal := range series.signals {
		_ = p.Process.Signal(signal)
		if signal == syscall.SIGTERM && killAt == nil {
			killAt = time.After(killDelay)
		}
		time.Sleep(series.pause)
	}
	select {
	case <-p.exited:
	case <-killAt:
		s.checker.count("killed")
		_ = p.Process.Kill()
		<-p.exited
	}
}

// exhaustDescriptors lowers the process's descriptor limit to the number that is open, for the
// duration d.
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

// breakSharedDir makes the sidecar's shared directory fail for the duration d, by putting a file
// in its place.
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

// checkProcesses checks that all processes ended without a crash and left no files in the
// directories below TMPDIR except those that outlive a process.
func (s *sidecar) checkProcesses() {
	for _, p := range s.processes {
		s.checkProcess(p)
	}
	left, _ := filepath.Glob(filepath.Join(s.tempDir(), "*", "*"))
	for _, path := range left {
		switch name := filepath.Base(path); {
		case name == "bans", name == "learned", name == "recent-ids", name == "endpoint-list":
		default:
			s.checker.recordViolation(ruleCleanup, "file %s was left behind", path)
		}
	}
}

func (s *sidecar) checkProcess(p *process) {
	select {
	case <-p.exited:
	default:
		s.checker.recordViolation(ruleCleanup, "process %d is still running", p.Process.Pid)
		return
	}
	var exit *exec.ExitError
	killed := errors.As(p.exitErr, &exit) && exit.Sys().(syscall.WaitStatus).Signal() == syscall.SIGKILL
	if p.exitErr != nil && !(p.terminated && killed) {
		s.checker.recordViolation(ruleCleanup, "process %d ended with %v:\n%s", p.Process.Pid, p.exitErr, p.logText())
	}
	if strings.Contains(p.logText(), "request panicked") {
		s.checker.recordViolation(ruleCleanup, "process %d: a request panicked:\n%s", p.Process.Pid, p.logText())
	}
}
