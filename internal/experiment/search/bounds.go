// Package search finds sites on which the design does worse than a baseline policy. A site is a
// random experiment: a service, a load and faults, drawn within bounds. The package runs the design
// and the baselines on each site in virtual time and ranks the sites by regret. Served weight is
// the fraction of the requests that is served in time, weighted by the priority of their class.
// Regret is the served weight of the best baseline minus the served weight of the design.
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

// Design is the policy that is compared with the baselines.
const Design = experiment.DesignPolicy

// Kinds of faults that can be drawn in addition to those of package experiment. The values are
// their names in bounds files.
const (
	flapping    = "flap"         // servers that crash and restart several times
	silentCrash = "silent_crash" // a crash that discovery does not announce
	loadStep    = "step"         // a temporary increase of the load
)

// Span is a range that includes both ends.
type Span[T int | float64 | time.Duration] struct{ Min, Max T }

// Bounds limit the sites that are drawn and specify how each is run.
type Bounds struct {
	Name          string
	Servers       Span[int] // of the first tier
	Instances     Span[int] // in front of the first tier
	Tiers         Span[int]
	Classes       Span[int]
	Faults        Span[int]           // during a run
	Work          Span[time.Duration] // mean work of a request, over all tiers
	Duration      Span[time.Duration]
	Load          Span[float64] // as a fraction of the site's capacity
	Rate          Span[float64] // requests a second
	MaxRequests   int           // limit on the expected requests of a run without load steps; minRequests has precedence
	MaxKnownPairs int           // limit on pairs of an instance and a first-tier server that it knows
	QuietFraction float64       // fraction of sites with less than one request a second per instance
	FaultKinds    []string
	Baselines     []string
	Repeats       int     // runs of each policy on every site
	MoreRepeats   int     // runs of each policy on sites whose regret exceeds SuspectRegret, including the first Repeats
	SuspectRegret float64 // regret above which a site gets MoreRepeats
	Digest        uint64  // hash of the bounds file
}

// faultKinds lists the kinds of faults that can be drawn.
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

// Load reads a bounds file.
func Load(path string) (*Bounds, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text, filepath.Base(path))
}

// Parse parses the text of a bounds file. Error messages refer to the file by name.
func Parse(text []byte, name string) (*Bounds, error) {
	body, err := hcldecode.Parse(text, name)
	if err != nil {
		return nil, err
	}
	r := &hcldecode.Decoder{}
	b := &Bounds{Digest: xxhash.Sum64(text)}
	found := false
	r.Body(body, nil, hcldecode.Blocks{"search name": func(block *hcl.Block) {
		if found {
			r.Errorf(block.DefRange, "search: already defined")
		}
		found = true
		b.Name = block.Labels[0]
		readSearch(r, block, b)
	}})
	if !found && len(r.Diags) == 0 {
		r.Errorf(hcl.Range{Filename: name, Start: hcl.InitialPos, End: hcl.InitialPos}, `the file has no block "search"`)
	}
	return b, hcldecode.NewErrorList(r.Diags).Err()
}

// maxCount is the largest value that a span of counts may contain.
const maxCount = 1_000_000

// searchBlock holds the attributes of a block "search" that have another type in Bounds.
type searchBlock struct {
	servers, instances, tiers, classes, faults []uint64
	work, duration                             []time.Duration
	load                                       []float64
	minRate, maxRate                           hcldecode.Rate
	quiet, suspect                             hcldecode.Fraction
}

