package recentids

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

func TestLatestIDsAreRemembered(t *testing.T) {
	s := New()
	for i := range 8 * Guaranteed {
		if !s.Add(fmt.Sprint(i)) {
			t.Fatalf("id %d is new, but Add reported it as known", i)
		}
		if oldest := i - Guaranteed + 1; oldest >= 0 && s.Add(fmt.Sprint(oldest)) {
			t.Fatalf("after id %d was added, id %d is no longer known", i, oldest)
		}
	}
}

// Guards against a set that keeps the heads of requests in memory: each id is a part of the text of
// its head.
func TestIDsDoNotKeepTheTextThatTheyAreCutFrom(t *testing.T) {
	const headSize = 8 << 10
	var before, after runtime.MemStats
	s := New()
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range Guaranteed {
		head := strings.Clone(strings.Repeat("x", headSize) + fmt.Sprintf("%036d", i))
		s.Add(head[headSize:])
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	const maxBytesPerID = 128
	if growth := int64(after.HeapAlloc) - int64(before.HeapAlloc); growth > maxBytesPerID*Guaranteed {
		t.Errorf("%d ids hold %d bytes more than an empty set, want at most %d each", Guaranteed, growth, maxBytesPerID)
	}
	runtime.KeepAlive(s)
}

// At most one of several calls that add the same id at the same time may report it as new.
func TestConcurrentAddsReportAnIDAsNewOnce(t *testing.T) {
	s := New()
	for i := range 500 {
		var added atomic.Int32
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() {
				if s.Add(fmt.Sprint(i)) {
					added.Add(1)
				}
			})
		}
		group.Wait()
		if n := added.Load(); n > 1 {
			t.Fatalf("id %d was reported as new %d times", i, n)
		}
		if s.Add(fmt.Sprint(i)) && added.Load() == 1 {
			t.Fatalf("id %d was added and is not known", i)
		}
	}
}

func BenchmarkAdd(b *testing.B) {
	s := New()
	ids := make([]string, 4096)
	for i := range ids {
		ids[i] = fmt.Sprintf("%036d", i)
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		s.Add(ids[n%len(ids)])
	}
}

// openShared opens the set in a file, as each of several processes does.
func openShared(t *testing.T, path string) (*Set, error) {
	t.Helper()
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	return Open(file)
}

// Guards against an id that runs again at the other process of an upgrade.
func TestSharedSetKnowsIDsOfTheOtherProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ids")
	first, err := openShared(t, path)
	if err != nil {
		t.Fatal(err)
	}
	if !first.Add("before") {
		t.Error("a new id was reported as known")
	}
	second, err := openShared(t, path)
	if err != nil {
		t.Fatal(err)
	}
	if second.Add("before") || !second.Add("during") || first.Add("during") {
		t.Error("an id that one process has added was reported as new by the other")
	}
	first.Remove("during")
	if !second.Add("during") {
		t.Error("an id that one process has removed was reported as known by the other")
	}
}

func TestFileOfAnotherVersionIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ids")
	if err := os.WriteFile(path, []byte("something else"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := openShared(t, path); !errors.Is(err, errForeignFile) {
		t.Errorf("opening a foreign file returns %v, want %v", err, errForeignFile)
	}
}

// Ids that are removed again must not push others out of the set, however many they are.
func TestRemovedIDsTakeNoSpace(t *testing.T) {
	s := New()
	const kept = Guaranteed / 4
	for i := range kept {
		s.Add(fmt.Sprint("kept-", i))
	}
	for i := range 4 * slotCount {
		id := fmt.Sprint("removed-", i)
		s.Add(id)
		s.Remove(id)
	}
	for i := range kept {
		if s.Add(fmt.Sprint("kept-", i)) {
			t.Fatalf("id %d is no longer known", i)
		}
	}
}
