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
	startTimeout        = 10 * time.Second
	healthCheckInterval = 10 * time.Millisecond
)

// program is a running program.
type program struct {
	name    string
	addr    string
	cmd     *exec.Cmd
	exited  chan error // receives the result of cmd.Wait, and is closed
	samples []sample
}

// startPrograms starts all programs and waits until they respond. On an error it returns those that
// it has started.
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

// startProgram starts a program before the servers. Its standard error goes to a log in o.Dir.
func startProgram(o Options, name string, servers []string, discoveryAddr string) (*program, error) {
	addr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	file := filepath.Join(o.Dir, name)
	var args []string
	var config []byte
	env := append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(o.Cores))
	switch name {
	case sidecarProgram:
		file += ".json"
		config, err = sidecarConfig(o, addr, discoveryAddr, servers)
		args = []string{o.Sidecar}
		env = append(env, platform.EnvConfig+"="+file)
	case reverseProxyProgram:
		file += ".json"
		config, err = sidecarConfig(o, addr, discoveryAddr, servers)
		args = []string{o.Self, "lab", "reverse-proxy"}
		env = append(env, platform.EnvConfig+"="+file)
	case daemonProgram:
		file += ".hcl"
		config = daemonConfig(o, addr, servers)
		args = []string{o.Self, "serve", file}
	case fastHTTPProgram:
		args = append([]string{o.Self, "lab", "fasthttp", addr}, servers...)
	default:
		return nil, fmt.Errorf("program %q is none of %s", name, strings.Join(Programs, ", "))
	}
	if err != nil {
		return nil, err
	}
	if config != nil {
		if err := os.WriteFile(file, config, 0o600); err != nil {
			return nil, err
		}
	}
	p := &program{name: name, addr: addr, exited: make(chan error, 1)}
	return p, p.start(args, env, file+".log")
}

// start starts the process. It dies with this one.
func (p *program) start(args, env []string, logFile string) error {
	log, err := os.Create(logFile)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(args[0], args[1:]...)
	p.cmd.Env, p.cmd.Stderr = env, log
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

// kill ends the process and waits for its end.
func (p *program) kill() {
	_ = p.cmd.Process.Kill() // it may have exited
	<-p.exited
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// waitReady waits until the program responds to a health check, whatever its response is.
func (p *program) waitReady(ctx context.Context) error {
	for end := time.Now().Add(startTimeout); ; time.Sleep(healthCheckInterval) {
		resp, err := http.Get("http://" + p.addr + platform.HealthPath)
		if err == nil {
			resp.Body.Close()
			return nil
		}
		select {
		case err := <-p.exited:
			return fmt.Errorf("%s ended at once: %v", p.name, err)
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s does not answer: %w", p.name, err)
		}
	}
}

// cpuTime returns the CPU time that the program's threads have used, 0 if it has exited.
func (p *program) cpuTime() time.Duration {
	proc := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	if _, err := os.ReadFile(proc + "/schedstat"); err != nil || p.cmd.ProcessState != nil {
		return 0
	}
	total := time.Duration(0)
	threads, _ := filepath.Glob(proc + "/task/*/schedstat")
	for _, thread := range threads {
		if text, err := os.ReadFile(thread); err == nil { // otherwise the thread has ended
			nanoseconds, _ := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
			total += time.Duration(nanoseconds)
		}
	}
	return total
}

// peakMemory returns the peak of the program's resident memory, in bytes.
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

// measure lets the clients send to the program for o.SampleTime.
func (p *program) measure(ctx context.Context, o Options) (sample, error) {
	var clients errgroup.Group
	began, cpuBefore := time.Now(), p.cpuTime()
	end := began.Add(o.SampleTime)
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
		return sample{}, errors.New("no response")
	}
	out.rate = float64(responses) / time.Since(began).Seconds()
	out.cpuPerResponse = (p.cpuTime() - cpuBefore) / time.Duration(responses)
	return out, nil
}

// newLatencyHistogram returns a histogram of microseconds, up to a minute.
func newLatencyHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }
