package compatibility

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"rowancart/internal/hotrestart"
)

// lockPresence locks the presence file of the stored sidecar, as that process did, after
// renaming it to begin with a prefix. It returns the start that the file's name says.
func lockPresence(t *testing.T, dir, prefix string) (file *os.File, started time.Time) {
	t.Helper()
	const storedPrefix = "serving-"
	files, err := filepath.Glob(filepath.Join(dir, "rowancart-"+sidecarName, storedPrefix+"*"))
	if err != nil || len(files) != 1 {
		t.Fatalf("%q, %v", files, err)
	}
	stamp := strings.TrimPrefix(filepath.Base(files[0]), storedPrefix)
	path := filepath.Join(filepath.Dir(files[0]), prefix+stamp)
	if err := os.Rename(files[0], path); err != nil {
		t.Fatal(err)
	}
	if file, err = os.Open(path); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	nanoseconds, _, _ := strings.Cut(stamp, "-")
	n, err := strconv.ParseInt(nanoseconds, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return file, time.Unix(0, n)
}

// The earlier program registers by a locked file. This one must see it as a peer process, as its
// successor where it serves and has registered later, and as exited once the lock is released.
// Where its stamp is later though it registered before, the clock was set back.
func TestPresenceOfEarlierProgramIsSeen(t *testing.T) {
	none := hotrestart.PeerProcesses{}
	running := hotrestart.PeerProcesses{Running: true}
	successorServes := hotrestart.PeerProcesses{Running: true, SuccessorServes: true}
	for name, row := range map[string]struct {
		prefix    string
		stampedBy time.Duration // of the earlier program's process, after this one
		isLater   bool          // it registers after this one
		want      hotrestart.PeerProcesses
	}{
		"serving, started before":      {"serving-", -time.Second, false, running},
		"serving, started later":       {"serving-", time.Second, true, successorServes},
		"starting, started before":     {"starting-", -time.Second, false, running},
		"starting, started later":      {"starting-", time.Second, true, running},
		"serving, before a step back":  {"serving-", time.Hour, false, running},
		"starting, before a step back": {"starting-", time.Hour, false, running},
		"not locked yet":               {"entering-", -time.Second, false, none},
	} {
		t.Run(name, func(t *testing.T) {
			dir, apart := copyTree(t, sidecarDir), copyTree(t, sidecarDir)
			earlier, started := lockPresence(t, apart, row.prefix)
			removePresence(t, dir)
			arrive := func() { movePresence(t, apart, dir) }
			if !row.isLater {
				arrive()
			}
			shared, err := hotrestart.OpenSharedDir(dir, sidecarName)
			if err != nil {
				t.Fatal(err)
			}
			presence, err := shared.Register(started.Add(-row.stampedBy))
			if err != nil {
				t.Fatal(err)
			}
			defer presence.Unregister()
			if row.isLater {
				arrive()
			}
			if got, err := presence.PeerProcesses(); err != nil || got != row.want {
				t.Errorf("%+v, want %+v; %v", got, row.want, err)
			}
			earlier.Close()
			if got, err := presence.PeerProcesses(); err != nil || got != none {
				t.Errorf("after its exit: %+v, %v", got, err)
			}
		})
	}
}

// presenceFiles returns the presence files in the shared directory below dir.
func presenceFiles(t *testing.T, dir string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "rowancart-"+sidecarName, "*ing-*"))
	if err != nil || len(files) != 1 {
		t.Fatalf("presence files: %q, %v", files, err)
	}
	return files
}

func removePresence(t *testing.T, dir string) {
	t.Helper()
	if err := os.Remove(presenceFiles(t, dir)[0]); err != nil {
		t.Fatal(err)
	}
}

// movePresence moves a presence file from one copy of the stored directories to another. A lock on
// it stays.
func movePresence(t *testing.T, from, to string) {
	t.Helper()
	path := presenceFiles(t, from)[0]
	if err := os.Rename(path, filepath.Join(to, "rowancart-"+sidecarName, filepath.Base(path))); err != nil {
		t.Fatal(err)
	}
}

// The earlier program sees this one by the names of its files.
func TestPresenceIsWrittenAsStored(t *testing.T) {
	dir := t.TempDir()
	shared, err := hotrestart.OpenSharedDir(dir, sidecarName)
	if err != nil {
		t.Fatal(err)
	}
	started := time.Unix(0, 1_796_189_524_954_980_088)
	presence, err := shared.Register(started)
	if err != nil {
		t.Fatal(err)
	}
	defer presence.Unregister()
	checkName := func(prefix string) {
		t.Helper()
		files, err := filepath.Glob(filepath.Join(dir, "rowancart-"+sidecarName, "*-*"))
		want := fmt.Sprintf("%s01796189524954980088-%d", prefix, os.Getpid())
		if err != nil || len(files) != 1 || filepath.Base(files[0]) != want {
			t.Errorf("%q, want %s; %v", files, want, err)
		}
	}
	checkName("starting-")
	if err := presence.MarkServing(); err != nil {
		t.Fatal(err)
	}
	checkName("serving-")
}
