package hotrestart

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

func openSharedDir(t *testing.T) *SharedDir {
	t.Helper()
	dir, err := OpenSharedDir(t.TempDir(), "n/1")
	if err != nil {
		t.Fatal(err)
	}
	return dir
}

// register registers a process. started is its start time in ns after a fixed time.
func register(t *testing.T, dir *SharedDir, started int64) *Presence {
	t.Helper()
	p, err := dir.Register(time.Unix(1_800_000_000, started))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func expectPeerProcesses(t *testing.T, when string, p *Presence, want PeerProcesses) {
	t.Helper()
	got, err := p.PeerProcesses()
	if err != nil {
		t.Fatal(err)
	}
	if got != want {
		t.Errorf("%s: peer processes %+v, want %+v", when, got, want)
	}
}

func TestProcessesSeeEachOther(t *testing.T) {
	dir := openSharedDir(t)
	first := register(t, dir, 1)
	expectPeerProcesses(t, "alone", first, PeerProcesses{})
	second := register(t, dir, 2)
	if err := first.MarkServing(); err != nil {
		t.Fatal(err)
	}
	expectPeerProcesses(t, "with its predecessor", second, PeerProcesses{Running: true})
	expectPeerProcesses(t, "with a successor that doesn't serve yet", first, PeerProcesses{Running: true})
	if err := second.MarkServing(); err != nil {
		t.Fatal(err)
	}
	expectPeerProcesses(t, "superseded", first, PeerProcesses{Running: true, SuccessorServes: true})
	second.file.Close() // as after SIGKILL: its file is not removed
	expectPeerProcesses(t, "with a successor that was killed", first, PeerProcesses{})
	third := register(t, dir, 3)
	first.Unregister()
	expectPeerProcesses(t, "after the first has unregistered", third, PeerProcesses{})
	third.Unregister()
	if files, err := os.ReadDir(dir.path); err != nil || len(files) != 1 { // only the directory of disabled endpoints
		t.Errorf("files in the directory: %v, error %v", files, err)
	}
}

func TestForeignFilesAreNotPeerProcesses(t *testing.T) {
	dir := openSharedDir(t)
	p := register(t, dir, 1)
	defer p.Unregister()
	for _, name := range []string{
		"serving-",
		"serving-x-1",
		"starting-99999999999999999999",
		"other",
		string(statusRegistering) + "00000000000000000009-1",
	} {
		path := filepath.Join(dir.path, name)
		if err := os.WriteFile(path, nil, 0o600); err != nil {
			t.Fatal(err)
		}
		locked, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		defer locked.Close()
		if err := syscall.Flock(int(locked.Fd()), syscall.LOCK_EX); err != nil {
			t.Fatal(err)
		}
	}
	expectPeerProcesses(t, "with foreign files", p, PeerProcesses{})
}

// Processes of different versions share the directory, so its file names must not change.
func TestFileNamesInTheSharedDirectory(t *testing.T) {
	parent := t.TempDir()
	dir, err := OpenSharedDir(parent, "n/1")
	if err != nil {
		t.Fatal(err)
	}
	p := register(t, dir, 1)
	defer p.Unregister()
	expectMatch := func(pattern string) {
		t.Helper()
		if found, err := filepath.Glob(filepath.Join(parent, "rowancart-n%2F1", pattern)); err != nil || len(found) != 1 {
			t.Errorf("%d files match %s, want 1; error %v", len(found), pattern, err)
		}
	}
	expectMatch("starting-01800000000000000001-*")
	if err := p.MarkServing(); err != nil {
		t.Fatal(err)
	}
	expectMatch("serving-01800000000000000001-*")
	if err := dir.Disable("s-1"); err != nil {
		t.Fatal(err)
	}
	expectMatch("bans/732d31")
	if got, want := dir.SnapshotPath(), filepath.Join(parent, "rowancart-n%2F1", "learned"); got != want {
		t.Errorf("snapshot at %s, want %s", got, want)
	}
}

// A process registers while the clock is an hour ahead. The clock is then set back, and another
// process registers. The second process must still be the successor of the first.
func TestLaterProcessIsSuccessorThoughTheClockIsSetBack(t *testing.T) {
	dir := openSharedDir(t)
	first := register(t, dir, int64(time.Hour))
	defer first.Unregister()
	second := register(t, dir, 0)
	defer second.Unregister()
	third := register(t, dir, -int64(time.Hour)) // the clock is set back again
	defer third.Unregister()
	for _, p := range []*Presence{first, second, third} {
		if err := p.MarkServing(); err != nil {
			t.Fatal(err)
		}
	}
	expectPeerProcesses(t, "the first", first, PeerProcesses{Running: true, SuccessorServes: true})
	expectPeerProcesses(t, "the second", second, PeerProcesses{Running: true, SuccessorServes: true})
	expectPeerProcesses(t, "the third", third, PeerProcesses{Running: true})
}

// A failed lock call does not mean that a process has exited, so PeerProcesses must return the
// error.
func TestFailedLockIsNotAnExit(t *testing.T) {
	dir := openSharedDir(t)
	first := register(t, dir, 1)
	second := register(t, dir, 2)
	defer first.Unregister()
	defer second.Unregister()
	for _, failure := range []error{syscall.ENOLCK, syscall.EIO} {
		dir.files.lock = func(*os.File) error { return failure }
		if peers, err := first.PeerProcesses(); !errors.Is(err, failure) {
			t.Errorf("lock error %v: peer processes %+v, error %v", failure, peers, err)
		}
	}
	dir.files.lock = tryLock
	expectPeerProcesses(t, "after the failures", first, PeerProcesses{Running: true})
}

// A failed Register leaves no file behind, and a later call succeeds.
func TestRegisterCanBeRetried(t *testing.T) {
	for name, fail := range map[string]func(*fileCalls){
		"lock":   func(f *fileCalls) { f.lock = func(*os.File) error { return syscall.ENOLCK } },
		"rename": func(f *fileCalls) { f.rename = func(string, string) error { return syscall.ENOSPC } },
	} {
		dir := openSharedDir(t)
		working := dir.files
		fail(&dir.files)
		if _, err := dir.Register(time.Now()); err == nil {
			t.Errorf("%s fails: Register returned no error", name)
		}
		if files, err := os.ReadDir(dir.path); err != nil || len(files) != 1 { // only the directory of disabled endpoints
			t.Errorf("%s: files in the directory: %v, error %v", name, files, err)
		}
		dir.files = working
		register(t, dir, 1).Unregister()
	}
}

// Unregister retries if the removal of the presence file fails.
func TestUnregisterRetriesAFailedRemoval(t *testing.T) {
	dir := openSharedDir(t)
	p := register(t, dir, 1)
	failures := 2
	dir.files.remove = func(path string) error {
		if failures--; failures >= 0 {
			return syscall.EIO
		}
		return os.Remove(path)
	}
	p.Unregister()
	if files, err := os.ReadDir(dir.path); err != nil || len(files) != 1 { // only the directory of disabled endpoints
		t.Errorf("files in the directory: %v, error %v", files, err)
	}
}
