package speed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"rowancart/internal/platform"
)

const (
	startTimeout        = 10 * time.Second // for the first response to a health check
	healthCheckInterval = 10 * time.Millisecond
)

// program is a running program.
type program struct {
	name    string
	addr    string
	cmd     *exec.Cmd
	exited  chan error // receives the result of cmd.Wait, and is closed
	samples []sample   // one a round, without the warm-up round
}

// startPrograms starts all programs and waits until each responds to health checks. On an error it
// returns the programs that it has started so far.
func startPrograms(ctx context.Context, o Options, servers []string, discoveryAddr string) ([]*program, error) {
	var programs []*program
	for _, name := range o.Programs {
		p, err := startProgram(o, name, servers, discoveryAddr)
		if err != nil {
			return programs, err
		}
		programs = append(programs, p)
		if err := p.waitReady(ctx); err != nil {
			return programs, err
		}
	}
	return programs, nil
}

// programCommand is the command that starts a program, together with the program's configuration.
type programCommand struct {
	args       []string
	env        []string // in addition to the environment of this process
	config     []byte   // text of the configuration file; nil: the program reads none
	configPath string   // empty: the program reads no file
}

// addresses holds the addresses that a program is configured with.
type addresses struct {
	listen    string
	discovery string
	servers   []string
}

// newCommand returns the command of a program.
func newCommand(o Options, name string, a addresses) (programCommand, error) {
	path := filepath.Join(o.Dir, name)
	switch name {
	case sidecarProgram:
		return newSidecarCommand(o, a, path+".json", o.Sidecar)
	case reverseProxyProgram:
		return newSidecarCommand(o, a, path+".json", o.Self, "lab", "reverse-proxy")
	case daemonProgram:
		path += ".hcl"
		return programCommand{
			args:       []string{o.Self, "serve", path},
			config:     daemonConfig(o, a.listen, a.servers),
			configPath: path,
		}, nil
	case fastHTTPProgram:
		return programCommand{args: append([]string{o.Self, "lab", "fasthttp", a.listen}, a.servers...)}, nil
	default:
		return programCommand{}, fmt.Errorf("program %q is not one of %s", name, strings.Join(Programs, ", "))
	}
}

// newSidecarCommand returns the command of a program that reads the sidecar's configuration.
func newSidecarCommand(o Options, a addresses, configPath string, args ...string) (programCommand, error) {
	config, err := sidecarConfig(o, a)
	return programCommand{
		args:       args,
		env:        []string{platform.EnvConfig + "=" + configPath},
		config:     config,
		configPath: configPath,
	}, err
}

// startProgram starts a program that forwards requests to the servers. The program's standard error
// is written to a log file in o.Dir.
func startProgram(o Options, name string, servers []string, discoveryAddr string) (*program, error) {
	addr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	c, err := newCommand(o, name, addresses{listen: addr, discovery: discoveryAddr, servers: servers})
	if err != nil {
		return nil, err
	}
	if c.config != nil {
		if err := os.WriteFile(c.configPath, c.config, 0o600); err != nil {
			return nil, err
		}
	}
	env := append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(o.Cores))
	p := &program{name: name, addr: addr, exited: make(chan error, 1)}
	return p, p.start(c.args, append(env, c.env...), filepath.Join(o.Dir, name+".log"))
}

// start starts the process. The kernel kills it if this process exits.
func (p *program) start(args, env []string, logFile string) error {
	log, err := os.Create(logFile)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(args[0], args[1:]...)
	p.cmd.Env = env
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func() {
		p.exited <- p.cmd.Wait()
		close(p.exited)
	}()
	return nil
}

// kill kills the process and waits for its exit.
func (p *program) kill() {
	_ = p.cmd.Process.Kill() // the process may have exited already
	<-p.exited
}

// freeAddress returns a loopback address with a port that is not in use.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// waitReady waits until the program responds to a health check. Any status counts as ready.
func (p *program) waitReady(ctx context.Context) error {
	for end := time.Now().Add(startTimeout); ; time.Sleep(healthCheckInterval) {
		resp, err := http.Get("http://" + p.addr + platform.HealthPath)
		if err == nil {
			resp.Body.Close()
			return nil
		}
		select {
		case err := <-p.exited:
			return fmt.Errorf("%s exited before it was ready: %v", p.name, err)
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s did not respond to health checks within %v: %w", p.name, startTimeout, err)
		}
	}
}

// cpuTime returns the CPU time that the program's threads have used, or 0 if the program has
// exited.
func (p *program) cpuTime() time.Duration {
	proc := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	if _, err := os.ReadFile(proc + "/schedstat"); err != nil || p.cmd.ProcessState != nil {
		return 0
	}
	total := time.Duration(0)
	threads, _ := filepath.Glob(proc + "/task/*/schedstat")
	for _, thread := range threads {
		if text, err := os.ReadFile(thread); err == nil { // on an error the thread has exited
			nanoseconds, _ := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
			total += time.Duration(nanoseconds)
		}
	}
	return total
}

// peakMemory returns the program's peak resident memory in bytes, or 0 if it cannot be read.
func (p *program) peakMemory() int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// measure measures the program for o.SampleTime, during which all clients send requests.
func (p *program) measure(ctx context.Context, o Options) (sample, error) {
	var clients errgroup.Group
	start := time.Now()
	cpuBefore := p.cpuTime()
	end := start.Add(o.SampleTime)
	results := make([]sample, o.Connections)
	for i := range o.Connections {
		clients.Go(func() error {
			var err error
			results[i], err = runClient(ctx, p.addr, o.BodySize, end, i)
			return err
		})
	}
	if err := clients.Wait(); err != nil {
		return sample{}, err
	}
	out := sample{latency: newLatencyHistogram()}
	for _, r := range results {
		out.latency.Merge(r.latency)
		out.failed += r.failed
	}
	responses := out.latency.TotalCount()
	if responses == 0 {
		return sample{}, errors.New("no request got a response with status 200")
	}
	out.rate = float64(responses) / time.Since(start).Seconds()
	out.cpuPerResponse = (p.cpuTime() - cpuBefore) / time.Duration(responses)
	return out, nil
}

// newLatencyHistogram returns a histogram of latencies in microseconds, up to a minute.
func newLatencyHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }
