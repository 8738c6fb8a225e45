package balancer

import (
	"fmt"
	"math"
	"slices"
)

// CheckEndpointSet checks that the counts and the heaps of the endpoint set agree with its
// endpoints.
func (b *Balancer) CheckEndpointSet() error {
	if err := b.checkCounts(); err != nil {
		return err
	}
	members := map[*endpointHeap][]*endpoint{&b.activeHeap: nil, &b.trialHeap: nil}
	for _, k := range b.kinds {
		members[&k.activeByWeight] = nil
	}
	for _, e := range b.endpoints {
		switch {
		case !e.inSubset:
		case e.active:
			members[&b.activeHeap] = append(members[&b.activeHeap], e)
			members[&e.kind.activeByWeight] = append(members[&e.kind.activeByWeight], e)
		default:
			members[&b.trialHeap] = append(members[&b.trialHeap], e)
		}
	}
	for heap, want := range members {
		if err := heap.check(want); err != nil {
			return err
		}
	}
	return nil
}

// checkCounts checks that the counts of endpoints and outcomes agree with the endpoints.
func (b *Balancer) checkCounts() error {
	var size, listed, ready, failing int
	var outcomes outcomeCounts
	for _, e := range b.endpoints {
		if e.State != Removed {
			listed++
		}
		if e.State == Ready {
			ready++
		}
		if !e.inSubset {
			continue
		}
		size++
		outcomes.errors += e.outcomes.errors
		outcomes.total += e.outcomes.total
		if !e.active && e.inactiveReason == InactiveFailing {
			failing++
		}
	}
	if size != b.subsetSize || listed != b.listedCount || ready != b.readyCount || failing != b.failingCount {
		return fmt.Errorf("%d endpoints in the subset, %d listed, %d ready, %d failing; want %d, %d, %d, %d",
			b.subsetSize, b.listedCount, b.readyCount, b.failingCount, size, listed, ready, failing)
	}
	if math.Abs(outcomes.errors-b.outcomes.errors) > 1e-6 || math.Abs(outcomes.total-b.outcomes.total) > 1e-6 {
		return fmt.Errorf("outcomes of the subset %+v, want %+v", b.outcomes, outcomes)
	}
	return nil
}

// check checks that the heap contains the wanted endpoints in heap order.
func (h *endpointHeap) check(want []*endpoint) error {
	if len(want) != len(h.endpoints) {
		return fmt.Errorf("heap %d has %d endpoints, want %d", h.slot, len(h.endpoints), len(want))
	}
	for i, e := range h.endpoints {
		if e.heapIndexes[h.slot] != i+1 || !slices.Contains(want, e) {
			return fmt.Errorf("heap %d: endpoint %s at index %d has the stored index %d or does not belong in the heap",
				h.slot, e.ID, i+1, e.heapIndexes[h.slot])
		}
		if i > 0 && h.less(e, h.endpoints[(i-1)/2]) {
			return fmt.Errorf("heap %d: endpoint %s is below %s, but sorts before it", h.slot, e.ID, h.endpoints[(i-1)/2].ID)
		}
	}
	return nil
}
