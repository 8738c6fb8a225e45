// Package search looks for the sites on which the design loses: it draws services, loads and faults within bounds, plays the
// design and the baseline policies on each in virtual time, ranks the sites by regret, and shrinks the worst to experiments that
// play by themselves. Regret is what the best baseline serves in time, by worth, less what the design does.
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

// flap and silentCrash are drawn beside the faults that the lab has: a server that goes and comes, and one of which the discovery service
// says nothing.
const (
	flapping    = "flap"
	silentCrash = "silent_crash"
	loadStep    = "step" // a step in the load
)

// Span is a range, both ends included.
type Span[T int | float64 | time.Duration] struct{ Min, Max T }

// Bounds say within what sites are drawn, and how each is played.
type Bounds struct {
	Name          string
	Servers       Span[int]           // of the first tier
	Instances     Span[int]           // before it
	Tiers         Span[int]           //
	Classes       Span[int]           //
	Faults        Span[int]           // that strike during a play
	Work          Span[time.Duration] // mean of a request over all tiers
	Duration      Span[time.Duration]
	Load          Span[float64] // in shares of what the service can do
	Rate          Span[float64] // requests a second
	MaxRequests   int           // most in one play: the rate is lowered to it
	MaxKnownPairs int           // most pairs of an instance and a server that it knows
	QuietFraction float64       // share of sites whose clients ask less than once a second each
	FaultKinds    []string      // of faults
	Baselines     []string
	Repeats       int     // plays of every site and policy
	MoreRepeats   int     // and of those where the design seems behind
	SuspectRegret float64 // by more than this
	Digest        uint64  // of the file
}

var faultKinds = append([]string{flapping, silentCrash, loadStep}, func() (names []string) {
	for _, k := range slices.Sorted(maps.Keys(experiment.FaultKinds)) {
		if experiment.FaultKinds[k] {
			names = append(names, string(k))
		}
	}
	return names
}()...)

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
	return b, hcldecode.Faults(r.Diags)
}

func readSearch(r *hcldecode.Reader, block *hcl.Block, b *Bounds) {
	var integers [5][]uint64
	var times [2][]time.Duration
	var load []float64
	var rates struct{ least, most hcldecode.Rate }
	var quiet, seems hcldecode.Share
	ok := r.Body(block.Body, hcldecode.Fields{"boxes!": &integers[0], "instances!": &integers[1], "tiers!": &integers[2], "classes!": &integers[3],
		"faults!": &integers[4], "work!": &times[0], "duration!": &times[1], "load!": &load, "rate_least!": &rates.least,
		"rate_most!": &rates.most, "requests!": &b.MaxRequests, "known!": &b.MaxKnownPairs, "quiet!": &quiet, "fault_kinds!": &b.FaultKinds,
		"rivals!": &b.Baselines, "repeats!": &b.Repeats, "more_repeats!": &b.MoreRepeats, "seems!": &seems}, nil)
	if !ok {
		return
	}
	at := func(to any) hcl.Range { return r.Places[to] }
	for i, to := range []*Span[int]{&b.Servers, &b.Instances, &b.Tiers, &b.Classes, &b.Faults} {
		least := uint64(1)
		if to == &b.Faults {
			least = 0
		}
		if len(integers[i]) != 2 || integers[i][0] > integers[i][1] || integers[i][0] < least || integers[i][1] > 1e6 {
			r.Fault(at(&integers[i]), "two whole numbers from %d up are wanted, the smaller one first", least)
			continue
		}
		*to = Span[int]{int(integers[i][0]), int(integers[i][1])}
	}
	for i, to := range []*Span[time.Duration]{&b.Work, &b.Duration} {
		if len(times[i]) != 2 || times[i][0] > times[i][1] || times[i][0] <= 0 {
			r.Fault(at(&times[i]), "two times above 0 are wanted, the shorter one first")
			continue
		}
		*to = Span[time.Duration]{times[i][0], times[i][1]}
	}
	if len(load) != 2 || load[0] > load[1] || load[0] <= 0 {
		r.Fault(at(&load), "load: two numbers above 0 are wanted, the smaller one first")
	} else {
		b.Load = Span[float64]{load[0], load[1]}
	}
	if rates.least <= 0 || rates.least > rates.most {
		r.Fault(at(&rates.most), "rate_most: it is under rate_least, or that is 0")
	}
	if b.MaxRequests < 100 || b.MaxKnownPairs < 1 {
		r.Fault(at(&b.MaxRequests), "requests and known: at least 100 requests and one pair are wanted")
	}
	if b.Tiers.Max > 3 {
		r.Fault(at(&integers[2]), "tiers: three at most")
	}
	if b.Repeats < 1 || b.MoreRepeats < b.Repeats+2 {
		r.Fault(at(&b.MoreRepeats), "more_repeats: at least two more than repeats are wanted, to measure on plays that did not choose")
	}
	for _, k := range b.FaultKinds {
		hcldecode.OneOf(r, at(&b.FaultKinds), "fault_kinds", k, faultKinds...)
	}
	for _, p := range b.Baselines {
		hcldecode.OneOf(r, at(&b.Baselines), "rivals", p, baseline.Names...)
	}
	if len(b.Baselines) == 0 {
		r.Fault(at(&b.Baselines), "rivals: at least one is wanted")
	}
	b.Rate, b.QuietFraction, b.SuspectRegret = Span[float64]{float64(rates.least), float64(rates.most)}, float64(quiet), float64(seems)
}
