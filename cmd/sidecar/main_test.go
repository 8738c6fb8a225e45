package main

import (
	"fmt"
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
)

const patience = 20 * time.Second // no test should come near it

// agent is a discovery agent that never has news and reports each call.
func agent(t *testing.T) (addr string, called <-chan string) {
	t.Helper()
	calls := make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		if r.URL.RawQuery == "" {
			io.WriteString(w, `{"version":1,"full":true,"servers":[]}`)
			return
		}
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), calls
}

func configure(t *testing.T, path, discovery string) {
	t.Helper()
	text := fmt.Sprintf(`{"name":"t","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
		"known":{"version":1,"full":true,"servers":[]},"settings":{}}`, discovery)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func await(t *testing.T, what string, called <-chan string) {
	t.Helper()
	select {
	case <-called:
	case <-time.After(patience):
		t.Fatalf("%s was never called", what)
	}
}

// The platform replaces the file and sends SIGHUP: the program must go on, with discovery at its new address.
func TestSIGHUPTurnsToTheNewDiscovery(t *testing.T) {
	first, firstCalled := agent(t)
	second, secondCalled := agent(t)
	path := filepath.Join(t.TempDir(), "config.json")
	configure(t, path, first)
	t.Setenv("ROUTER_CONFIG", path)
	ended := make(chan error, 1)
	go func() { ended <- run() }()
	await(t, "the first agent", firstCalled)

	signal := func(s syscall.Signal) {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(path, []byte("{half of a"), 0o600); err != nil { // must not end it either
		t.Fatal(err)
	}
	signal(syscall.SIGHUP)
	configure(t, path, second)
	signal(syscall.SIGHUP)
	await(t, "the second agent", secondCalled)

	signal(syscall.SIGTERM)
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(patience):
		t.Error("never ended")
	}
}

// SIGHUP may come at any time up to the very end: a sidecar that ends on it has crashed.
func TestSIGHUPBehindTheEndIsHeeded(t *testing.T) {
	procs, percent, most := runtime.GOMAXPROCS(0), debug.SetGCPercent(100), debug.SetMemoryLimit(-1)
	t.Cleanup(func() { runtime.GOMAXPROCS(procs); debug.SetGCPercent(percent); debug.SetMemoryLimit(most) })
	addr, called := agent(t)
	path := filepath.Join(t.TempDir(), "config.json")
	configure(t, path, addr)
	t.Setenv("ROUTER_CONFIG", path)
	ended := make(chan error, 1)
	go func() { ended <- run() }()
	await(t, "discovery is called", called)
	signalled := make(chan os.Signal, 1)
	signal.Notify(signalled, syscall.SIGUSR1)
	defer signal.Stop(signalled)
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Errorf("ended with %v", err)
	}
	syscall.Kill(os.Getpid(), syscall.SIGHUP) // of several that are pending the lowest number is delivered first
	syscall.Kill(os.Getpid(), syscall.SIGUSR1)
	<-signalled
}

// The platform's program stays lean: whatever the rest of the repository uses, it links only this.
func TestLinksNothingHeavy(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "-f", "{{if not .Standard}}{{.ImportPath}}{{end}}", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	allowed := []string{
		"rowancart/balancer", "rowancart/cmd/sidecar", "rowancart/internal/admin", "rowancart/internal/connpool",
		"rowancart/internal/discovery/platform",
		"rowancart/internal/hotrestart", "rowancart/internal/http1", "rowancart/internal/httpserver", "rowancart/internal/metrics",
		"rowancart/internal/netaddr", "rowancart/internal/proxy", "rowancart/internal/route", "rowancart/internal/sidecar",
		"rowancart/internal/snapshot", "rowancart/internal/wire", "github.com/cespare/xxhash/v2",
	}
	for dep := range strings.FieldsSeq(string(out)) {
		if !slices.Contains(allowed, dep) {
			t.Errorf("it links %s", dep)
		}
	}
}
