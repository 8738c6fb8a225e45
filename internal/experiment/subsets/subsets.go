// Package subsets measures ways to choose which endpoints each instance of a fleet sends to: how evenly instances fall on
// endpoints, and how much moves when an endpoint or an instance comes or goes.
package subsets

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"rowancart/balancer"
	"rowancart/internal/proxy"
	"rowancart/internal/subset"
)

// chooser returns the endpoints of each instance after each change of the list.
type chooser func(boxes []string) [][]string

// methods are what is compared, ours first.
var methods = []struct {
	name string
	make func(instances, size int) chooser
}{
	{"ring, numbered", func(instances, size int) chooser { return filtered(instances, size, subset.PlaceOf) }},
	{"ring, named", func(instances, size int) chooser { return filtered(instances, size, namedPlace) }},
	{"ring, forgetful", func(instances, size int) chooser {
		return func(boxes []string) [][]string { return ring(instances, size, boxes) }
	}},
	{"rendezvous", func(instances, size int) chooser {
		return func(boxes []string) [][]string { return rendezvous(instances, size, boxes) }
	}},
	{"rounds", func(instances, size int) chooser {
		return func(boxes []string) [][]string { return rounds(instances, size, boxes) }
	}},
}

func namedPlace(i int) subset.Place { return subset.PlaceNamed(memberName("instance", i)) }

// filtered is what the daemon does: each instance goes by its filter, which keeps what has not moved far.
func filtered(instances, size int, place func(int) subset.Place) chooser {
	filters := make([]*subset.Filter, instances)
	kept := make([]map[string]bool, instances)
	for i := range filters {
		filters[i], kept[i] = subset.NewFilter(subset.Part{Place: place(i), Size: size}), map[string]bool{}
	}
	known := map[string]bool{}
	return func(servers []string) [][]string {
		var m proxy.EndpointList
		now := map[string]bool{}
		for _, b := range servers {
			if now[b] = true; !known[b] {
				m.Endpoints = append(m.Endpoints, proxy.Endpoint{ID: b})
			}
		}
		for b := range known { // the order makes no difference to the filter
			if !now[b] {
				m.Endpoints = append(m.Endpoints, proxy.Endpoint{ID: b, State: balancer.Gone})
			}
		}
		known = now
		out := make([][]string, instances)
		for i, f := range filters {
			for _, e := range f.Apply(m).Endpoints {
				if e.State == balancer.Gone {
					delete(kept[i], e.ID)
				} else {
					kept[i][e.ID] = true
				}
			}
			out[i] = slices.Collect(maps.Keys(kept[i]))
		}
		return out
	}
}

// ring is the ring without memory.
func ring(instances, size int, servers []string) [][]string {
	var r subset.Ring
	for _, b := range servers {
		r.Add(b)
	}
	out := make([][]string, instances)
	for i := range out {
		out[i] = r.From(subset.PlaceOf(i), size)
	}
	return out
}

// rendezvous returns each instance the endpoints that score highest with its name (Thaler and Ravishankar, 1996): a random
// subset that needs no number and moves as little as can be.
func rendezvous(instances, size int, servers []string) [][]string {
	type scored struct {
		score uint64
		id    string
	}
	out := make([][]string, instances)
	all := make([]scored, len(servers))
	for i := range out {
		salt := xxhash.Sum64String(memberName("instance", i))
		for j, b := range servers {
			x := (xxhash.Sum64String(b) ^ salt) * 0x9e3779b97f4a7c15 // mixed once more: both hashes are even already
			all[j] = scored{(x ^ x>>29) * 0xbf58476d1ce4e5b9, b}
		}
		slices.SortFunc(all, func(x, y scored) int { return cmp.Compare(y.score, x.score) })
		for _, s := range all[:min(size, len(all))] {
			out[i] = append(out[i], s.id)
		}
	}
	return out
}

