package supervisor

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	pollInterval       = 100 * time.Millisecond // of health checks, and of checks whether an adopted process runs
	healthCheckTimeout = time.Second

	// Environment variables of an instance, which its configuration reads.
	envIndex     = "ROWANCART_INDEX"
	envInstances = "ROWANCART_INSTANCES"
	envAdmin     = "ROWANCART_ADMIN" // address of its admin interface
	envState     = "ROWANCART_STATE" // path of its state file

	statStartField = 19 // index of the start time in /proc/PID/stat, in the fields that follow the command's name
)

// process is one running instance: a child, or one adopted from the previous supervisor.
type process struct {
	pid       int
	startTime uint64 // in ticks after boot: it tells a process from a later one with the same pid
}

// startInstance starts an instance, with its index, the fleet's size and its own admin socket in
// its environment.
func (s *supervisor) startInstance(i int) (*process, error) {
	cmd := exec.Command(s.options.Program, "serve", s.config.InstanceConfig)
	cmd.Env = append(os.Environ(),
		envIndex+"="+strconv.Itoa(i),
		envInstances+"="+strconv.Itoa(s.config.Instances),
		envAdmin+"=unix:"+s.adminSocket(i),
		envState+"="+filepath.Join(s.config.Folder, fmt.Sprintf("instance-%d.state", i)))
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // only the supervisor receives a terminal's signals
	// The log is written to a file, not to a pipe: an instance that outlives this supervisor would be
	// killed by SIGPIPE at its next line.
	logName := filepath.Join(s.config.Folder, fmt.Sprintf("instance-%d.log", i))
	logFile, err := os.OpenFile(logName, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer logFile.Close() // the child has its own descriptor
	cmd.Stderr = logFile
	_ = os.Remove(s.adminSocket(i)) // left by an earlier process
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{pid: cmd.Process.Pid, startTime: processStartTime(cmd.Process.Pid)}
	s.watchers.Go(func() {
		_ = cmd.Wait()
		s.send(event{kind: eventExited, instance: i, process: p})
	})
	s.watchers.Go(func() { s.awaitHealthy(i, p) })
	return p, nil
}

// watchAdopted sends an event when a process has exited that is not a child of this one.
func (s *supervisor) watchAdopted(i int, p *process) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for p.isRunning() {
		select {
		case <-s.done:
			return
		case <-ticker.C:
		}
	}
	s.send(event{kind: eventExited, instance: i, process: p})
}

// awaitHealthy checks an instance's health until it is healthy, its process has exited, or the
// supervisor stops.
func (s *supervisor) awaitHealthy(i int, p *process) {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "unix", s.adminSocket(i))
	}
	client := &http.Client{
		Timeout:   healthCheckTimeout,
		Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial},
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if isHealthy(client) {
			s.send(event{kind: eventHealthy, instance: i, process: p})
			return
		}
		select {
		case <-s.done:
			return
		case <-ticker.C:
		}
		if !p.isRunning() {
			return
		}
	}
}

// isHealthy reports whether the instance that the client connects to responds to its health check
// with 200.
func isHealthy(client *http.Client) bool {
	resp, err := client.Get("http://admin/healthz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// adminSocket returns the path of an instance's admin interface.
func (s *supervisor) adminSocket(i int) string {
	return filepath.Join(s.config.Folder, fmt.Sprintf("admin-%d.sock", i))
}

// signal sends a signal. The process may have exited already, which its watcher reports.
func (p *process) signal(sig syscall.Signal) { _ = syscall.Kill(p.pid, sig) }

// isRunning reports whether the process that began at startTime has not exited.
func (p *process) isRunning() bool {
	if syscall.Kill(p.pid, 0) != nil {
		return false
	}
	stat, err := readStat(p.pid)
	if err != nil {
		return false
	}
	return !strings.HasPrefix(stat, "Z") && processStartTime(p.pid) == p.startTime
}

// processStartTime returns when a process began, in ticks after boot; 0 if that cannot be read.
func processStartTime(pid int) uint64 {
	stat, err := readStat(pid)
	if err != nil {
		return 0
	}
	fields := strings.Fields(stat)
	if len(fields) <= statStartField {
		return 0
	}
	ticks, _ := strconv.ParseUint(fields[statStartField], 10, 64)
	return ticks
}

// readStat returns the fields of /proc/PID/stat that follow the command's name; the first is the
// process's state.
func readStat(pid int) (string, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return "", err
	}
	_, fields, _ := strings.Cut(string(text), ") ")
	return fields, nil
}
