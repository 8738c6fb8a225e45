package balancer

import (
	"fmt"
	"math"
	"slices"
)

// CheckEndpointSet compares the counts and the heaps with what a walk over all endpoints finds.
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

// checkCounts compares the counts of endpoints and outcomes with a walk.
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
		return fmt.Errorf("subset of %d, %d listed, %d ready, %d failing; a walk counts %d, %d, %d, %d",
			b.subsetSize, b.listedCount, b.readyCount, b.failingCount, size, listed, ready, failing)
	}
	if math.Abs(outcomes.errors-b.outcomes.errors) > 1e-6 || math.Abs(outcomes.total-b.outcomes.total) > 1e-6 {
		return fmt.Errorf("outcomes %+v; a walk counts %+v", b.outcomes, outcomes)
	}
	return nil
}

// check compares a heap with the endpoints that should be in it, and checks its order.
func (h *endpointHeap) check(want []*endpoint) error {
	if len(want) != len(h.endpoints) {
		return fmt.Errorf("heap %d has %d endpoints, and a walk finds %d", h.slot, len(h.endpoints), len(want))
	}
	for i, e := range h.endpoints {
		if e.heapIndexes[h.slot] != i+1 || !slices.Contains(want, e) {
			return fmt.Errorf("heap %d has %s at %d, whose own index is %d", h.slot, e.ID, i+1, e.heapIndexes[h.slot])
		}
		if i > 0 && h.less(e, h.endpoints[(i-1)/2]) {
			return fmt.Errorf("heap %d has %s below %s", h.slot, e.ID, h.endpoints[(i-1)/2].ID)
		}
	}
	return nil
}
