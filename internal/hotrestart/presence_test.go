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

// register registers a process that started at a time in ns.
func register(t *testing.T, dir *SharedDir, started int64) *Presence {
	t.Helper()
	p, err := dir.Register(time.Unix(1_800_000_000, started))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func expectPeers(t *testing.T, when string, p *Presence, want Peers) {
	t.Helper()
	got, err := p.Peers()
	if err != nil {
		t.Fatal(err)
	}
	if got != want {
		t.Errorf("%s: %+v, want %+v", when, got, want)
	}
}

func TestProcessesSeeEachOther(t *testing.T) {
	dir := openSharedDir(t)
	first := register(t, dir, 1)
	expectPeers(t, "alone", first, Peers{})
	second := register(t, dir, 2)
	if err := first.MarkServing(); err != nil {
		t.Fatal(err)
	}
	expectPeers(t, "with its predecessor", second, Peers{Alive: true})
	expectPeers(t, "with a successor that doesn't serve yet", first, Peers{Alive: true})
	if err := second.MarkServing(); err != nil {
		t.Fatal(err)
	}
	expectPeers(t, "superseded", first, Peers{Alive: true, Successor: true})
	second.file.Close() // as at its death: its file stays
	expectPeers(t, "with a dead successor", first, Peers{})
	third := register(t, dir, 3)
	first.Unregister()
	expectPeers(t, "after the first has unregistered", third, Peers{})
	third.Unregister()
	if left, err := os.ReadDir(dir.path); err != nil || len(left) != 1 { // that of disabled endpoints
		t.Errorf("left in the directory: %v, %v", left, err)
	}
}

func TestForeignFilesAreNoPeers(t *testing.T) {
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
	expectPeers(t, "with foreign files", p, Peers{})
}

// Processes of different versions meet in the directory: a rename in the code must not reach it.
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
			t.Errorf("%d files match %s, %v", len(found), pattern, err)
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

// A process registers while the clock is an hour ahead; the clock is set back, and another one
// registers. The second is the successor nevertheless.
func TestSuccessorIsTheLaterProcessWhateverTheClock(t *testing.T) {
	dir := openSharedDir(t)
	first := register(t, dir, int64(time.Hour))
	defer first.Unregister()
	second := register(t, dir, 0)
	defer second.Unregister()
	third := register(t, dir, -int64(time.Hour)) // and back once more
	defer third.Unregister()
	for _, p := range []*Presence{first, second, third} {
		if err := p.MarkServing(); err != nil {
			t.Fatal(err)
		}
	}
	expectPeers(t, "the first", first, Peers{Alive: true, Successor: true})
	expectPeers(t, "the second", second, Peers{Alive: true, Successor: true})
	expectPeers(t, "the third", third, Peers{Alive: true})
}

// A failure of this machine is no death of a process: with an error nothing is known of the peers.
func TestFailedLockIsNoDeath(t *testing.T) {
	dir := openSharedDir(t)
	first, second := register(t, dir, 1), register(t, dir, 2)
	defer first.Unregister()
	defer second.Unregister()
	for _, failure := range []error{syscall.ENOLCK, syscall.EIO} {
		dir.files.lock = func(*os.File) error { return failure }
		if peers, err := first.Peers(); !errors.Is(err, failure) {
			t.Errorf("%v: %+v, %v", failure, peers, err)
		}
	}
	dir.files.lock = tryLock
	expectPeers(t, "after the failures", first, Peers{Alive: true})
}

// Registering fails for a while, and leaves nothing behind.
func TestRegisterCanBeTriedAgain(t *testing.T) {
	for name, fail := range map[string]func(*fileCalls){
		"lock":   func(f *fileCalls) { f.lock = func(*os.File) error { return syscall.ENOLCK } },
		"rename": func(f *fileCalls) { f.rename = func(string, string) error { return syscall.ENOSPC } },
	} {
		dir := openSharedDir(t)
		working := dir.files
		fail(&dir.files)
		if _, err := dir.Register(time.Now()); err == nil {
			t.Errorf("%s: no error", name)
		}
		if left, err := os.ReadDir(dir.path); err != nil || len(left) != 1 { // that of disabled endpoints
			t.Errorf("%s: left in the directory: %v, %v", name, left, err)
		}
		dir.files = working
		register(t, dir, 1).Unregister()
	}
}

// The removal of the file fails for a moment: a process that ends leaves it behind no more than a
// disk that works again does.
func TestUnregisterOutlivesAFailedRemoval(t *testing.T) {
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
	if left, err := os.ReadDir(dir.path); err != nil || len(left) != 1 { // that of disabled endpoints
		t.Errorf("left in the directory: %v, %v", left, err)
	}
}
