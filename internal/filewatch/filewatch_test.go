package filewatch

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"rowancart/internal/testpeer"
)

// startWatch watches a file whose known content is "old". It returns a channel that receives each
// content that File reports.
func startWatch(t *testing.T, path string) chan string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	changes, done := make(chan string, 100), make(chan struct{})
	go func() {
		defer close(done)
		if err := File(ctx, path, []byte("old"), func(text []byte) { changes <- string(text) }); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
	return changes
}

func expectChange(t *testing.T, changes chan string, want string) {
	t.Helper()
	select {
	case got := <-changes:
		if got != want {
			t.Errorf("reported content %q, want %q", got, want)
		}
	case <-time.After(testpeer.WaitTimeout):
		t.Fatalf("no change to content %q was reported", want)
	}
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func rename(t *testing.T, from, to string) {
	t.Helper()
	if err := os.Rename(from, to); err != nil {
		t.Fatal(err)
	}
}

func symlink(t *testing.T, target, path string) {
	t.Helper()
	if err := os.Symlink(target, path); err != nil {
		t.Fatal(err)
	}
}

func TestFileReportsEachKindOfChange(t *testing.T) {
	for name, change := range map[string]func(t *testing.T, dir, path string){
		"replaced by a rename": func(t *testing.T, dir, path string) {
			write(t, filepath.Join(dir, "next"), "new")
			rename(t, filepath.Join(dir, "next"), path)
		},
		"removed for a moment": func(t *testing.T, dir, path string) {
			rename(t, path, filepath.Join(dir, "backup"))
			time.Sleep(2 * settleDelay)
			write(t, filepath.Join(dir, "next"), "new")
			rename(t, filepath.Join(dir, "next"), path)
		},
		"a link that is changed": func(t *testing.T, dir, path string) {
			write(t, filepath.Join(dir, "target"), "new")
			symlink(t, "target", filepath.Join(dir, "next"))
			rename(t, filepath.Join(dir, "next"), path)
		},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			path := filepath.Join(dir, "file")
			write(t, path, "old")
			changes := startWatch(t, path)
			change(t, dir, path)
			expectChange(t, changes, "new")
		})
	}
}

func TestFileReportsAChangeBeforeTheWatch(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	write(t, path, "new")
	expectChange(t, startWatch(t, path), "new")
}

// A file that is written in place may be read while it is incomplete. The final content must be
// reported in any case.
func TestFileReportsAWriteInPlace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	write(t, path, "old")
	changes := startWatch(t, path)
	write(t, path, "new")
	last := ""
	testpeer.WaitUntil(t, "the new content", func() bool {
		select {
		case last = <-changes:
		default:
		}
		return last == "new"
	})
}

func TestFileNeedsADirectory(t *testing.T) {
	path := filepath.Join(t.TempDir(), "none", "file")
	if err := File(t.Context(), path, nil, func([]byte) {}); err == nil {
		t.Error("File returned no error for a directory that doesn't exist")
	}
}
