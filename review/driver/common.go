// Command driver runs the cases of the review. Each case starts the project's programs as processes
// of their own, plays clients, endpoints and the platform on loopback addresses, and checks one
// rule.
//
// Usage: driver CASE, with TROUBLE=0 in the environment to leave the disruption out. It exits with
// 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// environment is what a case has to work with.
type environment struct {
	root    string // of the repository
	dir     string // temporary
	trouble bool
	start   time.Time

	mu        sync.Mutex
	record    *bufio.Writer
	processes []*process
}

// logf writes a line to the record.
func (e *environment) logf(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.record, "%9.3f ", time.Since(e.start).Seconds())
	fmt.Fprintf(e.record, format, args...)
	e.record.WriteByte('\n')
}

// process is a process that a case has started.
type process struct {
	command *exec.Cmd
	log     string // path of its standard error
	exited  chan struct{}
}

// run starts a shell command line from the root of the repository, as the platform does.
func (e *environment) run(name, line string, env ...string) (*process, error) {
	p := &process{log: filepath.Join(e.dir, name+".log"), exited: make(chan struct{})}
	log, err := os.Create(p.log)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.command = exec.Command("/bin/sh", "-c", line)
	p.command.Dir = e.root
	p.command.Env = append(append(os.Environ(), "TMPDIR="+e.dir), env...)
	p.command.Stdout = log
	p.command.Stderr = log
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	e.logf("started %s: process %d: %s", name, p.command.Process.Pid, line)
	e.mu.Lock()
	e.processes = append(e.processes, p)
	e.mu.Unlock()
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	return p, nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// awaitLog waits until the log of a process has a line with all of the words, and returns the line.
func (p *process) awaitLog(timeout time.Duration, words ...string) (string, error) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		text, err := os.ReadFile(p.log)
		if err != nil {
			return "", err
		}
		for line := range strings.Lines(string(text)) {
			found := true
			for _, word := range words {
				found = found && strings.Contains(line, word)
			}
			if found {
				return line, nil
			}
		}
	}
	return "", fmt.Errorf("no line with %q in the log within %v", words, timeout)
}

// stopAll ends all processes that the case has started, and copies their logs to the record.
func (e *environment) stopAll() {
	for _, p := range e.processes {
		p.signal(syscall.SIGTERM)
	}
	for _, p := range e.processes {
		select {
		case <-p.exited:
		case <-time.After(6 * time.Second):
			p.signal(syscall.SIGKILL)
			<-p.exited
		}
		e.logf("process %d ended: %v", p.command.Process.Pid, p.command.ProcessState)
	}
	for _, p := range e.processes {
		text, err := os.ReadFile(p.log)
		if err != nil {
			continue
		}
		e.mu.Lock()
		fmt.Fprintf(e.record, "--- %s\n%s", filepath.Base(p.log), text)
		e.mu.Unlock()
	}
}

// writeFile writes a file in the temporary folder and returns its path.
func (e *environment) writeFile(name, text string) (string, error) {
	path := filepath.Join(e.dir, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// awaitHealthy waits until GET /_health at an address is answered with 200.
func awaitHealthy(addr string, timeout time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	err := errors.New("not tried")
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		var resp *http.Response
		if resp, err = client.Get("http://" + addr + "/_health"); err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
		err = errors.New(resp.Status)
	}
	return fmt.Errorf("%s is not healthy after %v: %w", addr, timeout, err)
}

// freeAddr returns a loopback address with a port that is free now.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// cases are the cases by name.
var cases = map[string]func(*environment) (broken string, err error){}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 1 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE")
		return cannotRun
	}
	status, err := runCase(args[0])
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
	}
	return status
}

// runCase runs a case from the root of the repository, and writes record.txt in the case's folder.
func runCase(name string) (status int, err error) {
	root, err := os.Getwd()
	if err != nil {
		return cannotRun, err
	}
	file, err := os.Create(filepath.Join(root, "review", name, "record.txt"))
	if err != nil {
		return cannotRun, err
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return cannotRun, err
	}
	defer os.RemoveAll(dir)
	e := &environment{
		root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: bufio.NewWriter(file),
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = e.record.Flush()
	}()
	e.logf("case %s, disruption: %t", name, e.trouble)
	broken, err := e.play(cases[name])
	switch {
	case err != nil:
		e.logf("the case could not run: %v", err)
		status = cannotRun
	case broken != "":
		e.logf("the rule was BROKEN: %s", broken)
		status = ruleBroken
	default:
		e.logf("the rule held")
		status = ruleHeld
	}
	e.stopAll()
	fmt.Printf("case %s, disruption %t: %s\n", name, e.trouble, map[int]string{
		ruleHeld: "the rule held", ruleBroken: "the rule was broken: " + broken, cannotRun: "could not run",
	}[status])
	return status, err
}

// caseTimeout is the longest that a case may take, without the end of its processes.
const caseTimeout = 90 * time.Second

// play runs a case. It returns an error if the case takes too long or is interrupted.
func (e *environment) play(run func(*environment) (string, error)) (string, error) {
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(e)
		done <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	select {
	case r := <-done:
		return r.broken, r.err
	case s := <-interrupted:
		return "", fmt.Errorf("interrupted: %v", s)
	case <-time.After(caseTimeout):
		return "", fmt.Errorf("not done within %v", caseTimeout)
	}
}

// readAll is io.ReadAll without the error.
func readAll(r io.Reader) []byte {
	b, _ := io.ReadAll(r)
	return b
}
