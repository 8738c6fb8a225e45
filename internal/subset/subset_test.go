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

func ringOf(n int) *Ring {
	var r Ring
	for i := range n {
		r.Add(fmt.Sprintf("endpoint-%d", i))
	}
	return &r
}

// subsetAt returns the subset of an instance with that place.
func subsetAt(r *Ring, p Place, size int) map[string]bool {
	ids := map[string]bool{}
	for _, id := range r.From(p, size) {
		ids[id] = true
	}
	return ids
}

// The numbers of instances per endpoint differ by no more than the logarithm of all instances,
// whatever the numbers: the discrepancy of the van der Corput sequence.
func TestInstancesSpreadEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, instances := rapid.IntRange(1, 300).Draw(t, "endpoints"), rapid.IntRange(1, 300).Draw(t, "instances")
		size := rapid.IntRange(1, n).Draw(t, "size")
		r, load := ringOf(n), map[string]int{}
		for i := range instances {
			ids := subsetAt(r, PlaceOf(i), size)
			if len(ids) != size {
				t.Fatalf("instance %d has %d endpoints", i, len(ids))
			}
			for id := range ids {
				load[id]++
			}
		}
		mean, tolerance := float64(instances*size)/float64(n), math.Log2(float64(instances))+2
		for i := range n {
			if got := float64(load[fmt.Sprintf("endpoint-%d", i)]); math.Abs(got-mean) > tolerance {
				t.Fatalf("endpoint-%d has %g instances, %.1f in the mean", i, got, mean)
			}
		}
	})
}

// Whatever the updates, an instance that sees only those of its filter knows exactly its subset of
// the ready endpoints, and the draining ones that were in it.
func TestFilterDeliversTheSubset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 6).Draw(t, "size")
		p := Part{Place: Place(rapid.Uint64().Draw(t, "place")), Size: size}
		f := NewFilter(p)
		listed, known := endpointMap{}, endpointMap{}
		for range rapid.IntRange(1, 20).Draw(t, "updates") {
			update := drawUpdate(t)
			listed = listed.apply(update)
			if rapid.Bool().Draw(t, "resized") {
				size = rapid.IntRange(0, 6).Draw(t, "to")
				p.Size = size
				f.SetPart(p)
			}
			before := known
			out := f.Apply(update)
			known = before.apply(out)
			checkKnown(t, listed, before, known, size)
			ready := listed.count(balancer.Ready)
			got := known.count(balancer.Ready)
			if want := min(cmp.Or(size, ready), ready); got != want || out.Unlisted != ready-got {
				t.Fatalf("%d ready endpoints of %d are known, %d are wanted; others %d", got, ready, want, out.Unlisted)
			}
		}
	})
}

// endpointMap is a list of endpoints, by id.
type endpointMap map[string]proxy.Endpoint

// apply returns the list after an update.
func (m endpointMap) apply(update proxy.EndpointList) endpointMap {
	next := endpointMap{}
	if !update.Complete {
		maps.Copy(next, m)
	}
	for _, e := range update.Endpoints {
		if next[e.ID] = e; e.State == balancer.Removed {
			delete(next, e.ID)
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

// checkKnown checks that an instance knows endpoints as they are listed, and the draining ones that
// it knew before but no others.
func checkKnown(t *rapid.T, listed, before, known endpointMap, size int) {
	for id, e := range known {
		if listed[id] != e {
			t.Fatalf("%s is known as %v and is %v", id, e, listed[id])
		}
		if _, wasKnown := before[id]; e.State != balancer.Ready && !wasKnown && size > 0 {
			t.Fatalf("%s drains and was never in the subset", id)
		}
	}
	for id, e := range before {
		if _, isKnown := known[id]; !isKnown && listed[id].ID == id && listed[id].State == balancer.Draining {
			t.Fatalf("%s, known as %v, drains and is forgotten", id, e)
		}
	}
}

// With three instances and 60 endpoints, subsets of 5 would leave most endpoints without an
// instance.
func TestSubsetsOfFewInstancesAreLarger(t *testing.T) {
	for _, c := range []struct{ size, instances, endpoints, want int }{
		{5, 3, 60, 60}, {5, 10, 60, 18}, {5, 100, 60, 5}, {5, 1, 60, 5}, {5, 100, 4, 4}, {0, 9, 60, 60},
	} {
		if got := (Part{Size: c.size, Instances: c.instances}).Of(c.endpoints); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}

// Half of all endpoints are replaced one after another: subsets change by little more than they
// must, and stay spread evenly.
func TestRollingReplacementChangesFewSubsets(t *testing.T) {
	const instances, n, size = 60, 120, 10
	filters := make([]*Filter, instances)
	subsets := make([]map[string]bool, instances)
	moves := 0
	apply := func(update proxy.EndpointList) {
		for i, f := range filters {
			for _, e := range f.Apply(update).Endpoints {
				if e.State == balancer.Ready && !subsets[i][e.ID] {
					subsets[i][e.ID] = true
					moves++
				} else if e.State == balancer.Removed {
					delete(subsets[i], e.ID)
				}
			}
		}
	}
	var all proxy.EndpointList
	for i := range n {
		all.Endpoints = append(all.Endpoints, proxy.Endpoint{ID: fmt.Sprintf("endpoint-%d", i)})
	}
	for i := range filters {
		filters[i], subsets[i] = NewFilter(Part{Place: PlaceOf(i), Size: size}), map[string]bool{}
	}
	apply(all)
	moves = 0
	for i := range n / 2 {
		apply(proxy.EndpointList{Endpoints: []proxy.Endpoint{{ID: fmt.Sprintf("endpoint-%d", i), State: balancer.Removed}}})
		apply(proxy.EndpointList{Endpoints: []proxy.Endpoint{{ID: fmt.Sprintf("new-%d", i)}}})
	}
	// Each replacement takes an endpoint from size of n instances and gives one to as many: two moves
	// for each of them.
	if must := instances * (n / 2) * 2 * size / n; moves > must*3/2 {
		t.Errorf("%d moves, %d are needed", moves, must)
	}
	load := map[string]int{}
	for _, ids := range subsets {
		for id := range ids {
			load[id]++
		}
	}
	if len(load) != n {
		t.Errorf("%d of %d endpoints are in a subset", len(load), n)
	}
	for id, got := range load {
		if got > 3*instances*size/n {
			t.Errorf("%s is in %d subsets, %d in the mean", id, got, instances*size/n)
		}
	}
}
