// Package search looks for sites on which the design loses: it draws services, loads and faults
// within bounds, runs the design and the baseline policies on each in virtual time, and ranks the
// sites by regret. Regret is what the best baseline serves in time, by priority weight, less what
// the design does.
package search

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/hcl/v2"

	"rowancart/internal/experiment"
	"rowancart/internal/experiment/baseline"
	"rowancart/internal/hcldecode"
)

// Design is the policy that is searched for its weaknesses.
const Design = experiment.DesignPolicy

// Kinds of faults that are drawn besides those of package experiment. Their texts are those of
// files of bounds.
const (
	flapping    = "flap"         // a server that crashes and restarts several times
	silentCrash = "silent_crash" // a crash that discovery says nothing of
	loadStep    = "step"         // a step of the load
)

// Span is a range that includes both its ends.
type Span[T int | float64 | time.Duration] struct{ Min, Max T }

// Bounds say within what sites are drawn, and how each is run.
type Bounds struct {
	Name          string
	Servers       Span[int] // of the first tier
	Instances     Span[int] // before the first tier
	Tiers         Span[int]
	Classes       Span[int]
	Faults        Span[int]           // during a run
	Work          Span[time.Duration] // mean of a request over all tiers
	Duration      Span[time.Duration]
	Load          Span[float64] // as a fraction of the site's capacity
	Rate          Span[float64] // requests a second
	MaxRequests   int           // in one run; the rate is lowered to it
	MaxKnownPairs int           // of an instance and a server in its endpoint list
	QuietFraction float64       // of sites on which each instance has less than one request a second
	FaultKinds    []string
	Baselines     []string
	Repeats       int     // runs of every site and policy
	MoreRepeats   int     // runs of sites where the design seems behind, those of Repeats included
	SuspectRegret float64 // from which the design seems behind
	Digest        uint64  // of the file
}

// faultKinds are the kinds that can be drawn.
var faultKinds = append([]string{flapping, silentCrash, loadStep}, virtualFaultKinds()...)

// virtualFaultKinds returns the kinds of package experiment that can be run in virtual time.
func virtualFaultKinds() []string {
	var names []string
	for _, k := range slices.Sorted(maps.Keys(experiment.FaultKinds)) {
		if experiment.FaultKinds[k] {
			names = append(names, string(k))
		}
	}
	return names
}

// Load reads a file of bounds.
func Load(path string) (*Bounds, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text, filepath.Base(path))
}

// Parse reads the text of a file of bounds, called name in messages.
func Parse(text []byte, name string) (*Bounds, error) {
	body, err := hcldecode.Parse(text, name)
	if err != nil {
		return nil, err
	}
	r := &hcldecode.Reader{}
	b := &Bounds{Digest: xxhash.Sum64(text)}
	found := false
	r.Body(body, nil, hcldecode.Blocks{"search name": func(block *hcl.Block) {
		if found {
			r.Fault(block.DefRange, "search: there is one already")
		}
		found, b.Name = true, block.Labels[0]
		readSearch(r, block, b)
	}})
	if !found && len(r.Diags) == 0 {
		r.Fault(hcl.Range{Filename: name, Start: hcl.InitialPos, End: hcl.InitialPos}, `the file has no block "search"`)
	}
	return b, hcldecode.Faults(r.Diags).Err()
}

// maxCount is the largest number of a span of counts.
const maxCount = 1e6

// readSearch reads a search block.
func readSearch(r *hcldecode.Reader, block *hcl.Block, b *Bounds) {
	var counts [5][]uint64
	var times [2][]time.Duration
	var load []float64
	var rates struct{ least, most hcldecode.Rate }
	var quiet, suspect hcldecode.Share
	ok := r.Body(block.Body, hcldecode.Fields{"boxes!": &counts[0], "instances!": &counts[1], "tiers!": &counts[2],
		"classes!": &counts[3], "faults!": &counts[4], "work!": &times[0], "duration!": &times[1], "load!": &load,
		"rate_least!": &rates.least, "rate_most!": &rates.most, "requests!": &b.MaxRequests, "known!": &b.MaxKnownPairs,
		"quiet!": &quiet, "fault_kinds!": &b.FaultKinds, "rivals!": &b.Baselines, "repeats!": &b.Repeats,
		"more_repeats!": &b.MoreRepeats, "seems!": &suspect}, nil)
	if !ok {
		return
	}
	for i, to := range []*Span[int]{&b.Servers, &b.Instances, &b.Tiers, &b.Classes, &b.Faults} {
		least := uint64(1)
		if to == &b.Faults {
			least = 0
		}
		readCounts(r, &counts[i], least, to)
	}
	for i, to := range []*Span[time.Duration]{&b.Work, &b.Duration} {
		readTimes(r, &times[i], to)
	}
	if len(load) != 2 || load[0] > load[1] || load[0] <= 0 {
		r.Fault(r.Places[&load], "load: two numbers above 0 are wanted, the smaller one first")
	} else {
		b.Load = Span[float64]{load[0], load[1]}
	}
	if rates.least <= 0 || rates.least > rates.most {
		r.Fault(r.Places[&rates.most], "rate_most: it is under rate_least, or that is 0")
	}
	b.Rate = Span[float64]{float64(rates.least), float64(rates.most)}
	b.QuietFraction, b.SuspectRegret = float64(quiet), float64(suspect)
	b.check(r, r.Places[&counts[2]])
}

func readCounts(r *hcldecode.Reader, numbers *[]uint64, least uint64, to *Span[int]) {
	n := *numbers
	if len(n) != 2 || n[0] > n[1] || n[0] < least || n[1] > maxCount {
		r.Fault(r.Places[numbers], "two whole numbers from %d up are wanted, the smaller one first", least)
		return
	}
	*to = Span[int]{int(n[0]), int(n[1])}
}

func readTimes(r *hcldecode.Reader, times *[]time.Duration, to *Span[time.Duration]) {
	t := *times
	if len(t) != 2 || t[0] > t[1] || t[0] <= 0 {
		r.Fault(r.Places[times], "two times above 0 are wanted, the shorter one first")
		return
	}
	*to = Span[time.Duration]{t[0], t[1]}
}

// maxTiers is the largest number of tiers that can be drawn.
const maxTiers = 3

// check reports values that cannot be run. The position is that of the numbers of tiers.
func (b *Bounds) check(r *hcldecode.Reader, tiers hcl.Range) {
	if b.MaxRequests < 100 || b.MaxKnownPairs < 1 {
		r.Fault(r.Places[&b.MaxRequests], "requests and known: at least 100 requests and one pair are wanted")
	}
	if b.Tiers.Max > maxTiers {
		r.Fault(tiers, "tiers: three at most")
	}
	if b.Repeats < 1 || b.MoreRepeats < b.Repeats+2 {
		r.Fault(r.Places[&b.MoreRepeats],
			"more_repeats: at least two more than repeats are wanted, to measure on plays that did not choose")
	}
	for _, k := range b.FaultKinds {
		hcldecode.OneOf(r, r.Places[&b.FaultKinds], "fault_kinds", k, faultKinds...)
	}
	for _, p := range b.Baselines {
		hcldecode.OneOf(r, r.Places[&b.Baselines], "rivals", p, baseline.Names...)
	}
	if len(b.Baselines) == 0 {
		r.Fault(r.Places[&b.Baselines], "rivals: at least one is wanted")
	}
}