// rounds is deterministic subsetting as "Site Reliability Engineering" has it (chapter 20): instances go in rounds, each with
// a shuffled list of its own that its instances share out.
func rounds(instances, size int, servers []string) [][]string {
	out := make([][]string, instances)
	count := max(len(servers)/size, 1)
	var list []string
	for i := range out {
		if i%count == 0 {
			list = slices.Clone(servers)
			rand.New(rand.NewPCG(uint64(i/count), 20)).Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
		}
		from := i % count * size
		out[i] = list[from:min(from+size, len(list))]
	}
	return out
}

func memberName(what string, i int) string { return what + "-" + strconv.Itoa(i) }

// Result are what one way comes to.
type Result struct {
	Method                     string
	MinInstances, MaxInstances float64 // instances on the endpoint that has fewest and most, in multiples of the mean
	Replaced                   float64 // endpoints that change for an instance when one goes and then another comes, in the mean
	NewInstance                float64 // and when an instance comes, for those that were there
	ReplacedNeeded             float64 // what no way can do without
}

const replacements = 5 // one after another, over which Replaced is the mean

// Measure compares the ways for a fleet.
func Measure(instances, servers, size int) []Result {
	size = subset.Part{Size: size, Instances: instances}.Of(servers)
	var all []string
	for i := range servers {
		all = append(all, memberName("box", i))
	}
	var out []Result
	for _, w := range methods {
		f := Result{Method: w.name, ReplacedNeeded: 2 * float64(size) / float64(servers)}
		if size == servers {
			f.ReplacedNeeded = 1 // nobody can take another for the one that goes
		}
		choose := w.make(instances, size)
		first := choose(all)
		f.NewInstance = meanAdded(first, w.make(instances+1, size)(all))
		list, parts := slices.Clone(all), first
		for i := range min(replacements, servers) {
			for _, next := range [][]string{slices.Delete(slices.Clone(list), 0, 1), append(slices.Clone(list[1:]), memberName("other", i))} {
				now := choose(next)
				f.Replaced += meanAdded(parts, now) / float64(min(replacements, servers))
				list, parts = next, now
			}
		}
		load := map[string]int{}
		kept := 0
		for _, p := range parts {
			for _, id := range p {
				load[id]++
				kept++
			}
		}
		mean := float64(kept) / float64(servers)
		f.MinInstances = float64(instances)
		for _, id := range list {
			f.MinInstances, f.MaxInstances = min(f.MinInstances, float64(load[id])/mean), max(f.MaxInstances, float64(load[id])/mean)
		}
		out = append(out, f)
	}
	return out
}

// meanAdded is how many endpoints an instance has that it did not have, in the mean.
func meanAdded(before, after [][]string) float64 {
	n := 0
	for i, old := range before {
		had := make(map[string]bool, len(old))
		for _, id := range old {
			had[id] = true
		}
		for _, id := range after[i] {
			if !had[id] {
				n++
			}
		}
	}
	return float64(n) / float64(len(before))
}

// Report measures fleets of all these sizes and writes a table.
func Report(w io.Writer, instances, servers []int, size int) {
	fmt.Fprintf(w, "%9s %6s %5s  %-15s %7s %7s %9s %9s\n", "instances", "boxes", "part", "way", "least", "most", "replaced", "instance")
	for _, n := range instances {
		for _, b := range servers {
			for i, f := range Measure(n, b, size) {
				if i == 0 {
					part := subset.Part{Size: size, Instances: n}.Of(b)
					fmt.Fprintf(w, "%9d %6d %5d  %-15s %7s %7s %9.2f %9.2f\n", n, b, part, "(needed)", "", "", f.ReplacedNeeded, 0.0)
				}
				fmt.Fprintf(w, "%9s %6s %5s  %-15s %7.2f %7.2f %9.2f %9.2f\n", "", "", "", f.Method, f.MinInstances, f.MaxInstances, f.Replaced, f.NewInstance)
			}
		}
	}
}
