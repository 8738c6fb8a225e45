package snapshot

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

type content struct {
	Names []string
	Share float64
}

var written = time.UnixMilli(1_800_000_000_000)

func write(t *testing.T) (path string, text string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "state")
	if err := Write(path, written, content{[]string{"a", "b\n{"}, 0.25}); err != nil {
		t.Fatal(err)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return path, string(b)
}

func TestWhatWasWrittenIsRead(t *testing.T) {
	path, _ := write(t)
	var c content
	ago, err := Read(path, written.Add(3*time.Second), time.Minute, &c)
	if err != nil || ago != 3*time.Second || len(c.Names) != 2 || c.Names[1] != "b\n{" || c.Share != 0.25 {
		t.Fatalf("%+v, %v ago, %v", c, ago, err)
	}
	if ago, err := Read(path, written.Add(-time.Second), time.Minute, &c); err != nil || ago != 0 {
		t.Errorf("a second ahead: %v, %v", ago, err)
	}
	if err := WriteNoSync(path, written, content{Share: 1}); err != nil {
		t.Fatal(err)
	}
	left, err := os.ReadDir(filepath.Dir(path))
	if err != nil || len(left) != 1 {
		t.Errorf("after a second write there are %v, %v", left, err)
	}
}

// Whatever is cut off or changed, nothing of the file is used.
func TestABrokenFileIsIgnored(t *testing.T) {
	path, text := write(t)
	read := func(text string) error {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var c content
		_, err := Read(path, written, time.Minute, &c)
		if err != nil && (c.Names != nil || strings.Contains(err.Error(), "\n")) {
			t.Fatalf("%q: %+v is used, or more than a line is said: %v", text, c, err)
		}
		return err
	}
	for i := range text {
		if read(text[:i]) == nil {
			t.Fatalf("cut after %d bytes, it is read", i)
		}
		other := []byte(text)
		other[i] ^= 0x10
		// One bit in the time of writing makes it old, or of the future, or leaves it a time that will do.
		if err := read(string(other)); err == nil && !strings.Contains(text[max(i-16, 0):i+1], "written_ms") {
			t.Fatalf("with byte %d (%q) changed, it is read", i, text[i])
		}
	}
	if err := read(text + "x"); !errors.Is(err, ErrCorrupt) {
		t.Errorf("with more behind it: %v", err)
	}
	if err := read(strings.Replace(text, `"version":1`, `"version":2`, 1)); !errors.Is(err, ErrVersion) {
		t.Errorf("of another version: %v", err)
	}
}

func TestOnlyWhatIsFreshIsUsed(t *testing.T) {
	path, _ := write(t)
	for _, row := range []struct {
		after time.Duration
		want  error
	}{{time.Minute, nil}, {time.Minute + time.Second, ErrExpired}, {-time.Hour, ErrFromFuture}} {
		if _, err := Read(path, written.Add(row.after), time.Minute, &content{}); !errors.Is(err, row.want) {
			t.Errorf("%v after: %v, want %v", row.after, err, row.want)
		}
	}
	if _, err := Read(path+"x", written, time.Minute, &content{}); !errors.Is(err, ErrNotFound) {
		t.Errorf("no file: %v", err)
	}
}

// A write that fails leaves the file that was there, and nothing else.
func TestAFailedWriteLeavesTheOldFile(t *testing.T) {
	path, text := write(t)
	if err := Write(path, written, map[string]any{"x": func() {}}); err == nil {
		t.Error("a func was written")
	}
	dir := filepath.Join(filepath.Dir(path), "none")
	if err := Write(filepath.Join(dir, "state"), written, content{}); err == nil {
		t.Error("written into a folder that is not there")
	}
	// Nothing can be renamed onto a folder: the write fails at its last step.
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := Write(dir, written, content{}); err == nil {
		t.Error("a folder was replaced")
	}
	if now, err := os.ReadFile(path); err != nil || string(now) != text {
		t.Errorf("the old file is %q, %v", now, err)
	}
	if left, err := os.ReadDir(filepath.Dir(path)); err != nil || len(left) != 2 {
		t.Errorf("left behind: %v, %v", left, err)
	}
}

func TestOneProcessWrites(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	first, err := Lock(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Lock(path); err == nil {
		t.Error("two hold it")
	}
	first.Close()
	second, err := Lock(path)
	if err != nil {
		t.Fatalf("after the first has let go: %v", err)
	}
	second.Close()
}
