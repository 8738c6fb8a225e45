package subsets

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"rowancart/balancer"
	"rowancart/internal/proxy"
	"rowancart/internal/subset"
)

// chooser returns the subset of each instance for the current list of servers. It may keep state
// between calls.
type chooser func(servers []string) [][]string

// method is a method of choosing subsets of a given size for a number of instances.
type method struct {
	name       string
	newChooser func(instances, size int) chooser
}

// methods are the compared methods. The first is the one that the daemon uses.
var methods = []method{
	{"ring, numbered", func(instances, size int) chooser { return filtered(instances, size, subset.PositionOf) }},
	{"ring, named", func(instances, size int) chooser { return filtered(instances, size, positionByName) }},
	{"ring, forgetful", stateless(ringSubsets)},
	{"rendezvous", stateless(rendezvousSubsets)},
	{"rounds", stateless(roundSubsets)},
}

// stateless returns a newChooser function for a method whose subsets depend only on the current
// list of servers.
func stateless(choose func(instances, size int, servers []string) [][]string) func(instances, size int) chooser {
	return func(instances, size int) chooser {
		return func(servers []string) [][]string { return choose(instances, size, servers) }
	}
}

// positionByName returns the position of instance i if only its name is known, not its index.
func positionByName(i int) subset.Position { return subset.PositionOfName(memberName("instance", i)) }

// memberName returns the name of a server or an instance.
func memberName(kind string, i int) string { return kind + "-" + strconv.Itoa(i) }

// filtered is the daemon's method. Each instance has a filter, which keeps those servers of the
// previous subset that have not moved far on the ring.
func filtered(instances, size int, position func(int) subset.Position) chooser {
	filters := make([]*subset.Filter, instances)
	subsets := make([]map[string]bool, instances)
	for i := range filters {
		filters[i] = subset.NewFilter(subset.Spec{Position: position(i), Size: size})
		subsets[i] = map[string]bool{}
	}
	known := map[string]bool{}
	return func(servers []string) [][]string {
		changes := listChanges(known, servers)
		out := make([][]string, instances)
		for i, f := range filters {
			for _, e := range f.Apply(changes).Endpoints {
				if e.State == balancer.Removed {
					delete(subsets[i], e.ID)
				} else {
					subsets[i][e.ID] = true
				}
			}
			out[i] = slices.Collect(maps.Keys(subsets[i]))
		}
		return out
	}
}

// listChanges returns the changes from the set known to the list servers, and sets known to the
// servers of the list.
func listChanges(known map[string]bool, servers []string) proxy.EndpointList {
	var changes proxy.EndpointList
	present := map[string]bool{}
	for _, s := range servers {
		present[s] = true
		if !known[s] {
			changes.Endpoints = append(changes.Endpoints, proxy.Endpoint{ID: s})
		}
	}
	for s := range known { // the order of removals does not affect a filter
		if !present[s] {
			changes.Endpoints = append(changes.Endpoints, proxy.Endpoint{ID: s, State: balancer.Removed})
		}
	}
	clear(known)
	maps.Copy(known, present)
	return changes
}

// ringSubsets is the daemon's method without memory: it keeps no servers of previous subsets.
func ringSubsets(instances, size int, servers []string) [][]string {
	var r subset.Ring
	for _, s := range servers {
		r.Add(s)
	}
	out := make([][]string, instances)
	for i := range out {
		out[i] = r.From(subset.PositionOf(i), size)
	}
	return out
}

// rendezvousSubsets is rendezvous hashing (Thaler and Ravishankar, 1996). It gives each instance
// the servers whose hashes with the name of the instance are highest: a random subset that does not
// depend on the index of the instance and changes as little as possible.
func rendezvousSubsets(instances, size int, servers []string) [][]string {
	type scored struct {
		score uint64
		id    string
	}
	out := make([][]string, instances)
	all := make([]scored, len(servers))
	for i := range out {
		salt := xxhash.Sum64String(memberName("instance", i))
		for j, s := range servers {
			// XOR with the salt alone would give different instances similar orders of servers.
			x := (xxhash.Sum64String(s) ^ salt) * 0x9e3779b97f4a7c15
			all[j] = scored{(x ^ x>>29) * 0xbf58476d1ce4e5b9, s}
		}
		slices.SortFunc(all, func(x, y scored) int { return cmp.Compare(y.score, x.score) })
		for _, s := range all[:min(size, len(all))] {
			out[i] = append(out[i], s.id)
		}
	}
	return out
}

// roundSubsets is deterministic subsetting as in "Site Reliability Engineering" (chapter 20).
// Instances are divided into rounds. Each round has its own shuffled list of servers, which is
// divided among the instances of the round.
func roundSubsets(instances, size int, servers []string) [][]string {
	out := make([][]string, instances)
	perRound := max(len(servers)/size, 1)
	var list []string
	for i := range out {
		if i%perRound == 0 {
			list = slices.Clone(servers)
			rng := rand.New(rand.NewPCG(uint64(i/perRound), 20))
			rng.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
		}
		from := i % perRound * size
		out[i] = list[from:min(from+size, len(list))]
	}
	return out
}
