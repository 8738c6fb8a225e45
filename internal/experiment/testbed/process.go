package testbed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"rowancart/internal/platform"
)

// Command is a Program that is started by a command line, such as the run line of
// deploy/balancer.toml.
type Command struct {
	Line    string // run with /bin/sh -c
	Dir     string // working directory of the program
	Scratch string // directory for configuration files and temporary files
}

// maxLogTail is the number of bytes of a program's output that are kept for error messages.
const maxLogTail = 4 << 10

// logTail keeps the last maxLogTail bytes that are written to it. It is safe for concurrent use.
type logTail struct {
	mu   sync.Mutex
	text []byte
}

// Write implements io.Writer. It keeps only the end of the output.
func (t *logTail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, b...)
	if over := len(t.text) - maxLogTail; over > 0 {
		t.text = append(t.text[:0], t.text[over:]...)
	}
	return len(b), nil
}

// String returns the kept output without surrounding white space.
func (t *logTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(bytes.TrimSpace(t.text))
}

// process is a running instance of a Command.
type process struct {
	cmd        *exec.Cmd
	configPath string
	log        logTail       // of standard output and standard error
	exited     chan struct{} // closed when the process has exited
	exitErr    error         // set before exited is closed
}

// Start implements Program.
func (c Command) Start(config platform.ConfigFile) (Instance, error) {
	p := &process{configPath: filepath.Join(c.Scratch, config.Name+".json"), exited: make(chan struct{})}
	if err := p.writeConfig(config); err != nil {
		return nil, err
	}
	p.cmd = exec.Command("/bin/sh", "-c", c.Line)
	p.cmd.Dir = c.Dir
	p.cmd.Stdout = &p.log
	p.cmd.Stderr = &p.log
	p.cmd.Env = append(os.Environ(),
		platform.EnvName+"="+config.Name,
		platform.EnvListen+"="+config.Listen,
		platform.EnvDiscovery+"="+config.Discovery,
		platform.EnvConfig+"="+p.configPath,
		platform.EnvSharedDir+"="+c.Scratch)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // so that Kill also reaches child processes of the shell
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", config.Name, err)
	}
	go func() {
		p.exitErr = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// writeConfig replaces the configuration file atomically.
func (p *process) writeConfig(c platform.ConfigFile) error {
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.configPath+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(p.configPath+".new", p.configPath)
}

// Reload implements Instance.
func (p *process) Reload(c platform.ConfigFile) error {
	if err := p.writeConfig(c); err != nil {
		return err
	}
	return p.cmd.Process.Signal(syscall.SIGHUP)
}

// Terminate implements Instance. It ignores the error that occurs if the process has exited.
func (p *process) Terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// Kill implements Instance.
func (p *process) Kill() {
	_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL) // the whole process group
	<-p.exited
}

// Done implements Instance.
func (p *process) Done() <-chan struct{} { return p.exited }

// ExitReason implements Instance.
func (p *process) ExitReason() string {
	reason := "exit status 0"
	if p.exitErr != nil {
		reason = p.exitErr.Error()
	}
	if log := p.log.String(); log != "" {
		reason += "; it wrote: " + log
	}
	return reason
}

// cpuClockTick is the kernel's unit of CPU time in /proc, 1/USER_HZ. USER_HZ is 100 per second on
// every platform that Go runs on.
const cpuClockTick = 10 * time.Millisecond

// Indexes of fields of /proc/PID/stat, counted from 0 after the command's name (proc(5)).
const (
	statUserTime   = 11 // in ticks
	statSystemTime = 12 // in ticks
	statResident   = 21 // in pages
)

// Usage implements Instance.
func (p *process) Usage() (Usage, error) {
	dir := "/proc/" + strconv.Itoa(p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return Usage{}, err
	}
	// The command's name, in parentheses, may contain spaces and parentheses.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= statResident {
		return Usage{}, fmt.Errorf("%s/stat has only %d fields after the command's name", dir, len(fields))
	}
	user, _ := strconv.ParseInt(fields[statUserTime], 10, 64)
	system, _ := strconv.ParseInt(fields[statSystemTime], 10, 64)
	pages, _ := strconv.ParseInt(fields[statResident], 10, 64)
	u := Usage{CPUTime: time.Duration(user+system) * cpuClockTick}
	u.MemoryMB = float64(pages) * float64(os.Getpagesize()) / (1 << 20)
	if open, err := os.ReadDir(dir + "/fd"); err == nil {
		u.Descriptors = len(open)
	}
	return u, nil
}
