package subset

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"testing"

	"pgregory.net/rapid"

	"rowancart/balancer"
	"rowancart/internal/proxy"
)

// ringOf returns a ring of n endpoints.
func ringOf(n int) *Ring {
	var r Ring
	for i := range n {
		r.Add(fmt.Sprintf("endpoint-%d", i))
	}
	return &r
}

// subsetAt returns the subset of an instance at position p.
func subsetAt(r *Ring, p Position, size int) map[string]bool {
	ids := map[string]bool{}
	for _, id := range r.From(p, size) {
		ids[id] = true
	}
	return ids
}

// For any numbers of endpoints and instances, the number of instances per endpoint differs from its
// mean by no more than about the logarithm of the number of instances. This is the discrepancy of
// the van der Corput sequence.
func TestInstancesAreSpreadEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 300).Draw(t, "endpoints")
		instances := rapid.IntRange(1, 300).Draw(t, "instances")
		size := rapid.IntRange(1, n).Draw(t, "size")
		r := ringOf(n)
		instancesOf := map[string]int{}
		for i := range instances {
			ids := subsetAt(r, PositionOf(i), size)
			if len(ids) != size {
				t.Fatalf("instance %d has %d endpoints", i, len(ids))
			}
			for id := range ids {
				instancesOf[id]++
			}
		}
		mean := float64(instances*size) / float64(n)
		tolerance := math.Log2(float64(instances)) + 2
		for i := range n {
			if got := float64(instancesOf[fmt.Sprintf("endpoint-%d", i)]); math.Abs(got-mean) > tolerance {
				t.Fatalf("endpoint-%d has %g instances, mean %.1f", i, got, mean)
			}
		}
	})
}

// After any sequence of updates, an instance that receives only what its filter delivers knows
// exactly its subset of the ready endpoints, and the draining endpoints that were in the subset.
func TestFilterDeliversTheSubset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 6).Draw(t, "size")
		spec := Spec{Position: Position(rapid.Uint64().Draw(t, "position")), Size: size}
		f := NewFilter(spec)
		listed := endpointMap{}
		known := endpointMap{}
		for range rapid.IntRange(1, 20).Draw(t, "updates") {
			update := drawUpdate(t)
			listed = listed.apply(update)
			if rapid.Bool().Draw(t, "changed") {
				size = rapid.IntRange(0, 6).Draw(t, "to")
				spec.Size = size
				f.SetSpec(spec)
			}
			before := known
			out := f.Apply(update)
			known = before.apply(out)
			checkKnown(t, listed, before, known, size)
			ready := listed.count(balancer.Ready)
			got := known.count(balancer.Ready)
			if want := min(cmp.Or(size, ready), ready); got != want || out.Unlisted != ready-got {
				t.Fatalf("%d of %d ready endpoints delivered, want %d; unlisted: %d", got, ready, want, out.Unlisted)
			}
		}
	})
}

// endpointMap is an endpoint list, by id.
type endpointMap map[string]proxy.Endpoint

// apply returns the list after an update.
func (m endpointMap) apply(update proxy.EndpointList) endpointMap {
	next := endpointMap{}
	if !update.Complete {
		maps.Copy(next, m)
	}
	for _, e := range update.Endpoints {
		if e.State == balancer.Removed {
			delete(next, e.ID)
		} else {
			next[e.ID] = e
		}
	}
	return next
}

func (m endpointMap) count(state balancer.State) int {
	n := 0
	for _, e := range m {
		if e.State == state {
			n++
		}
	}
	return n
}

// drawUpdate draws an update of up to 8 of 12 endpoints.
func drawUpdate(t *rapid.T) proxy.EndpointList {
	update := proxy.EndpointList{Complete: rapid.Bool().Draw(t, "complete")}
	states := []balancer.State{balancer.Ready, balancer.Draining, balancer.Removed}
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 11), 0, 8, rapid.ID[int]).Draw(t, "ids") {
		update.Endpoints = append(update.Endpoints, proxy.Endpoint{
			ID:    fmt.Sprint(i),
			Addr:  fmt.Sprint("a", rapid.IntRange(0, 1).Draw(t, "address")),
			State: rapid.SampledFrom(states).Draw(t, "state"),
		})
	}
	return update
}

