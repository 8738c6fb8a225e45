package balancer

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestHeapKeepsTheLowestFirst checks the heap against a plain list under random changes of
// membership and order.
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
				t.Fatalf("the heap has %d members, and %d are", len(heap.endpoints), len(members))
			}
			for _, m := range members {
				if hasLowerDeficit(m, heap.endpoints[0]) {
					t.Fatalf("%s is first, before %s", heap.endpoints[0].ID, m.ID)
				}
				if heap.endpoints[m.heapIndexes[activeHeapSlot]-1] != m {
					t.Fatalf("%s does not know its index", m.ID)
				}
			}
		}
	})
}

// TestHeapVisitStopsWhereDescendReturnsFalse checks that the endpoints below one for which descend
// returns false are not visited.
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
		t.Errorf("%d endpoints visited; the first and the two below it are right", visited)
	}
}

// TestCandidatesOfAListAreThoseOfOneState checks the candidates of a list.
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
			t.Errorf("active %v: %d candidates", want.active, len(got))
		}
	}
}
