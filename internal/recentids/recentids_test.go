package recentids

import (
	"fmt"
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
	for i := range 2000 {
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
