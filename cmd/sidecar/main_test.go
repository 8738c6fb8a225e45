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

const testTimeout = 20 * time.Second // no test should come near it

// startDiscovery starts a fake discovery that lists no endpoints and never sends a change. It
// returns its address and reports each call.
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

// anyLoopbackAddr lets the kernel choose a port.
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

// waitForCall waits until a fake discovery has been called.
func waitForCall(t *testing.T, what string, called <-chan string) {
	t.Helper()
	select {
	case <-called:
	case <-time.After(testTimeout):
		t.Fatalf("%s was never called", what)
	}
}

// startProgram starts the program in this process, with the configuration at a path. The channel
// gets its result.
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

// requireCleanEnd waits until the program has ended, which must be without an error.
func requireCleanEnd(t *testing.T, ended <-chan error) {
	t.Helper()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(testTimeout):
		t.Error("never ended")
	}
}

// The platform replaces the file and sends SIGHUP: the program must go on, with discovery at its
// new address.
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

// SIGHUP may come at any time until the process exits, and must not terminate it.
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
	signalled := make(chan os.Signal, 1)
	signal.Notify(signalled, syscall.SIGUSR1)
	defer signal.Stop(signalled)
	signalSelf(t, syscall.SIGTERM)
	requireCleanEnd(t, ended)
	signalSelf(t, syscall.SIGHUP) // of several that are pending the lowest number is delivered first
	signalSelf(t, syscall.SIGUSR1)
	<-signalled
}

// The platform's program stays small: whatever the rest of the repository imports, it links only
// these packages.
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
		"rowancart/internal/logkey", "rowancart/internal/metrics",
		"rowancart/internal/netaddr", "rowancart/internal/proxy", "rowancart/internal/route", "rowancart/internal/sidecar",
		"rowancart/internal/snapshot", "rowancart/internal/platform", "github.com/cespare/xxhash/v2",
	}
	for dep := range strings.FieldsSeq(string(out)) {
		if !slices.Contains(allowed, dep) {
			t.Errorf("it links %s", dep)
		}
	}
}

// The file can't be read at the moment of the signal. No other signal follows: it is read once that
// is possible.
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
	time.Sleep(200 * time.Millisecond) // that the signal is handled first is likely; the test holds either way
	writeConfig(t, path, configWithoutEndpoints(anyLoopbackAddr, second))
	waitForCall(t, "the second discovery", secondCalled)
	signalSelf(t, syscall.SIGTERM)
	requireCleanEnd(t, ended)
}
