package snapshot

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// testState is the content of the snapshots in these tests.
type testState struct {
	Names  []string
	Weight float64
}

var writtenAt = time.UnixMilli(1_800_000_000_000)

// writeState writes a snapshot file and returns its path and text.
func writeState(t *testing.T) (path string, text string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "state")
	if err := Write(path, writtenAt, testState{Names: []string{"a", "b\n{"}, Weight: 0.25}); err != nil {
		t.Fatal(err)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return path, string(b)
}

func TestReadReturnsWhatWasWritten(t *testing.T) {
	path, _ := writeState(t)
	var s testState
	age, err := Read(path, writtenAt.Add(3*time.Second), time.Minute, &s)
	if err != nil || age != 3*time.Second || len(s.Names) != 2 || s.Names[1] != "b\n{" || s.Weight != 0.25 {
		t.Fatalf("got %+v, age %v, error %v", s, age, err)
	}
	if age, err := Read(path, writtenAt.Add(-time.Second), time.Minute, &s); err != nil || age != 0 {
		t.Errorf("written a second in the future: age %v, error %v", age, err)
	}
	if err := WriteNoSync(path, writtenAt, testState{Weight: 1}); err != nil {
		t.Fatal(err)
	}
	files, err := os.ReadDir(filepath.Dir(path))
	if err != nil || len(files) != 1 {
		t.Errorf("files after a second write: %v, error %v", files, err)
	}
}

// Different versions of the program read each other's snapshots, so the format must not change.
func TestFileFormat(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	if err := Write(path, writtenAt, 1); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(path)
	const want = `{"form":"rowancart snapshot","version":1,"written_ms":1800000000000,` +
		`"bytes":1,"xxhash64":"b7b41276360564d4"}` + "\n1\n"
	if err != nil || string(got) != want {
		t.Errorf("file %q, error %v, want %q", got, err, want)
	}
}

// A file that is truncated or changed at any byte is not used, not even in part.
func TestCorruptFileIsNotUsed(t *testing.T) {
	path, text := writeState(t)
	read := func(text string) error {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var s testState
		_, err := Read(path, writtenAt, time.Minute, &s)
		if err != nil && (s.Names != nil || strings.Contains(err.Error(), "\n")) {
			t.Fatalf("file %q: decoded partly as %+v, or the error has more than one line: %v", text, s, err)
		}
		return err
	}
	for i := range text {
		if read(text[:i]) == nil {
			t.Fatalf("a file truncated after %d bytes was accepted", i)
		}
		changed := []byte(text)
		changed[i] ^= 0x10
		// The time of writing may still be valid after one of its bits has changed.
		if err := read(string(changed)); err == nil && !strings.Contains(text[max(i-16, 0):i+1], "written_ms") {
			t.Fatalf("a file with byte %d (%q) changed was accepted", i, text[i])
		}
	}
	for _, test := range []struct {
		name, text string
		want       error
	}{
		{"trailing text", text + "x", ErrCorrupt},
		{"another version", strings.Replace(text, `"version":1`, `"version":2`, 1), ErrVersion},
		{"a negative length", `{"form":"rowancart snapshot","version":1,"bytes":-1}` + "\n", ErrCorrupt},
	} {
		if err := read(test.text); !errors.Is(err, test.want) {
			t.Errorf("%s: error %v, want %v", test.name, err, test.want)
		}
	}
}

func TestReadChecksAge(t *testing.T) {
	path, _ := writeState(t)
	for _, test := range []struct {
		age  time.Duration
		want error
	}{
		{time.Minute, nil},
		{time.Minute + time.Second, ErrExpired},
		{-time.Hour, ErrFromFuture},
	} {
		if _, err := Read(path, writtenAt.Add(test.age), time.Minute, &testState{}); !errors.Is(err, test.want) {
			t.Errorf("at an age of %v: error %v, want %v", test.age, err, test.want)
		}
	}
	if _, err := Read(path+"x", writtenAt, time.Minute, &testState{}); !errors.Is(err, ErrNotFound) {
		t.Errorf("missing file: %v", err)
	}
}

// A failed write keeps the old file and leaves no temporary file behind.
func TestFailedWriteKeepsOldFile(t *testing.T) {
	path, text := writeState(t)
	if err := Write(path, writtenAt, map[string]any{"x": func() {}}); err == nil {
		t.Error("Write of a value that JSON can't represent returned no error")
	}
	dir := filepath.Join(filepath.Dir(path), "none")
	if err := Write(filepath.Join(dir, "state"), writtenAt, testState{}); err == nil {
		t.Error("Write into a directory that doesn't exist returned no error")
	}
	// A file cannot be renamed to the path of a directory, so the last step of the write fails.
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := Write(dir, writtenAt, testState{}); err == nil {
		t.Error("Write to the path of a directory returned no error")
	}
	if now, err := os.ReadFile(path); err != nil || string(now) != text {
		t.Errorf("the old file contains %q, error %v", now, err)
	}
	if files, err := os.ReadDir(filepath.Dir(path)); err != nil || len(files) != 2 {
		t.Errorf("files in the directory: %v, error %v", files, err)
	}
}

func TestLockIsExclusive(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	first, err := Lock(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Lock(path); !errors.Is(err, ErrLocked) {
		t.Errorf("a second lock: %v", err)
	}
	first.Close()
	second, err := Lock(path)
	if err != nil {
		t.Fatalf("after the first lock was closed: %v", err)
	}
	second.Close()
}
