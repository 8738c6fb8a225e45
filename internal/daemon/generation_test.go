package daemon

import (
	"testing"

	"rowancart/balancer"
	"rowancart/internal/config"
)

// newTestGeneration returns a generation that follows old, with pools and the daemon as its user.
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
	kept, dropped := &pool{name: "a"}, &pool{name: "b"}
	old := newTestGeneration(nil, &retired, kept, dropped)
	old.acquire() // a request
	next := newTestGeneration(old, &retired, kept)
	if old.number != 1 || next.number != 2 {
		t.Errorf("numbers %d and %d", old.number, next.number)
	}
	retired.add(old)
	old.release() // the daemon
	if retired.removeUnused() || !retired.hasPool(dropped) {
		t.Error("removed while it has a user")
	}
	select {
	case <-retired.unused:
		t.Error("reported as unused while it has a user")
	default:
	}
	old.release()
	select {
	case <-retired.unused:
	default:
		t.Error("not reported as unused")
	}
	if !retired.removeUnused() || retired.hasPool(dropped) || retired.hasPool(kept) {
		t.Error("not removed without users")
	}
	if retired.removeUnused() {
		t.Error("removed twice")
	}
}

// A pool has the classes of all generations with users, once each and in the order of their names.
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
	if len(forward) != 3 { // x in both forms, and y
		t.Fatalf("%d classes: %+v", len(forward), forward)
	}
	for i := range forward {
		if forward[i].Name != backward[i].Name {
			t.Errorf("class %d is %q or %q, by the order of generations", i, forward[i].Name, backward[i].Name)
		}
		if i > 0 && forward[i-1].Name >= forward[i].Name {
			t.Errorf("%q before %q", forward[i-1].Name, forward[i].Name)
		}
	}
	if classes := classesByPool([]*generation{next, old})[unused]; len(classes) != 0 {
		t.Errorf("a pool without routes has %+v", classes)
	}
}
