package subset

import (
	"cmp"
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"rowancart/balancer"
	"rowancart/internal/proxy"
)

func ringOf(n int) *Ring {
	var r Ring
	for i := range n {
		r.Add(fmt.Sprintf("box-%d", i))
	}
	return &r
}

func (r *Ring) part(p Place, size int) map[string]bool {
	out := map[string]bool{}
	for _, id := range r.From(p, size) {
		out[id] = true
	}
	return out
}

// Any number of instances with numbers from 0 spread over any number of endpoints with a spread that grows with the logarithm
// of the instances only: the discrepancy of the van der Corput sequence.
func TestEachEndpointHasAboutAsManyInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, instances := rapid.IntRange(1, 300).Draw(t, "endpoints"), rapid.IntRange(1, 300).Draw(t, "instances")
		size := rapid.IntRange(1, n).Draw(t, "size")
		r, load := ringOf(n), map[string]int{}
		for i := range instances {
			part := r.part(PlaceOf(i), size)
			if len(part) != size {
				t.Fatalf("instance %d has %d endpoints", i, len(part))
			}
			for id := range part {
				load[id]++
			}
		}
		mean, room := float64(instances*size)/float64(n), math.Log2(float64(instances))+2
		for i := range n {
			if got := float64(load[fmt.Sprintf("box-%d", i)]); math.Abs(got-mean) > room {
				t.Fatalf("box-%d has %g instances, %.1f in the mean", i, got, mean)
			}
		}
	})
}

// Whatever a roster says, an instance that goes by the filter's messages alone knows exactly its part of the ready endpoints,
// and those of its own that drain.
func TestAnInstanceKnowsItsPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 6).Draw(t, "size")
		p := Part{Place: Place(rapid.Uint64().Draw(t, "place")), Size: size}
		f := NewFilter(p)
		truth, known := map[string]proxy.Endpoint{}, map[string]proxy.Endpoint{}
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			m := proxy.EndpointList{Complete: rapid.Bool().Draw(t, "complete")}
			if m.Complete {
				clear(truth)
			}
			for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 11), 0, 8, rapid.ID[int]).Draw(t, "ids") {
				e := proxy.Endpoint{ID: fmt.Sprint(i), Addr: fmt.Sprint("a", rapid.IntRange(0, 1).Draw(t, "address")),
					State: rapid.SampledFrom([]balancer.State{balancer.Ready, balancer.Draining, balancer.Gone}).Draw(t, "state")}
				m.Endpoints = append(m.Endpoints, e)
				if truth[e.ID] = e; e.State == balancer.Gone {
					delete(truth, e.ID)
				}
			}
			if rapid.Bool().Draw(t, "resized") {
				size = rapid.IntRange(0, 6).Draw(t, "to")
				p.Size = size
				f.Resize(p)
			}
			was := known
			out := f.Apply(m)
			if known = map[string]proxy.Endpoint{}; !out.Complete {
				for id, e := range was {
					known[id] = e
				}
			}
			for _, e := range out.Endpoints {
				if known[e.ID] = e; e.State == balancer.Gone {
					delete(known, e.ID)
				}
			}
			ready := 0
			for _, e := range truth {
				if e.State == balancer.Ready {
					ready++
				}
			}
			got := 0
			for id, e := range known {
				if truth[id] != e {
					t.Fatalf("%s is known as %v and is %v", id, e, truth[id])
				}
				if e.State == balancer.Ready {
					got++
				} else if _, old := was[id]; !old && size > 0 {
					t.Fatalf("%s drains and was never of the part", id)
				}
			}
			if want := min(cmp.Or(size, ready), ready); got != want || out.Unlisted != ready-got {
				t.Fatalf("%d ready endpoints of %d are known, %d are wanted; others %d", got, ready, want, out.Unlisted)
			}
			for id, e := range was { // of its own that drain none is forgotten
				if now, there := truth[id]; there && now.State == balancer.Draining {
					if _, still := known[id]; !still {
						t.Fatalf("%s, known as %v, drains and is forgotten", id, e)
					}
				}
			}
		}
	})
}

// With three instances before 60 endpoints, parts of 5 would leave most of them without any.
func TestPartsGrowWhereInstancesAreFew(t *testing.T) {
	for _, c := range []struct{ size, instances, endpoints, want int }{
		{5, 3, 60, 60}, {5, 10, 60, 18}, {5, 100, 60, 5}, {5, 1, 60, 5}, {5, 100, 4, 4}, {0, 9, 60, 60},
	} {
		if got := (Part{Size: c.size, Instances: c.instances}).Of(c.endpoints); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}

// Half of all endpoints are replaced one after another: what an instance holds changes by little more than it must, and the
// spread stays even.
func TestARollingReplacementMovesLittle(t *testing.T) {
	const instances, n, size = 60, 120, 10
	fleet := make([]*Filter, instances)
	held := make([]map[string]bool, instances)
	moves := 0
	tell := func(m proxy.EndpointList) {
		for i, f := range fleet {
			for _, e := range f.Apply(m).Endpoints {
				if e.State == balancer.Ready && !held[i][e.ID] {
					held[i][e.ID] = true
					moves++
				} else if e.State == balancer.Gone {
					delete(held[i], e.ID)
				}
			}
		}
	}
	var all proxy.EndpointList
	for i := range n {
		all.Endpoints = append(all.Endpoints, proxy.Endpoint{ID: fmt.Sprintf("box-%d", i)})
	}
	for i := range fleet {
		fleet[i], held[i] = NewFilter(Part{Place: PlaceOf(i), Size: size}), map[string]bool{}
	}
	tell(all)
	moves = 0
	for i := range n / 2 {
		tell(proxy.EndpointList{Endpoints: []proxy.Endpoint{{ID: fmt.Sprintf("box-%d", i), State: balancer.Gone}}})
		tell(proxy.EndpointList{Endpoints: []proxy.Endpoint{{ID: fmt.Sprintf("new-%d", i)}}})
	}
	// Each replacement takes an endpoint from size of n instances and gives one to as many: two moves for each of them.
	if must := instances * (n / 2) * 2 * size / n; moves > must*3/2 {
		t.Errorf("%d moves, %d are needed", moves, must)
	}
	load := map[string]int{}
	for _, h := range held {
		for id := range h {
			load[id]++
		}
	}
	if len(load) != n {
		t.Errorf("%d of %d endpoints are held", len(load), n)
	}
	for id, got := range load {
		if got > 3*instances*size/n {
			t.Errorf("%s is held by %d, %d in the mean", id, got, instances*size/n)
		}
	}
}
