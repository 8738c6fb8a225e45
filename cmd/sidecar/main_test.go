package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"rowancart/internal/platform"
	"rowancart/internal/testpeer"
)

const testTimeout = 20 * time.Second // bounds each wait; no passing test comes near it

// startDiscovery starts a fake discovery that lists no endpoints and never sends a change. It
// returns its address and a channel that receives the query of each call.
func startDiscovery(t *testing.T) (addr string, called <-chan string) {
	t.Helper()
	calls := make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		if r.URL.RawQuery == "" {
			io.WriteString(w, testpeer.CompleteList(1))
			return
		}
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), calls
}

// writeConfig writes a configuration file.
func writeConfig(t *testing.T, path string, config platform.ConfigFile) {
	t.Helper()
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// anyLoopbackAddr is a loopback address whose port the kernel chooses.
const anyLoopbackAddr = "127.0.0.1:0"

// configWithoutEndpoints returns a configuration whose known endpoint list is empty.
func configWithoutEndpoints(addr, discovery string) platform.ConfigFile {
	return platform.ConfigFile{
		Name:           "t",
		Listen:         addr,
		Discovery:      discovery,
		Seed:           "1",
		KnownEndpoints: platform.CompleteList(1),
	}
}

// waitForCall waits until the named fake discovery has been called.
func waitForCall(t *testing.T, what string, called <-chan string) {
	t.Helper()
	select {
	case <-called:
	case <-time.After(testTimeout):
		t.Fatalf("%s was not called", what)
	}
}

// startProgram runs the program inside the test process, with the configuration file at a path. The
// returned channel receives its result.
func startProgram(t *testing.T, config string) <-chan error {
	t.Helper()
	t.Setenv(platform.EnvConfig, config)
	ended := make(chan error, 1)
	go func() { ended <- run() }()
	return ended
}

// signalSelf sends a signal to this process.
func signalSelf(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), s); err != nil {
		t.Fatal(err)
	}
}

// requireCleanEnd waits until the program ends, and checks that it ends without an error.
func requireCleanEnd(t *testing.T, ended <-chan error) {
	t.Helper()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the program ended with error %v", err)
		}
	case <-time.After(testTimeout):
		t.Error("the program did not end")
	}
}

// When the platform replaces the configuration file and sends SIGHUP, the program must go on and
// use the new address of discovery.
func TestSIGHUPReloadsDiscoveryAddress(t *testing.T) {
	first, firstCalled := startDiscovery(t)
	second, secondCalled := startDiscovery(t)
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, configWithoutEndpoints(anyLoopbackAddr, first))
	ended := startProgram(t, path)
	waitForCall(t, "the first discovery", firstCalled)

	if err := os.WriteFile(path, []byte("{half of a"), 0o600); err != nil { // must not end the program either
		t.Fatal(err)
	}
	signalSelf(t, syscall.SIGHUP)
	writeConfig(t, path, configWithoutEndpoints(anyLoopbackAddr, second))
	signalSelf(t, syscall.SIGHUP)
	waitForCall(t, "the second discovery", secondCalled)

	signalSelf(t, syscall.SIGTERM)
	requireCleanEnd(t, ended)
}

// SIGHUP may arrive at any time until the process exits, and must not terminate it.
func TestSIGHUPAfterShutdownIsHandled(t *testing.T) {
	procs := runtime.GOMAXPROCS(0)
	gcPercent := debug.SetGCPercent(100)
	memoryLimit := debug.SetMemoryLimit(-1)
	t.Cleanup(func() {
		runtime.GOMAXPROCS(procs)
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(memoryLimit)
	})
	addr, called := startDiscovery(t)
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, configWithoutEndpoints(anyLoopbackAddr, addr))
	ended := startProgram(t, path)
	waitForCall(t, "discovery", called)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	defer signal.Stop(signals)
	signalSelf(t, syscall.SIGTERM)
	requireCleanEnd(t, ended)
	signalSelf(t, syscall.SIGHUP) // of several pending signals, the one with the lowest number is delivered first
	signalSelf(t, syscall.SIGUSR1)
	<-signals
}

// The sidecar must stay small: it may link only these packages, whatever the rest of the repository
// imports.
func TestLinksAllowedPackagesOnly(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "-f", "{{if not .Standard}}{{.ImportPath}}{{end}}", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	allowed := []string{
		"rowancart/balancer", "rowancart/cmd/sidecar", "rowancart/internal/admin", "rowancart/internal/asynclog",
		"rowancart/internal/connpool",
		"rowancart/internal/discovery/watch",
		"rowancart/internal/hotrestart", "rowancart/internal/http1", "rowancart/internal/httpserver",
		"rowancart/internal/logkey", "rowancart/internal/membudget", "rowancart/internal/metrics",
		"rowancart/internal/netaddr", "rowancart/internal/proxy", "rowancart/internal/recentids", "rowancart/internal/route",
		"rowancart/internal/sharedbody", "rowancart/internal/shutdown",
		"rowancart/internal/sidecar",
		"rowancart/internal/snapshot", "rowancart/internal/platform", "github.com/cespare/xxhash/v2",
	}
	for dep := range strings.FieldsSeq(string(out)) {
		if !slices.Contains(allowed, dep) {
			t.Errorf("the sidecar links %s, which is not allowed", dep)
		}
	}
}

// If the configuration file can't be read when SIGHUP arrives, reading it must be retried, since no
// further signal follows.
func TestReloadIsRetried(t *testing.T) {
	first, firstCalled := startDiscovery(t)
	second, secondCalled := startDiscovery(t)
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, configWithoutEndpoints(anyLoopbackAddr, first))
	ended := startProgram(t, path)
	waitForCall(t, "the first discovery", firstCalled)

	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	signalSelf(t, syscall.SIGHUP)
	time.Sleep(200 * time.Millisecond) // the signal is most likely handled first; the test is valid either way
	writeConfig(t, path, configWithoutEndpoints(anyLoopbackAddr, second))
	waitForCall(t, "the second discovery", secondCalled)
	signalSelf(t, syscall.SIGTERM)
	requireCleanEnd(t, ended)
}
