package balancer

import (
	"fmt"
	"math"
	"slices"
)

// CheckIndex compares what the index finds with what a walk over all endpoints finds.
func (b *Balancer) CheckIndex() error {
	members, known, ready, broken, errors, all := 0, 0, 0, 0, 0.0, 0.0
	orders := map[*endpointHeap][]*endpoint{&b.activeHeap: nil, &b.trialHeap: nil}
	for _, k := range b.kinds {
		orders[&k.activeByWeight] = nil
	}
	for _, e := range b.endpoints {
		if e.State != Gone {
			known++
		}
		if e.State == Ready {
			ready++
		}
		if !e.inSubset {
			continue
		}
		members, errors, all = members+1, errors+e.outcomes.errors, all+e.outcomes.total
		if !e.active && e.inactiveReason == InactiveFailing {
			broken++
		}
		if e.active {
			orders[&b.activeHeap] = append(orders[&b.activeHeap], e)
			orders[&e.kind.activeByWeight] = append(orders[&e.kind.activeByWeight], e)
		} else {
			orders[&b.trialHeap] = append(orders[&b.trialHeap], e)
		}
	}
	if members != b.subsetSize || known != b.listedCount || ready != b.readyCount || math.Abs(errors-b.outcomes.errors) > 1e-6 || math.Abs(all-b.outcomes.total) > 1e-6 {
		return fmt.Errorf("%d members, %d known, %d ready, %v errors; counted are %d, %d, %d, %v", b.subsetSize, b.listedCount, b.readyCount,
			b.outcomes.errors, members, known, ready, errors)
	}
	if broken != b.failingCount {
		return fmt.Errorf("%d endpoints fail; counted are %d", broken, b.failingCount)
	}
	for o, walked := range orders {
		if len(walked) != len(o.endpoints) {
			return fmt.Errorf("order %d holds %d endpoints, and a walk finds %d", o.slot, len(o.endpoints), len(walked))
		}
		for i, e := range o.endpoints {
			if e.heapIndexes[o.slot] != i+1 || !slices.Contains(walked, e) {
				return fmt.Errorf("order %d has %s at %d, which takes itself to be at %d", o.slot, e.ID, i+1, e.heapIndexes[o.slot])
			}
			if i > 0 && o.less(e, o.endpoints[(i-1)/2]) {
				return fmt.Errorf("order %d has %s behind %s", o.slot, e.ID, o.endpoints[(i-1)/2].ID)
			}
		}
	}
	return nil
}
