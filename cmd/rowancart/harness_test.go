package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"testing"

	"rowancart/internal/testpeer"
)

// logFollower collects the log lines of a process and of all processes that inherit its standard
// error.
type logFollower struct {
	mu    sync.Mutex
	lines []string
	ended chan struct{} // closed when all these processes have exited
}

// startProgram starts a command and follows its log.
func startProgram(t *testing.T, cmd *exec.Cmd) *logFollower {
	t.Helper()
	logReader, stderr, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stderr = stderr
	err = cmd.Start()
	stderr.Close() // so that the log ends when the last process that inherited it exits
	if err != nil {
		t.Fatal(err)
	}
	return followLog(logReader)
}

// followLog returns a logFollower that collects the lines of r.
func followLog(r io.Reader) *logFollower {
	f := &logFollower{ended: make(chan struct{})}
	go func() {
		defer close(f.ended)
		for s := bufio.NewScanner(r); s.Scan(); {
			f.mu.Lock()
			f.lines = append(f.lines, s.Text())
			f.mu.Unlock()
		}
	}()
	return f
}

// all returns the lines collected so far.
func (f *logFollower) all() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lines[:len(f.lines):len(f.lines)]
}

// wait waits for the nth line, counted from 1, that matches a pattern with one group, and returns
// what the group matched.
func (f *logFollower) wait(t *testing.T, n int, pattern string) string {
	t.Helper()
	re := regexp.MustCompile(pattern)
	found := ""
	testpeer.WaitUntil(t, pattern, func() bool {
		seen := 0
		for _, line := range f.all() {
			if m := re.FindStringSubmatch(line); m != nil {
				if seen++; seen == n {
					found = m[len(m)-1]
					return true
				}
			}
		}
		return false
	})
	return found
}

// waitSuccessor waits for the nth completed handover, counted from 1, and returns the successor.
func (f *logFollower) waitSuccessor(t *testing.T, n int) *os.Process {
	t.Helper()
	return findProcess(t, f.wait(t, n, `msg="handover completed" pid=(\d+)`))
}

// findProcess returns the process with the given id.
func findProcess(t *testing.T, pid string) *os.Process {
	t.Helper()
	id, err := strconv.Atoi(pid)
	if err != nil {
		t.Fatal(err)
	}
	p, err := os.FindProcess(id)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// linkProgram links the test binary into dir under the name rowancart, under which it runs the
// program instead of the tests, and returns the path of the link.
func linkProgram(t *testing.T, dir string) string {
	t.Helper()
	program := filepath.Join(dir, "rowancart")
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Symlink(self, program); err != nil {
		t.Fatal(err)
	}
	return program
}

// unixTransport returns a transport that connects to the unix socket at path.
func unixTransport(path string) *http.Transport {
	return &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", path)
	}}
}

// writeFile writes a file that the processes of a test read.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
