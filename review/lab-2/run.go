package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// run is the state of one run of a case.
type run struct {
	root    string // of the checkout
	scratch string // temporary folder of this run
	trouble bool   // play the disruption
	started time.Time

	mu        sync.Mutex
	record    *os.File
	broken    []string
	processes []*process
	stopped   bool // no further process may be started
}

// logf writes a line to the record.
func (r *run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// breakRule records that the rule was broken.
func (r *run) breakRule(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// violations returns what breakRule has recorded.
func (r *run) violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.broken)
}

// close ends the record and removes the temporary folder.
func (r *run) close() {
	r.record.Close()
	os.RemoveAll(r.scratch)
}

// process is a process of the project that this run has started.
type process struct {
	name   string
	run    *run
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has exited
	mu     sync.Mutex
	log    bytes.Buffer
}

// Write implements io.Writer for the log of the process.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// start starts a command in the root of the checkout.
func (r *run) start(name, command string, env ...string) (*process, error) {
	return r.startInheriting(name, command, nil, env...)
}

// startInheriting starts a command that inherits files as descriptors from 3 on.
func (r *run) startInheriting(name, command string, files []*os.File, env ...string) (*process, error) {
	p := &process{name: name, run: r, exited: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Dir = r.root
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.ExtraFiles = files
	p.cmd.Stdout, p.cmd.Stderr = p, p
	if err := r.add(p); err != nil {
		return nil, err
	}
	r.logf("%s: started, process %d: %s", name, p.cmd.Process.Pid, command)
	go func() {
		_ = p.cmd.Wait()
		r.logf("%s: exited: %v", name, p.cmd.ProcessState)
		close(p.exited)
	}()
	return p, nil
}

// add starts a process and records it, so that stopAll ends it.
func (r *run) add(p *process) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return errors.New("the run has ended")
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	r.processes = append(r.processes, p)
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.run.logf("%s: %v sent", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// hasExited reports whether the process has exited.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// stopAll kills the processes that still run, waits for their end and records their logs.
func (r *run) stopAll() {
	r.mu.Lock()
	r.stopped = true
	processes := slices.Clone(r.processes)
	r.mu.Unlock()
	for _, p := range processes {
		if !p.hasExited() {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
		p.mu.Lock()
		for line := range strings.Lines(p.log.String()) {
			r.logf("log of %s: %s", p.name, strings.TrimSpace(line))
		}
		p.mu.Unlock()
	}
}

var listeningLine = regexp.MustCompile(`msg="?listening.* addr=(127\.0\.0\.1:[0-9]+)`)

// address waits for the log line with the address on which the process listens for clients.
func (p *process) address() (string, error) {
	for range 300 {
		p.mu.Lock()
		found := listeningLine.FindStringSubmatch(p.log.String())
		p.mu.Unlock()
		if found != nil {
			return found[1], nil
		}
		if p.hasExited() {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return "", fmt.Errorf("%s does not listen: %s", p.name, p.log.String())
}

// startSidecar starts the sidecar with the command of the deploy file and waits until it is ready.
func (r *run) startSidecar(name, config string) (*process, string, error) {
	path := filepath.Join(r.scratch, name+".json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		return nil, "", err
	}
	tmp := filepath.Join(r.scratch, name+".tmp")
	if err := os.Mkdir(tmp, 0o700); err != nil && !errors.Is(err, os.ErrExist) {
		return nil, "", err
	}
	p, err := r.start(name, "exec bin/sidecar", "ROUTER_CONFIG="+path, "TMPDIR="+tmp)
	if err != nil {
		return nil, "", err
	}
	return r.ready(p)
}

// startDaemon starts the daemon with a configuration and waits until it is ready.
func (r *run) startDaemon(name, config string) (*process, string, error) {
	path := filepath.Join(r.scratch, name+".hcl")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		return nil, "", err
	}
	p, err := r.start(name, "exec bin/rowancart serve "+path)
	if err != nil {
		return nil, "", err
	}
	return r.ready(p)
}

// ready waits until a process answers the health check.
func (r *run) ready(p *process) (*process, string, error) {
	addr, err := p.address()
	if err != nil {
		return nil, "", err
	}
	for range 300 {
		c, err := dialClient(addr)
		if err == nil {
			a := c.exchange("GET /_health HTTP/1.1\r\nHost: api.internal\r\n\r\n", time.Now().Add(time.Second))
			c.close()
			if a.status == 200 {
				r.logf("%s: ready at %s", p.name, addr)
				return p, addr, nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, "", fmt.Errorf("%s is not ready", p.name)
}
