// Package subsets compares methods to choose which servers each instance of a fleet sends to: how
// evenly instances are distributed over servers, and how much of a subset changes when a server or
// an instance comes or goes.
package subsets

import (
	"fmt"
	"io"
	"slices"

	"rowancart/internal/subset"
)

// Result is what was measured of one method.
type Result struct {
	Method       string
	MinInstances float64 // on the server that has fewest, in multiples of the mean
	MaxInstances float64 // on the server that has most
	Replaced     float64 // mean servers that change for an instance when one is replaced by another
	NewInstance  float64 // mean servers that change for an old instance when one is added
	// ReplacedNeeded is the least that Replaced can be with any method.
	ReplacedNeeded float64
}

// maxReplacements is how many servers are replaced, one after another. Replaced is the mean over
// them.
const maxReplacements = 5

// Measure compares the methods for a fleet.
func Measure(instances, servers, size int) []Result {
	size = subset.Spec{Size: size, Instances: instances}.SizeOf(servers)
	var all []string
	for i := range servers {
		all = append(all, memberName("box", i))
	}
	var out []Result
	for _, m := range methods {
		out = append(out, m.measure(instances, size, all))
	}
	return out
}

// measure measures a method with subsets of a size.
func (m method) measure(instances, size int, servers []string) Result {
	r := Result{Method: m.name, ReplacedNeeded: 2 * float64(size) / float64(len(servers))}
	if size == len(servers) {
		r.ReplacedNeeded = 1 // there is no other server to take the place of the one that goes
	}
	choose := m.newChooser(instances, size)
	subsets := choose(servers)
	r.NewInstance = meanAdded(subsets, m.newChooser(instances+1, size)(servers))
	list := slices.Clone(servers)
	replacements := min(maxReplacements, len(servers))
	for i := range replacements {
		removed := slices.Delete(slices.Clone(list), 0, 1)
		replaced := append(slices.Clone(list[1:]), memberName("other", i))
		for _, next := range [][]string{removed, replaced} {
			chosen := choose(next)
			r.Replaced += meanAdded(subsets, chosen) / float64(replacements)
			list, subsets = next, chosen
		}
	}
	r.MinInstances, r.MaxInstances = spread(subsets, list)
	return r
}

// spread returns the instances on the servers that have fewest and most, in multiples of the mean.
func spread(subsets [][]string, servers []string) (least, most float64) {
	load := map[string]int{}
	total := 0
	for _, s := range subsets {
		for _, id := range s {
			load[id]++
			total++
		}
	}
	mean := float64(total) / float64(len(servers))
	least = float64(len(subsets))
	for _, id := range servers {
		least, most = min(least, float64(load[id])/mean), max(most, float64(load[id])/mean)
	}
	return least, most
}

// meanAdded returns how many servers an instance has after a change that it did not have before, in
// the mean over the instances before.
func meanAdded(before, after [][]string) float64 {
	added := 0
	for i, old := range before {
		had := make(map[string]bool, len(old))
		for _, id := range old {
			had[id] = true
		}
		for _, id := range after[i] {
			if !had[id] {
				added++
			}
		}
	}
	return float64(added) / float64(len(before))
}

// Report measures fleets of all these sizes and writes a table.
func Report(w io.Writer, instances, servers []int, size int) {
	fmt.Fprintf(w, "%9s %6s %5s  %-15s %7s %7s %9s %9s\n", "instances", "boxes", "part", "way", "least", "most",
		"replaced", "instance")
	for _, n := range instances {
		for _, count := range servers {
			results := Measure(n, count, size)
			subsetSize := subset.Spec{Size: size, Instances: n}.SizeOf(count)
			fmt.Fprintf(w, "%9d %6d %5d  %-15s %7s %7s %9.2f %9.2f\n", n, count, subsetSize, "(needed)", "", "",
				results[0].ReplacedNeeded, 0.0)
			for _, r := range results {
				fmt.Fprintf(w, "%9s %6s %5s  %-15s %7.2f %7.2f %9.2f %9.2f\n", "", "", "", r.Method, r.MinInstances,
					r.MaxInstances, r.Replaced, r.NewInstance)
			}
		}
	}
}
