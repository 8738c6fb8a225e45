package main

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"rowancart/internal/platform"
	"rowancart/internal/testpeer"
)

// startBuilt builds the program and starts it with a configuration. Its log goes to stderr.
func startBuilt(t *testing.T, config platform.ConfigFile, stderr io.Writer) *exec.Cmd {
	t.Helper()
	program := filepath.Join(t.TempDir(), "sidecar")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, config)
	c := exec.Command(program)
	c.Env = []string{platform.EnvConfig + "=" + path}
	c.Stderr = stderr
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Process.Kill()
		c.Wait()
	})
	return c
}

// freeAddr returns a loopback address on which no process listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// waitUntilHealthy waits until a sidecar passes its health check.
func waitUntilHealthy(t *testing.T, addr string) {
	t.Helper()
	client := http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	testpeer.WaitUntil(t, "the sidecar is healthy", func() bool {
		resp, err := client.Get("http://" + addr + platform.HealthPath)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// If the reader of the log closes the pipe, the sidecar must go on without its log. By default,
// SIGPIPE would terminate it at the next log line.
func TestClosedLogPipeDoesNotTerminateTheProcess(t *testing.T) {
	discovery, _ := startDiscovery(t)
	addr := freeAddr(t)
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	c := startBuilt(t, configWithoutEndpoints(addr, discovery), writer)
	writer.Close()
	waitUntilHealthy(t, addr)
	reader.Close()
	for range 3 { // each signal writes a line to the log
		if err := c.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond) // otherwise pending signals are merged into one
	}
	waitUntilHealthy(t, addr)
}

// If the reader of the log stops reading and the pipe is full, requests must not wait for the log.
func TestFullLogPipeBlocksNoRequest(t *testing.T) {
	discovery, _ := startDiscovery(t)
	addr := freeAddr(t)
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	defer writer.Close()
	_ = writer.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	for err == nil {
		_, err = writer.Write(make([]byte, 4<<10))
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	startBuilt(t, configWithoutEndpoints(addr, discovery), writer)
	waitUntilHealthy(t, addr)
}

// The platform may suspend the process for the last 0.15 s before SIGKILL. The last responses must
// have been written before that.
func TestLastResponsesPrecedeASuspension(t *testing.T) {
	const (
		deadline  = time.Second // the longest deadline of the settings
		killDelay = deadline + 700*time.Millisecond
		suspended = 150 * time.Millisecond
	)
	hanging, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections; nothing responds
	if err != nil {
		t.Fatal(err)
	}
	defer hanging.Close()
	discovery := startListingDiscovery(t, []string{hanging.Addr().String()})
	addr := freeAddr(t)
	c := startBuilt(t, platform.ConfigFile{
		Name:           "t",
		Listen:         addr,
		Discovery:      discovery,
		Seed:           "1",
		KnownEndpoints: platform.CompleteList(1, testpeer.ListedEndpoint("a", hanging.Addr().String(), platform.StateReady)),
		Settings: platform.SettingsObject{Classes: []platform.ClassSettings{{
			Name:               "pay",
			Idempotency:        platform.NonIdempotent,
			LatencyObjectiveUs: (900 * time.Millisecond).Microseconds(),
			MaxDeadlineUs:      deadline.Microseconds(),
		}}},
	}, io.Discard)
	waitUntilHealthy(t, addr)
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	killAt := time.Now().Add(killDelay)
	conn, err := testpeer.Dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	request := testpeer.Request{Method: http.MethodPost, Path: "/pay", ID: "r", Deadline: time.Minute}
	io.WriteString(conn, request.Text())
	time.Sleep(time.Until(killAt.Add(-suspended * 4 / 5)))
	c.Process.Signal(syscall.SIGSTOP) // suspends the process until SIGKILL
	time.Sleep(time.Until(killAt))
	c.Process.Kill()
	resp, err := conn.ReadResponse(testTimeout)
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("response %+v, error %v; want status 502", resp, err)
	}
}
