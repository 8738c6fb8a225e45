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

// The earlier program shows that it runs by a locked file. This one must see it as a peer, as a
// successor where it serves and has started later, and as gone when the lock is.
func TestPresenceOfEarlierProgramIsSeen(t *testing.T) {
	for name, row := range map[string]struct {
		prefix string
		after  time.Duration // the start of the earlier program's process
		want   hotrestart.Peers
	}{
		"serving, started before":  {"serving-", time.Second, hotrestart.Peers{Alive: true}},
		"serving, started later":   {"serving-", -time.Second, hotrestart.Peers{Alive: true, Successor: true}},
		"starting, started before": {"starting-", time.Second, hotrestart.Peers{Alive: true}},
		"starting, started later":  {"starting-", -time.Second, hotrestart.Peers{Alive: true}},
		"not locked yet":           {"entering-", time.Second, hotrestart.Peers{}},
	} {
		t.Run(name, func(t *testing.T) {
			dir := copyTree(t, sidecarDir)
			earlier, started := lockPresence(t, dir, row.prefix)
			shared, err := hotrestart.OpenSharedDir(dir, sidecarName)
			if err != nil {
				t.Fatal(err)
			}
			presence, err := shared.Register(started.Add(row.after))
			if err != nil {
				t.Fatal(err)
			}
			defer presence.Unregister()
			if got, err := presence.Peers(); err != nil || got != row.want {
				t.Errorf("%+v, want %+v; %v", got, row.want, err)
			}
			earlier.Close()
			if got, err := presence.Peers(); err != nil || got != (hotrestart.Peers{}) {
				t.Errorf("after its end: %+v, %v", got, err)
			}
		})
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
