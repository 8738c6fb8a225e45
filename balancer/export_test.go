package balancer

import (
	"fmt"
	"math"
	"slices"
)

// CheckIndex compares what the index finds with what a walk over all endpoints finds.
func (b *Balancer) CheckIndex() error {
	members, known, ready, broken, errors, all := 0, 0, 0, 0, 0.0, 0.0
	orders := map[*order][]*endpoint{&b.turns: nil, &b.trials: nil}
	for _, k := range b.kindList {
		orders[&k.best] = nil
	}
	for _, e := range b.endpoints {
		if e.State != Gone {
			known++
		}
		if e.State == Ready {
			ready++
		}
		if !e.in {
			continue
		}
		members, errors, all = members+1, errors+e.errors, all+e.all
		if !e.active && e.out == InactiveFailing {
			broken++
		}
		if e.active {
			orders[&b.turns] = append(orders[&b.turns], e)
			orders[&e.kind.best] = append(orders[&e.kind.best], e)
		} else {
			orders[&b.trials] = append(orders[&b.trials], e)
		}
	}
	if members != b.members || known != b.known || ready != b.ready || math.Abs(errors-b.errors) > 1e-6 || math.Abs(all-b.all) > 1e-6 {
		return fmt.Errorf("%d members, %d known, %d ready, %v errors; counted are %d, %d, %d, %v", b.members, b.known, b.ready,
			b.errors, members, known, ready, errors)
	}
	if broken != b.broken {
		return fmt.Errorf("%d endpoints fail; counted are %d", broken, b.broken)
	}
	for o, walked := range orders {
		if len(walked) != len(o.list) {
			return fmt.Errorf("order %d holds %d endpoints, and a walk finds %d", o.slot, len(o.list), len(walked))
		}
		for i, e := range o.list {
			if e.places[o.slot] != i+1 || !slices.Contains(walked, e) {
				return fmt.Errorf("order %d has %s at %d, which takes itself to be at %d", o.slot, e.ID, i+1, e.places[o.slot])
			}
			if i > 0 && o.before(e, o.list[(i-1)/2]) {
				return fmt.Errorf("order %d has %s behind %s", o.slot, e.ID, o.list[(i-1)/2].ID)
			}
		}
	}
	return nil
}
