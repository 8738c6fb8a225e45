package balancer

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestHeapKeepsTheLowestFirst compares the heap with a list while endpoints are added, removed and
// moved at random.
func TestHeapKeepsTheLowestFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heap := endpointHeap{slot: activeHeapSlot, less: hasLowerDeficit}
		var all, members []*endpoint
		for i := range 12 {
			all = append(all, &endpoint{Endpoint: Endpoint{ID: strconv.Itoa(i)}, subsetIndex: i})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			e := rapid.SampledFrom(all).Draw(t, "endpoint")
			e.deficit = float64(rapid.IntRange(0, 5).Draw(t, "deficit"))
			member := rapid.Bool().Draw(t, "member")
			if member {
				heap.put(e)
			} else {
				heap.remove(e)
			}
			members = slices.DeleteFunc(members, func(m *endpoint) bool { return m == e })
			if member {
				members = append(members, e)
			}
			if len(heap.endpoints) != len(members) {
				t.Fatalf("the heap has %d endpoints, want %d", len(heap.endpoints), len(members))
			}
			for _, m := range members {
				if hasLowerDeficit(m, heap.endpoints[0]) {
					t.Fatalf("endpoint %s is first in the heap, but %s has a lower deficit", heap.endpoints[0].ID, m.ID)
				}
				if heap.endpoints[m.heapIndexes[activeHeapSlot]-1] != m {
					t.Fatalf("the stored heap index of endpoint %s is not its position", m.ID)
				}
			}
		}
	})
}

// TestHeapVisitStopsWhereDescendReturnsFalse checks that visit skips the endpoints below one for
// which descend returns false.
func TestHeapVisitStopsWhereDescendReturnsFalse(t *testing.T) {
	heap := endpointHeap{slot: trialHeapSlot, less: hasSoonerTrial}
	for i := range 7 {
		heap.put(&endpoint{trial: trialSchedule{nextAt: time.Duration(i)}, subsetIndex: i})
	}
	visited := 0
	heap.visit(0, func(e *endpoint) bool {
		visited++
		return e.trial.nextAt < 1
	})
	if visited != 3 {
		t.Errorf("%d endpoints visited, want 3: the first and the two below it", visited)
	}
}

// TestCandidatesOfAListAreThoseOfOneState checks that the candidates of a list are its active or
// its inactive endpoints, without removed ones.
func TestCandidatesOfAListAreThoseOfOneState(t *testing.T) {
	removed := &endpoint{active: true}
	removed.State = Removed
	active := &endpoint{active: true}
	inactive := &endpoint{}
	for _, want := range []*endpoint{active, inactive} {
		var got []*endpoint
		c := candidates{endpoints: []*endpoint{removed, active, inactive}, active: want.active}
		c.visit(func(e *endpoint) bool {
			got = append(got, e)
			return false
		})
		if !slices.Equal(got, []*endpoint{want}) {
			t.Errorf("active %v: %d candidates, want the single endpoint in that state", want.active, len(got))
		}
	}
}
