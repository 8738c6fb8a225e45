package sidecar

import (
	"errors"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"testing"

)

// breakSharedDir makes the shared directory of a test sidecar fail, as a file system in trouble
// does, until the function returned is called.
func breakSharedDir(t *testing.T, parent string) (mend func()) {
	t.Helper()
	path := filepath.Join(parent, "rowancart-") // a test sidecar has no name
	aside := filepath.Join(parent, "aside")
	if err := os.Rename(path, aside); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, nil, 0o600); err != nil { // where a directory is wanted
		t.Fatal(err)
	}
	return func() {
		if err := os.Remove(path); err != nil {
			t.Error(err)
		}
		if err := os.Rename(aside, path); err != nil {
			t.Error(err)
		}
	}
}

// A ban that was taken on holds in the next process, though the shared directory fails while that
// process starts.
func TestBanOutlivesFailureOfSharedDirAtStart(t *testing.T) {
	a, b := newEndpoint(t, respondWith(okResponse, true)), newEndpoint(t, respondWith(okResponse, true))
	sharedDir := t.TempDir()
	endpoints := []string{endpointJSON("a", a.Addr, "Ready"), endpointJSON("b", b.Addr, "Ready")}
	first := testOptions{sharedDir: sharedDir, endpoints: endpoints}.start(t)
	first.requireSuccess(t, "disable-server a")
	first.terminate()
	first.waitForServeResult(t)

	mend := breakSharedDir(t, sharedDir)
	second := testOptions{sharedDir: sharedDir, endpoints: endpoints}.start(t)
	answered := make(chan int)
	go func() { answered <- second.get(t, "/look", "early", 60000) }()
	waitUntil(t, "the process answers its operators", func() bool { return second.adminCommand(t, "ready") != "" })
	mend()
	if status := <-answered; status != http.StatusOK {
		t.Errorf("a request from before the directory's return gets status %d", status)
	}
	for i := range 10 {
		second.get(t, "/look", fmt.Sprint("later", i), 60000)
	}
	if n := a.Requests.Load(); n != 0 {
		t.Errorf("%d requests went to the endpoint that is out", n)
	}
}

// The shared directory fails from the first moment on, and while operators disable an endpoint: the
// ban is in force at once, and is stored as soon as the directory works.
func TestBanIsStoredOnceSharedDirWorks(t *testing.T) {
	a, b := newEndpoint(t, respondWith(okResponse, true)), newEndpoint(t, respondWith(okResponse, true))
	sharedDir := t.TempDir()
	endpoints := []string{endpointJSON("a", a.Addr, "Ready"), endpointJSON("b", b.Addr, "Ready")}
	first := testOptions{sharedDir: sharedDir, endpoints: endpoints}.start(t)
	waitUntil(t, "it serves", func() bool { return first.readiness.accepting.Load() })
	mend := breakSharedDir(t, sharedDir)
	first.requireFailure(t, "disable-server a")
	for i := range 6 {
		first.get(t, "/look", fmt.Sprint("unstored", i), 60000)
	}
	mend()
	bans := filepath.Join(sharedDir, "rowancart-", "bans")
	waitUntil(t, "the ban is stored", func() bool {
		files, err := os.ReadDir(bans)
		return err == nil && len(files) == 1
	})
	first.terminate()
	first.waitForServeResult(t)
	second := testOptions{sharedDir: sharedDir, endpoints: endpoints}.start(t)
	for i := range 6 {
		second.get(t, "/look", fmt.Sprint("stored", i), 60000)
	}
	if n := a.Requests.Load(); n != 0 {
		t.Errorf("%d requests went to the endpoint that is out", n)
	}
	second.requireSuccess(t, "enable-server a")
	if files, err := os.ReadDir(bans); err != nil || len(files) != 0 {
		t.Errorf("after the call back: %v, %v", files, err)
	}
}

// A process was killed while it wrote what it had learned: the next one removes the half-written
// file, which counts as memory.
func TestHalfWrittenSnapshotIsRemoved(t *testing.T) {
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
	waitUntil(t, "the file is gone", func() bool {
		_, err := os.Stat(leftover)
		return err != nil
	})
}

// The shared directory fails in the middle of a write: what that has left half written is removed
// once the directory works again.
func TestLeftoverOfAFailedWriteIsRemoved(t *testing.T) {
	sharedDir := t.TempDir()
	s := testOptions{sharedDir: sharedDir}.start(t)
	waitUntil(t, "it serves", func() bool { return s.readiness.accepting.Load() })
	mend := breakSharedDir(t, sharedDir)
	waitUntil(t, "a write fails", func() bool { return s.handover.snapshots.failed.Load() })
	leftover := filepath.Join(sharedDir, "aside", "learned.new-17")
	if err := os.WriteFile(leftover, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	mend()
	waitUntil(t, "the file is gone", func() bool {
		_, err := os.Stat(filepath.Join(sharedDir, "rowancart-", "learned.new-17"))
		return errors.Is(err, fs.ErrNotExist)
	})
}
