package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// settings are those of all sidecars. Deadlines are short, so that SIGKILL comes soon.
const settings = `{"Lanes":[
	{"Name":"look","Semantics":"read_like","OnTimeUs":600000,"HardLimitUs":1000000},
	{"Name":"pay","Semantics":"non_idempotent","OnTimeUs":600000,"HardLimitUs":1000000},
	{"Name":"book","Semantics":"idempotency_key","Group":"all","WindowUs":400000,"OnTimeUs":600000,"HardLimitUs":1000000}],
	"Permissions":{"MayCancel":true,"TryLimit":4,"RetryAfter":true,"MaxRetryAfterUs":300000,"DialTimeoutUs":250000,
		"ConnIdleUs":3000000},
	"Rules":{"ColdFrom":0.31,"ColdUs":3000000,"DrainGraceUs":1000000,"FallMultiple":4,"TipAfterUs":1000000},
	"NInstances":2,"Me":%d}`

// The figures of the settings that the ledger and the clients need.
const (
	longestDeadline = time.Second
	keyWindow       = 400 * time.Millisecond
	killDelay       = longestDeadline + 700*time.Millisecond // after SIGTERM, at the earliest
	descriptors     = 256
	readyLimit      = 6 * time.Second
)

// sidecar is one sidecar, of which two processes may run: the platform holds its listening socket.
type sidecar struct {
	index     int
	program   string
	dir       string // its configuration file and TMPDIR
	listener  *os.File
	addr      string
	ledger    *ledger
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

func newSidecar(index int, program, dir string, l *ledger, d *discovery) (*sidecar, error) {
	s := &sidecar{index: index, program: program, dir: filepath.Join(dir, fmt.Sprint("n", index)), ledger: l, discovery: d}
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

func (s *sidecar) tempDir() string    { return filepath.Join(s.dir, "tmp") }
func (s *sidecar) configPath() string { return filepath.Join(s.dir, "config.json") }

// writeConfig replaces the configuration file.
func (s *sidecar) writeConfig() error {
	text := fmt.Sprintf(`{"name":"n%d","listen":%q,"discovery":%q,"seed":"%x",
		"limits":{"cores":1,"memory_mb":64,"sockets":%d},"settings":%s}`,
		s.index, s.addr, s.discovery.address(), 7+s.index, descriptors, fmt.Sprintf(settings, s.index))
	next := s.configPath() + ".new"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
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
		"ROUTER_CONFIG=" + s.configPath(), "ROUTER_CONSOLE=127.0.0.1:0", "ROUTER_ACCEPT_FD=3", "TMPDIR=" + s.tempDir(),
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
	go p.follow(stderr, adminAddr)
	select {
	case p.adminAddr = <-adminAddr:
	case <-p.exited:
		return nil, fmt.Errorf("exited at its start: %w", p.exitErr)
	}
	for {
		if response, _ := p.command("ready"); strings.HasPrefix(response, "SUCCESS") {
			return p, nil
		}
		if time.Since(began) > readyLimit {
			return nil, errors.New("not ready in time")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// follow keeps the process's log until it exits, and sends the address of its admin interface.
func (p *process) follow(stderr io.Reader, adminAddr chan<- string) {
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

// command sends a command to the admin interface and returns the first line of the response, and
// how long it took.
func (p *process) command(line string) (response string, took time.Duration) {
	began := time.Now()
	conn, err := net.DialTimeout("tcp", p.adminAddr, 3*operatorsLimit)
	if err != nil {
		return err.Error(), time.Since(began)
	}
	defer conn.Close()
	_ = conn.SetDeadline(began.Add(3 * operatorsLimit))
	_, _ = io.WriteString(conn, line+"\n")
	response, err = bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		response = err.Error()
	}
	return response, time.Since(began)
}

// operate sends a command that has to be answered in time, and reports whether it succeeded.
func (s *sidecar) operate(p *process, line string) bool {
	began := time.Now()
	response, took := p.command(line)
	succeeded := strings.HasPrefix(response, "SUCCESS")
	if took > operatorsLimit+s.ledger.slack(began) || !succeeded && !strings.HasPrefix(response, "FAILURE") {
		s.ledger.breach(ruleOperators, "%s: %q after %v", line, response, took)
	}
	return succeeded
}

// reload replaces the configuration and sends SIGHUP n times.
func (s *sidecar) reload(p *process, n int) error {
	s.discovery.allow(reloadGrace)
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

// terminate sends SIGTERM, twice if asked, and SIGKILL at the earliest moment. It judges the end.
func (s *sidecar) terminate(p *process, twice bool) {
	p.mu.Lock()
	p.terminated = true
	p.mu.Unlock()
	_ = p.Process.Signal(syscall.SIGTERM)
	if twice {
		_ = p.Process.Signal(syscall.SIGTERM)
	}
	select {
	case <-p.exited:
	case <-time.After(killDelay):
		s.ledger.count("killed")
		_ = p.Process.Kill()
		<-p.exited
	}
}

// squeeze leaves the process no further descriptors for a while, as a machine without any does.
func (s *sidecar) squeeze(p *process, d time.Duration) {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	if err != nil {
		return
	}
	var old unix.Rlimit
	few := unix.Rlimit{Cur: uint64(len(files))}
	if unix.Prlimit(p.Process.Pid, unix.RLIMIT_NOFILE, nil, &old) != nil {
		return
	}
	few.Max = old.Max
	if unix.Prlimit(p.Process.Pid, unix.RLIMIT_NOFILE, &few, nil) != nil {
		return
	}
	time.Sleep(d)
	_ = unix.Prlimit(p.Process.Pid, unix.RLIMIT_NOFILE, &old, nil)
}

// breakSharedDir makes the sidecar's shared directory fail for a while.
func (s *sidecar) breakSharedDir(d time.Duration) error {
	path := filepath.Join(s.tempDir(), fmt.Sprintf("rowancart-n%d", s.index))
	aside := filepath.Join(s.dir, "aside")
	if err := os.Rename(path, aside); err != nil {
		return err
	}
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		return err
	}
	time.Sleep(d)
	if err := os.Remove(path); err != nil {
		return err
	}
	return os.Rename(aside, path)
}

// judgeProcesses looks for crashes, and for what the processes have left behind.
func (s *sidecar) judgeProcesses() {
	for _, p := range s.processes {
		select {
		case <-p.exited:
		default:
			s.ledger.breach(ruleRemains, "process %d still runs", p.Process.Pid)
			continue
		}
		var exit *exec.ExitError
		killed := errors.As(p.exitErr, &exit) && exit.Sys().(syscall.WaitStatus).Signal() == syscall.SIGKILL
		if p.exitErr != nil && !(p.terminated && killed) {
			s.ledger.breach(ruleRemains, "process %d ended with %v:\n%s", p.Process.Pid, p.exitErr, p.logText())
		}
		if strings.Contains(p.logText(), "request panicked") {
			s.ledger.breach(ruleRemains, "process %d: %s", p.Process.Pid, p.logText())
		}
	}
	left, _ := filepath.Glob(filepath.Join(s.tempDir(), "*", "*"))
	for _, path := range left {
		switch name := filepath.Base(path); {
		case name == "bans", name == "learned":
		default:
			s.ledger.breach(ruleRemains, "%s is left behind", path)
		}
	}
}