// readSearch reads a block "search".
func readSearch(r *hcldecode.Decoder, block *hcl.Block, b *Bounds) {
	var s searchBlock
	ok := r.Body(block.Body, hcldecode.Fields{
		"boxes!":        &s.servers,
		"instances!":    &s.instances,
		"tiers!":        &s.tiers,
		"classes!":      &s.classes,
		"faults!":       &s.faults,
		"work!":         &s.work,
		"duration!":     &s.duration,
		"load!":         &s.load,
		"rate_least!":   &s.minRate,
		"rate_most!":    &s.maxRate,
		"requests!":     &b.MaxRequests,
		"known!":        &b.MaxKnownPairs,
		"quiet!":        &s.quiet,
		"fault_kinds!":  &b.FaultKinds,
		"rivals!":       &b.Baselines,
		"repeats!":      &b.Repeats,
		"more_repeats!": &b.MoreRepeats,
		"seems!":        &s.suspect,
	}, nil)
	if !ok {
		return
	}
	b.Servers = readCounts(r, "boxes", &s.servers, 1)
	b.Instances = readCounts(r, "instances", &s.instances, 1)
	b.Tiers = readCounts(r, "tiers", &s.tiers, 1)
	b.Classes = readCounts(r, "classes", &s.classes, 1)
	b.Faults = readCounts(r, "faults", &s.faults, 0)
	b.Work = readTimes(r, "work", &s.work)
	b.Duration = readTimes(r, "duration", &s.duration)
	b.Load = readLoad(r, &s.load)
	if s.minRate <= 0 || s.minRate > s.maxRate {
		r.Errorf(r.Ranges[&s.maxRate], "rate_most: must be at least rate_least, which must be above 0")
	}
	b.Rate = Span[float64]{float64(s.minRate), float64(s.maxRate)}
	b.QuietFraction = float64(s.quiet)
	b.SuspectRegret = float64(s.suspect)
	b.check(r, r.Ranges[&s.tiers])
}

// readCounts returns the span of two integers, which must be from smallest to maxCount.
func readCounts(r *hcldecode.Decoder, name string, numbers *[]uint64, smallest uint64) Span[int] {
	n := *numbers
	if len(n) != 2 || n[0] > n[1] || n[0] < smallest || n[1] > maxCount {
		r.Errorf(r.Ranges[numbers], "%s: must be two integers from %d to %d, the smaller one first", name, smallest, maxCount)
		return Span[int]{}
	}
	return Span[int]{int(n[0]), int(n[1])}
}

// readTimes returns the span of two durations.
func readTimes(r *hcldecode.Decoder, name string, times *[]time.Duration) Span[time.Duration] {
	t := *times
	if len(t) != 2 || t[0] > t[1] || t[0] <= 0 {
		r.Errorf(r.Ranges[times], "%s: must be two durations above 0s, the shorter one first", name)
		return Span[time.Duration]{}
	}
	return Span[time.Duration]{t[0], t[1]}
}

// readLoad returns the span of two loads, as fractions of a site's capacity.
func readLoad(r *hcldecode.Decoder, load *[]float64) Span[float64] {
	l := *load
	if len(l) != 2 || l[0] > l[1] || l[0] <= 0 {
		r.Errorf(r.Ranges[load], "load: must be two numbers above 0, the smaller one first")
		return Span[float64]{}
	}
	return Span[float64]{l[0], l[1]}
}

// maxTiers is the largest number of tiers that can be drawn.
const maxTiers = 3

// check reports values that cannot be run. Tiers is the position of the attribute "tiers".
func (b *Bounds) check(r *hcldecode.Decoder, tiers hcl.Range) {
	if b.MaxRequests < 100 || b.MaxKnownPairs < 1 {
		r.Errorf(r.Ranges[&b.MaxRequests], "requests and known: must be at least 100 requests and 1 pair")
	}
	if b.Tiers.Max > maxTiers {
		r.Errorf(tiers, "tiers: must be at most %d", maxTiers)
	}
	if b.Repeats < 1 || b.MoreRepeats < b.Repeats+2 {
		r.Errorf(r.Ranges[&b.MoreRepeats],
			"more_repeats: must exceed repeats by at least 2: regret excludes the runs that selected the baseline")
	}
	for _, k := range b.FaultKinds {
		hcldecode.OneOf(r, r.Ranges[&b.FaultKinds], "fault_kinds", k, faultKinds...)
	}
	for _, p := range b.Baselines {
		hcldecode.OneOf(r, r.Ranges[&b.Baselines], "rivals", p, baseline.Names...)
	}
	if len(b.Baselines) == 0 {
		r.Errorf(r.Ranges[&b.Baselines], "rivals: must name at least one policy")
	}
}
