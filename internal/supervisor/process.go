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
	pollInterval       = 100 * time.Millisecond // of health checks, and of checks whether an adopted process still runs
	healthCheckTimeout = time.Second

	// Environment variables that the supervisor sets for an instance; the instance's configuration
	// reads them.
	envIndex     = "ROWANCART_INDEX"
	envInstances = "ROWANCART_INSTANCES"
	envAdmin     = "ROWANCART_ADMIN" // address of the admin interface
	envState     = "ROWANCART_STATE" // path of the state file

	// statStartTimeField is the index of the start time among the fields of /proc/PID/stat that
	// follow the command's name.
	statStartTimeField = 19
)

// process is the process of an instance: a child of this supervisor, or one that was started by an
// earlier supervisor and adopted by this one.
type process struct {
	pid       int
	startTime uint64 // in clock ticks after boot; distinguishes the process from a later one with the same pid
}

// startInstance starts an instance and two watchers of its process. The environment of the instance
// has its index, the number of instances, its admin socket and the path of its state file.
func (s *supervisor) startInstance(i int) (*process, error) {
	cmd := exec.Command(s.options.Program, "serve", s.config.InstanceConfig)
	cmd.Env = append(os.Environ(),
		envIndex+"="+strconv.Itoa(i),
		envInstances+"="+strconv.Itoa(s.config.Instances),
		envAdmin+"=unix:"+s.adminSocket(i),
		envState+"="+filepath.Join(s.config.Folder, fmt.Sprintf("instance-%d.state", i)))
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // so that signals of a terminal reach only the supervisor
	// The instance writes its log to a file. With a pipe, an instance that outlives this supervisor
	// would be killed by SIGPIPE at its next log line.
	logName := filepath.Join(s.config.Folder, fmt.Sprintf("instance-%d.log", i))
	logFile, err := os.OpenFile(logName, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer logFile.Close() // the child process has its own descriptor
	cmd.Stderr = logFile
	_ = os.Remove(s.adminSocket(i)) // an earlier process may have left it
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

// watchAdopted sends an event when an adopted process has exited. It polls, because a process can
// wait only for its children.
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

// awaitHealthy repeats an instance's health check until the instance is healthy, its process has
// exited, or the supervisor stops. It sends an event if the instance is healthy.
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

// isHealthy reports whether the instance that the client connects to responds to a health check
// with status 200.
func isHealthy(client *http.Client) bool {
	resp, err := client.Get("http://admin/healthz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// adminSocket returns the path of an instance's admin socket.
func (s *supervisor) adminSocket(i int) string {
	return filepath.Join(s.config.Folder, fmt.Sprintf("admin-%d.sock", i))
}

// signal sends a signal to the process. It ignores errors: the process may have exited already,
// which its watcher reports.
func (p *process) signal(sig syscall.Signal) { _ = syscall.Kill(p.pid, sig) }

// isRunning reports whether the process has not exited. A zombie, or another process that has the
// same pid but a different start time, does not count as running.
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

// processStartTime returns the start time of a process in clock ticks after boot, or 0 if it cannot
// be read.
func processStartTime(pid int) uint64 {
	stat, err := readStat(pid)
	if err != nil {
		return 0
	}
	fields := strings.Fields(stat)
	if len(fields) <= statStartTimeField {
		return 0
	}
	ticks, _ := strconv.ParseUint(fields[statStartTimeField], 10, 64)
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
