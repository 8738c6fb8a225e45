package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"rowancart/internal/experiment/invariant"
)

// Config is what a program under test is told, in the form of DEPLOY.
type Config struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// Limits are those that the program is told; 0 is left out.
type Limits struct {
	Cores    float64 `json:"cores,omitempty"`
	MemoryMB int     `json:"memory_mb,omitempty"`
	Sockets  int     `json:"sockets,omitempty"`
}

// Program starts instances of a program under test.
type Program interface {
	// Start begins an instance that serves as its configuration says until it is killed or told to end.
	Start(c Config) (Instance, error)
}

// Instance is an instance of a program under test.
type Instance interface {
	// Reload hands over a new configuration, as a file and SIGHUP.
	Reload(c Config) error
	// Terminate asks the instance to end in order, as SIGTERM.
	Terminate()
	// Kill ends it outright.
	Kill()
	// Done is closed when it has ended.
	Done() <-chan struct{}
	// ExitReason returns how it ended, with the last that it wrote.
	ExitReason() string
	// Usage tells what it uses and the CPU time that it has used; ok is false where that can't be known.
	Usage() (u invariant.Usage, cpu time.Duration, ok bool)
}

// Command is a program that is started by a command line, as deploy/balancer.toml names one.
type Command struct {
	Line    string // for /bin/sh -c
	Dir     string // in which it runs
	Scratch string // for configuration files
}

// Build runs the build line of the deploy file at root and returns its run line. Nothing is built without a build line.
func Build(ctx context.Context, root string) (runLine string, err error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	lines := map[string]string{}
	for line := range strings.SplitSeq(string(text), "\n") {
		if key, value, ok := strings.Cut(line, " = "); ok {
			lines[key], _ = strconv.Unquote(strings.TrimSpace(value)) // arrays are none of our keys
		}
	}
	if lines["run"] == "" {
		return "", errors.New("deploy/balancer.toml: no run line")
	}
	if b := lines["build"]; b != "" {
		cmd := exec.CommandContext(ctx, "/bin/sh", "-c", b)
		cmd.Dir = root
		if out, err := cmd.CombinedOutput(); err != nil {
			return "", fmt.Errorf("build line of deploy/balancer.toml: %w\n%s", err, out)
		}
	}
	return lines["run"], nil
}

const maxLogTail = 4 << 10

// tail keeps the end of what is written.
type tail struct {
	mu   sync.Mutex
	text []byte
}

func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, b...)
	if over := len(t.text) - maxLogTail; over > 0 {
		t.text = append(t.text[:0], t.text[over:]...)
	}
	return len(b), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(bytes.TrimSpace(t.text))
}

// process is an instance of a Command.
type process struct {
	cmd        *exec.Cmd
	configPath string
	log        tail
	exited     chan struct{}
	exitErr    error // of its end; read after done
}

// Start implements Program.
func (c Command) Start(config Config) (Instance, error) {
	p := &process{configPath: filepath.Join(c.Scratch, config.Name+".json"), exited: make(chan struct{})}
	if err := p.writeConfig(config); err != nil {
		return nil, err
	}
	p.cmd = exec.Command("/bin/sh", "-c", c.Line)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = c.Dir, &p.log, &p.log
	p.cmd.Env = append(os.Environ(), "ROUTER_NAME="+config.Name, "ROUTER_LISTEN="+config.Listen, "ROUTER_DISCOVERY="+config.Discovery,
		"ROUTER_CONFIG="+p.configPath, "TMPDIR="+c.Scratch)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // whatever it starts ends with it
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", config.Name, err)
	}
	go func() {
		p.exitErr = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// writeConfig replaces the configuration file in one step.
func (p *process) writeConfig(c Config) error {
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.configPath+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(p.configPath+".new", p.configPath)
}

// Reload implements Running.
func (p *process) Reload(c Config) error {
	if err := p.writeConfig(c); err != nil {
		return err
	}
	return p.cmd.Process.Signal(syscall.SIGHUP)
}

// Terminate implements Running.
func (p *process) Terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) } // one that has ended needs none

// Kill implements Running.
func (p *process) Kill() {
	_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL) // the group that was made for it
	<-p.exited
}

// Done implements Running.
func (p *process) Done() <-chan struct{} { return p.exited }

// ExitReason implements Running.
func (p *process) ExitReason() string {
	how := "exit status 0"
	if p.exitErr != nil {
		how = p.exitErr.Error()
	}
	if log := p.log.String(); log != "" {
		how += "; it wrote: " + log
	}
	return how
}

// cpuClockTick is the kernel's unit of CPU time in /proc: USER_HZ, 100 on every platform that Go runs on.
const cpuClockTick = 10 * time.Millisecond

// Usage implements Running.
func (p *process) Usage() (u invariant.Usage, cpu time.Duration, ok bool) {
	dir := "/proc/" + strconv.Itoa(p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return u, 0, false
	}
	// The command's name, in parentheses, may hold anything: fields count from behind it (proc(5)).
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) < 22 {
		return u, 0, false
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	u.MemoryMB = float64(pages) * float64(os.Getpagesize()) / (1 << 20)
	if open, err := os.ReadDir(dir + "/fd"); err == nil {
		u.Descriptors = len(open)
	}
	return u, time.Duration(user+system) * cpuClockTick, true
}

// waitHealthy waits until a program answers for its health, or says why it does not.
func waitHealthy(ctx context.Context, p Instance, addr, name string, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}, Timeout: time.Second}
	for {
		resp, err := client.Get("http://" + addr + "/_health")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = errors.New(resp.Status)
		}
		select {
		case <-p.Done():
			return fmt.Errorf("%s ended before it was healthy: %s", name, p.ExitReason())
		case <-ctx.Done():
			if ctx.Err() == context.DeadlineExceeded {
				return fmt.Errorf("%s was not healthy within %v: %w", name, within, err)
			}
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}