// checkKnown checks that an instance knows endpoints as they are listed, that it still knows the
// listed draining endpoints that it knew before, and, unless size is 0 (all endpoints), that it
// knows no other draining ones.
func checkKnown(t *rapid.T, listed, before, known endpointMap, size int) {
	for id, e := range known {
		if listed[id] != e {
			t.Fatalf("endpoint %s is known as %v, but listed as %v", id, e, listed[id])
		}
		if _, wasKnown := before[id]; e.State != balancer.Ready && !wasKnown && size > 0 {
			t.Fatalf("endpoint %s is draining and was not in the subset, but is known", id)
		}
	}
	for id, e := range before {
		if _, isKnown := known[id]; !isKnown && listed[id].ID == id && listed[id].State == balancer.Draining {
			t.Fatalf("endpoint %s, known before as %v, is draining and no longer known", id, e)
		}
	}
}

// With 3 instances and 60 endpoints, subsets of 5 endpoints would leave most endpoints without an
// instance.
func TestSubsetsOfFewInstancesAreLarger(t *testing.T) {
	for _, c := range []struct {
		name                             string
		size, instances, endpoints, want int
	}{
		{"few instances", 5, 3, 60, 60},
		{"some instances", 5, 10, 60, 18},
		{"many instances", 5, 100, 60, 5},
		{"one instance", 5, 1, 60, 5},
		{"few endpoints", 5, 100, 4, 4},
		{"no subsets", 0, 9, 60, 60},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := (Spec{Size: c.size, Instances: c.instances}).SizeOf(c.endpoints); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}

// fleet is a set of instances, each with a filter and the ready endpoints that it knows.
type fleet struct {
	filters   []*Filter
	subsets   []map[string]bool
	additions int // number of additions of an endpoint to a subset
}

// newFleet returns a fleet whose instances have subsets of the given size.
func newFleet(instances, size int) *fleet {
	f := &fleet{}
	for i := range instances {
		f.filters = append(f.filters, NewFilter(Spec{Position: PositionOf(i), Size: size}))
		f.subsets = append(f.subsets, map[string]bool{})
	}
	return f
}

// apply passes an update to all instances.
func (f *fleet) apply(endpoints ...proxy.Endpoint) {
	for i, filter := range f.filters {
		for _, e := range filter.Apply(proxy.EndpointList{Endpoints: endpoints}).Endpoints {
			if e.State == balancer.Ready && !f.subsets[i][e.ID] {
				f.subsets[i][e.ID] = true
				f.additions++
			} else if e.State == balancer.Removed {
				delete(f.subsets[i], e.ID)
			}
		}
	}
}

// instancesOf returns the number of instances of each endpoint.
func (f *fleet) instancesOf() map[string]int {
	instances := map[string]int{}
	for _, ids := range f.subsets {
		for id := range ids {
			instances[id]++
		}
	}
	return instances
}

// While half of all endpoints are replaced one after another, subsets change little more than
// necessary. Each endpoint stays in at least one subset, and in at most three times the mean number
// of subsets.
func TestRollingReplacementChangesFewSubsets(t *testing.T) {
	const instances, n, size = 60, 120, 10
	f := newFleet(instances, size)
	var all []proxy.Endpoint
	for i := range n {
		all = append(all, proxy.Endpoint{ID: fmt.Sprintf("endpoint-%d", i)})
	}
	f.apply(all...)
	f.additions = 0
	for i := range n / 2 {
		f.apply(proxy.Endpoint{ID: fmt.Sprintf("endpoint-%d", i), State: balancer.Removed})
		f.apply(proxy.Endpoint{ID: fmt.Sprintf("new-%d", i)})
	}
	// Each replacement removes an endpoint from the subsets of size*instances/n instances, which each
	// get another endpoint, and adds the new endpoint to as many subsets. These are two additions for
	// each of these instances.
	if needed := instances * (n / 2) * 2 * size / n; f.additions > needed*3/2 {
		t.Errorf("%d additions to subsets, but only %d are needed", f.additions, needed)
	}
	instancesOf := f.instancesOf()
	if len(instancesOf) != n {
		t.Errorf("%d of %d endpoints are in any subset", len(instancesOf), n)
	}
	for id, got := range instancesOf {
		if got > 3*instances*size/n {
			t.Errorf("%s is in %d subsets, mean %d", id, got, instances*size/n)
		}
	}
}
