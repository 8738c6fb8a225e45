package server

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A queue returns jobs in the order in which they were added, without those that were removed.
func TestQueueIsFirstInFirstOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q jobQueue
		var want []*Job
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"push", "pop", "remove"}).Draw(t, "step") {
			case "push":
				j := &Job{}
				q.push(j)
				want = append(want, j)
			case "pop":
				if len(want) == 0 {
					continue
				}
				if got := q.pop(); got != want[0] {
					t.Fatal("pop did not return the first job")
				}
				want = want[1:]
			case "remove":
				if len(want) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(want)-1).Draw(t, "index")
				q.remove(want[i])
				want = slices.Delete(slices.Clone(want), i, i+1)
			}
			if q.len() != len(want) {
				t.Fatalf("queue has %d jobs, want %d", q.len(), len(want))
			}
		}
	})
}

// The queue reuses the free entries before its head, so that their number is bounded even if the
// queue never becomes empty.
func TestQueueReusesItsFront(t *testing.T) {
	var q jobQueue
	first := &Job{}
	q.push(first)
	for range 10 * maxQueueGap {
		next := &Job{}
		q.push(next)
		if q.pop() != first {
			t.Fatal("pop did not return the first job")
		}
		first = next
		if q.head > maxQueueGap {
			t.Fatalf("%d free entries before the head, want at most maxQueueGap", q.head)
		}
	}
}

func TestQueueIgnoresAnUnknownJob(t *testing.T) {
	var q jobQueue
	q.push(&Job{})
	q.remove(&Job{})
	if q.len() != 1 {
		t.Errorf("queue has %d jobs, want 1", q.len())
	}
}
