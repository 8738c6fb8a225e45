package sidecar

import (
	"errors"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"rowancart/internal/platform"
	"rowancart/internal/testpeer"
)

// movedSharedDir is the name of the shared directory while breakSharedDir has moved it away.
const movedSharedDir = "moved"

// breakSharedDir makes all operations in the shared directory of a test sidecar fail until the
// returned function is called.
func breakSharedDir(t *testing.T, parent string) (restore func()) {
	t.Helper()
	path := filepath.Join(parent, "rowancart-") // a test sidecar has no name
	moved := filepath.Join(parent, movedSharedDir)
	if err := os.Rename(path, moved); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, nil, 0o600); err != nil { // not a directory
		t.Fatal(err)
	}
	return func() {
		if err := os.Remove(path); err != nil {
			t.Error(err)
		}
		if err := os.Rename(moved, path); err != nil {
			t.Error(err)
		}
	}
}

// An endpoint that an operator has disabled must stay disabled in the next process, even if the
// shared directory fails while that process starts.
func TestEndpointStaysDisabledThoughSharedDirFailsAtStart(t *testing.T) {
	a := newEndpoint(t, respondWith(okResponse, true))
	b := newEndpoint(t, respondWith(okResponse, true))
	sharedDir := t.TempDir()
	endpoints := []platform.Endpoint{listed("a", a.Addr, platform.StateReady), listed("b", b.Addr, platform.StateReady)}
	first := testOptions{sharedDir: sharedDir, endpoints: endpoints}.start(t)
	first.requireSuccess(t, "disable-server a")
	first.terminate()
	first.waitForServeResult(t)

	restore := breakSharedDir(t, sharedDir)
	second := testOptions{sharedDir: sharedDir, endpoints: endpoints}.start(t)
	answered := make(chan int)
	go func() { answered <- second.get(t, "/look", "early", 60000) }()
	testpeer.WaitUntil(t, "the admin interface responds", func() bool { return second.adminCommand(t, "ready") != "" })
	restore()
	if status := <-answered; status != http.StatusOK {
		t.Errorf("a request sent while the directory failed gets status %d, want 200", status)
	}
	for i := range 10 {
		second.get(t, "/look", fmt.Sprint("later", i), 60000)
	}
	if n := a.Requests.Load(); n != 0 {
		t.Errorf("%d requests went to the disabled endpoint", n)
	}
}

// If the shared directory fails while an operator disables an endpoint, the endpoint is disabled at
// once, and this is stored as soon as the directory works again.
func TestDisabledEndpointIsStoredOnceSharedDirWorks(t *testing.T) {
	a := newEndpoint(t, respondWith(okResponse, true))
	b := newEndpoint(t, respondWith(okResponse, true))
	sharedDir := t.TempDir()
	endpoints := []platform.Endpoint{listed("a", a.Addr, platform.StateReady), listed("b", b.Addr, platform.StateReady)}
	first := testOptions{sharedDir: sharedDir, endpoints: endpoints}.start(t)
	waitUntil(t, "the first process serves", func() bool { return first.readiness.accepting.Load() })
	restore := breakSharedDir(t, sharedDir)
	first.requireFailure(t, "disable-server a")
	for i := range 6 {
		first.get(t, "/look", fmt.Sprint("unstored", i), 60000)
	}
	restore()
	disabledDir := filepath.Join(sharedDir, "rowancart-", "bans")
	waitUntil(t, "the disabled endpoint is stored", func() bool {
		files, err := os.ReadDir(disabledDir)
		return err == nil && len(files) == 1
	})
	first.terminate()
	first.waitForServeResult(t)
	second := testOptions{sharedDir: sharedDir, endpoints: endpoints}.start(t)
	for i := range 6 {
		second.get(t, "/look", fmt.Sprint("stored", i), 60000)
	}
	if n := a.Requests.Load(); n != 0 {
		t.Errorf("%d requests went to the disabled endpoint", n)
	}
	second.requireSuccess(t, "enable-server a")
	if files, err := os.ReadDir(disabledDir); err != nil || len(files) != 0 {
		t.Errorf("files after the endpoint was enabled: %v, error %v; want none", files, err)
	}
}

// A process that is killed while it writes a snapshot leaves an incomplete file. The next process
// must remove it, since the file counts as memory.
func TestIncompleteSnapshotIsRemoved(t *testing.T) {
	sharedDir := t.TempDir()
	dir := filepath.Join(sharedDir, "rowancart-")
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	leftover := filepath.Join(dir, "learned.new-17")
	if err := os.WriteFile(leftover, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	testOptions{sharedDir: sharedDir}.start(t)
	waitUntil(t, "the incomplete snapshot is removed", func() bool {
		_, err := os.Stat(leftover)
		return err != nil
	})
}

// If the shared directory fails while a snapshot is written, the incomplete file is removed once
// the directory works again.
func TestIncompleteSnapshotOfFailedWriteIsRemoved(t *testing.T) {
	sharedDir := t.TempDir()
	s := testOptions{sharedDir: sharedDir}.start(t)
	waitUntil(t, "the sidecar serves", func() bool { return s.readiness.accepting.Load() })
	restore := breakSharedDir(t, sharedDir)
	waitUntil(t, "writing a snapshot fails", func() bool { return s.handover.snapshots.failed.Load() })
	leftover := filepath.Join(sharedDir, movedSharedDir, "learned.new-17")
	if err := os.WriteFile(leftover, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	restore()
	waitUntil(t, "the incomplete snapshot is removed", func() bool {
		_, err := os.Stat(filepath.Join(sharedDir, "rowancart-", "learned.new-17"))
		return errors.Is(err, fs.ErrNotExist)
	})
}
