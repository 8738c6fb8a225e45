// Package subsets compares methods of choosing the servers to which each instance of a fleet sends
// requests. It measures how evenly instances are distributed over servers, and how much of a subset
// changes when a server or an instance is added or removed.
package subsets

import (
	"fmt"
	"io"
	"slices"

	"rowancart/internal/subset"
)

// Result holds the measurements of one method.
type Result struct {
	Method              string
	MinInstances        float64 // instances of the server with the fewest, relative to the mean
	MaxInstances        float64 // instances of the server with the most, relative to the mean
	AddedPerReplacement float64 // mean number of servers added to a subset when one server is replaced by another
	AddedPerNewInstance float64 // mean number of servers added to a subset when an instance is added to the fleet
	// MinAddedPerReplacement is the lowest value of AddedPerReplacement that a method can reach if
	// it keeps instances evenly distributed: size/servers to substitute the removed server, and
	// size/servers again to use the new one.
	MinAddedPerReplacement float64
}

// maxReplacements is the maximum number of servers that are replaced, one after another.
// Result.AddedPerReplacement is the mean over the replacements.
const maxReplacements = 5

// Measure returns the results of all methods for a fleet with these numbers of instances and
// servers, and for subsets of the requested size.
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

// measure returns the result of one method. All subsets have the given size.
func (m method) measure(instances, size int, servers []string) Result {
	r := Result{Method: m.name, MinAddedPerReplacement: 2 * float64(size) / float64(len(servers))}
	if size == len(servers) {
		r.MinAddedPerReplacement = 1 // no other server can replace the removed one
	}
	choose := m.newChooser(instances, size)
	subsets := choose(servers)
	r.AddedPerNewInstance = meanAdded(subsets, m.newChooser(instances+1, size)(servers))
	list := slices.Clone(servers)
	replacements := min(maxReplacements, len(servers))
	for i := range replacements {
		removed := slices.Delete(slices.Clone(list), 0, 1)
		replaced := append(slices.Clone(list[1:]), memberName("other", i))
		for _, next := range [][]string{removed, replaced} {
			chosen := choose(next)
			r.AddedPerReplacement += meanAdded(subsets, chosen) / float64(replacements)
			list = next
			subsets = chosen
		}
	}
	r.MinInstances, r.MaxInstances = instanceRange(subsets, list)
	return r
}

// instanceRange returns the smallest and the largest number of instances that have the same server
// in their subsets, relative to the mean over all servers.
func instanceRange(subsets [][]string, servers []string) (smallest, largest float64) {
	instancesOf := map[string]int{}
	total := 0
	for _, s := range subsets {
		for _, id := range s {
			instancesOf[id]++
			total++
		}
	}
	mean := float64(total) / float64(len(servers))
	smallest = float64(len(subsets))
	for _, id := range servers {
		ratio := float64(instancesOf[id]) / mean
		smallest = min(smallest, ratio)
		largest = max(largest, ratio)
	}
	return smallest, largest
}

// meanAdded returns the mean number of servers that a change adds to a subset, over the instances
// that exist before the change.
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

// Report measures all methods for each combination of the numbers of instances and servers, and
// writes the results as a table. All subsets are requested with the same size.
func Report(w io.Writer, instances, servers []int, size int) {
	fmt.Fprintf(w, "%9s %6s %5s  %-15s %7s %7s %9s %9s\n", "instances", "boxes", "part", "way", "least", "most",
		"replaced", "instance")
	for _, n := range instances {
		for _, count := range servers {
			results := Measure(n, count, size)
			subsetSize := subset.Spec{Size: size, Instances: n}.SizeOf(count)
			fmt.Fprintf(w, "%9d %6d %5d  %-15s %7s %7s %9.2f %9.2f\n", n, count, subsetSize, "(needed)", "", "",
				results[0].MinAddedPerReplacement, 0.0)
			for _, r := range results {
				fmt.Fprintf(w, "%9s %6s %5s  %-15s %7.2f %7.2f %9.2f %9.2f\n", "", "", "", r.Method, r.MinInstances,
					r.MaxInstances, r.AddedPerReplacement, r.AddedPerNewInstance)
			}
		}
	}
}
