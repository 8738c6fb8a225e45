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

// lockPresence replaces the prefix of the stored sidecar's presence file, and locks the file as
// that process did. It returns the file and the start time in its name.
func lockPresence(t *testing.T, dir, prefix string) (file *os.File, started time.Time) {
	t.Helper()
	const storedPrefix = "serving-"
	files, err := filepath.Glob(filepath.Join(dir, "rowancart-"+sidecarName, storedPrefix+"*"))
	if err != nil || len(files) != 1 {
		t.Fatalf("presence files %q, error %v", files, err)
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

// A process of an earlier version registers with a locked presence file. This version must see it
// as a peer process, as a serving successor if it registered later and serves requests, and as
// exited once the lock is released. If the clock was set back, the stamp of a process that
// registered earlier can be later than the start time of this one. It must not be taken for a
// successor.
func TestPresenceOfEarlierProgramIsSeen(t *testing.T) {
	none := hotrestart.PeerProcesses{}
	running := hotrestart.PeerProcesses{Running: true}
	successorServes := hotrestart.PeerProcesses{Running: true, SuccessorServes: true}
	for name, row := range map[string]struct {
		prefix         string
		startOffset    time.Duration // start time of the earlier version's process relative to this one
		registersLater bool          // the earlier version's process registers after this one
		want           hotrestart.PeerProcesses
	}{
		"serving, started before":  {"serving-", -time.Second, false, running},
		"serving, started later":   {"serving-", time.Second, true, successorServes},
		"starting, started before": {"starting-", -time.Second, false, running},
		"starting, started later":  {"starting-", time.Second, true, running},
		"serving, clock set back":  {"serving-", time.Hour, false, running},
		"starting, clock set back": {"starting-", time.Hour, false, running},
		"not locked yet":           {"entering-", -time.Second, false, none},
	} {
		t.Run(name, func(t *testing.T) {
			dir, earlierDir := copyTree(t, sidecarDir), copyTree(t, sidecarDir)
			earlier, started := lockPresence(t, earlierDir, row.prefix)
			removePresence(t, dir)
			addEarlier := func() { movePresence(t, earlierDir, dir) }
			if !row.registersLater {
				addEarlier()
			}
			shared, err := hotrestart.OpenSharedDir(dir, sidecarName)
			if err != nil {
				t.Fatal(err)
			}
			presence, err := shared.Register(started.Add(-row.startOffset))
			if err != nil {
				t.Fatal(err)
			}
			defer presence.Unregister()
			if row.registersLater {
				addEarlier()
			}
			if got, err := presence.PeerProcesses(); err != nil || got != row.want {
				t.Errorf("peer processes %+v, want %+v; error %v", got, row.want, err)
			}
			earlier.Close()
			if got, err := presence.PeerProcesses(); err != nil || got != none {
				t.Errorf("after the other process exited: peer processes %+v, error %v", got, err)
			}
		})
	}
}

// presenceFiles returns the paths of the presence files in the shared directory below dir.
func presenceFiles(t *testing.T, dir string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "rowancart-"+sidecarName, "*ing-*"))
	if err != nil || len(files) != 1 {
		t.Fatalf("presence files %q, want one; error %v", files, err)
	}
	return files
}

func removePresence(t *testing.T, dir string) {
	t.Helper()
	if err := os.Remove(presenceFiles(t, dir)[0]); err != nil {
		t.Fatal(err)
	}
}

// movePresence moves the presence file from one copy of the stored directories to another. A lock
// on the file is kept.
func movePresence(t *testing.T, from, to string) {
	t.Helper()
	path := presenceFiles(t, from)[0]
	if err := os.Rename(path, filepath.Join(to, "rowancart-"+sidecarName, filepath.Base(path))); err != nil {
		t.Fatal(err)
	}
}

// Earlier versions find a process of this version by the name of its presence file, so that name
// must not change.
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
			t.Errorf("presence files %q, want %s; error %v", files, want, err)
		}
	}
	checkName("starting-")
	if err := presence.MarkServing(); err != nil {
		t.Fatal(err)
	}
	checkName("serving-")
}
