package daemon

import (
	"testing"

	"rowancart/balancer"
	"rowancart/internal/config"
)

// newTestGeneration returns a generation that follows old, with the given pools. As in a daemon, it
// has one user at first.
func newTestGeneration(old *generation, retired *retiredGenerations, pools ...*pool) *generation {
	g := newGeneration(&config.Config{}, old, retired.unused)
	for _, p := range pools {
		g.pools[p.name] = p
	}
	return g
}

// A retired generation is removed once its last user has released it, and not before.
func TestRetiredGenerationIsRemovedWithItsLastUser(t *testing.T) {
	retired := newRetiredGenerations()
	kept, removed := &pool{name: "a"}, &pool{name: "b"}
	old := newTestGeneration(nil, &retired, kept, removed)
	old.acquire() // for a request
	next := newTestGeneration(old, &retired, kept)
	if old.number != 1 || next.number != 2 {
		t.Errorf("generations have the numbers %d and %d, want 1 and 2", old.number, next.number)
	}
	retired.add(old)
	old.release() // by the daemon
	if retired.removeUnused() || !retired.hasPool(removed) {
		t.Error("the generation was removed while it had a user")
	}
	select {
	case <-retired.unused:
		t.Error("the generation was reported as unused while it had a user")
	default:
	}
	old.release()
	select {
	case <-retired.unused:
	default:
		t.Error("the generation was not reported as unused")
	}
	if !retired.removeUnused() || retired.hasPool(removed) || retired.hasPool(kept) {
		t.Error("the generation was not removed although it had no users")
	}
	if retired.removeUnused() {
		t.Error("the generation was removed twice")
	}
}

// A pool has each class of all generations once, sorted by name, regardless of the order of the
// generations.
func TestPoolHasClassesOfAllGenerations(t *testing.T) {
	retired := newRetiredGenerations()
	p := &pool{name: "a"}
	unused := &pool{name: "b"}
	route := func(class string, idempotency balancer.Idempotency) config.Route {
		return config.Route{Pool: "a", Class: config.Class{Name: class, Idempotency: idempotency}}
	}
	old := newTestGeneration(nil, &retired, p, unused)
	old.config.Routes = []config.Route{route("y", balancer.Idempotent), route("x", balancer.Idempotent)}
	next := newTestGeneration(old, &retired, p)
	next.config.Routes = []config.Route{route("x", balancer.NonIdempotent), route("y", balancer.Idempotent)}
	forward := classesByPool([]*generation{next, old})[p]
	backward := classesByPool([]*generation{old, next})[p]
	if len(forward) != 3 { // two versions of x, and y
		t.Fatalf("got %d classes, want 3: %+v", len(forward), forward)
	}
	for i := range forward {
		if forward[i].Name != backward[i].Name {
			t.Errorf("class %d is %q or %q, depending on the order of the generations", i, forward[i].Name, backward[i].Name)
		}
		if i > 0 && forward[i-1].Name >= forward[i].Name {
			t.Errorf("classes are not sorted: %q precedes %q", forward[i-1].Name, forward[i].Name)
		}
	}
	if classes := classesByPool([]*generation{next, old})[unused]; len(classes) != 0 {
		t.Errorf("a pool without routes has the classes %+v", classes)
	}
}
