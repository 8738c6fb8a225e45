package search

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"rowancart/internal/experiment"
	"rowancart/internal/experiment/counters"
	"rowancart/internal/experiment/report"
	"rowancart/internal/experiment/virtual"
)

// gcPercent is the garbage collector's target percentage during a search. It makes collections less
// frequent at the cost of memory, of which runs need little.
const gcPercent = 400

// Options select the sites that are run, and where the results go.
type Options struct {
	Seed     uint64
	From, To int                 // range of sites to run, excluding To
	Out      string              // path of the results file
	Progress func(done, all int) // called after each site; nil: not called
}

// Run runs sites on all cores and appends the result of each to the results file. It skips sites
// that the file already contains, so that an interrupted search can be resumed.
func Run(ctx context.Context, b *Bounds, o Options) error {
	f, stored, err := openResults(o.Out, header{Search: b.Name, Digest: b.Digest, Seed: o.Seed})
	if err != nil {
		return err
	}
	defer f.Close()
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	var mu sync.Mutex // guards f and done
	done := 0
	for n := range stored {
		if n >= o.From && n < o.To {
			done++
		}
	}
	for n := o.From; n < o.To && groupCtx.Err() == nil; n++ {
		if stored[n] {
			continue
		}
		group.Go(func() error {
			s, err := RunSite(groupCtx, b, o.Seed, n)
			if err != nil {
				return fmt.Errorf("site %d: %w", n, err)
			}
			mu.Lock()
			defer mu.Unlock()
			done++
			if o.Progress != nil {
				o.Progress(done, o.To-o.From)
			}
			return writeLine(f, s)
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return ctx.Err()
}

// RunSite runs the design and the baselines on one site, with common random numbers. It makes more
// repeats if the first ones suggest that the design is behind.
func RunSite(ctx context.Context, b *Bounds, seed uint64, n int) (SiteResult, error) {
	e := Draw(b, seed, n)
	s := SiteResult{N: n, ServedWeight: map[string][]float64{}, ViolatedRules: map[string][]string{}}
	for repeat := range b.MoreRepeats {
		if repeat >= b.Repeats && s.Regret(b.Repeats).selectionMean <= b.SuspectRegret {
			break
		}
		for _, policy := range append([]string{Design}, b.Baselines...) {
			result, err := runOnce(ctx, e, policy, uint64(repeat)+1)
			if err != nil {
				return s, err
			}
			s.add(policy, repeat, result)
		}
	}
	return s, nil
}

// add adds the result of one run of a policy.
func (s *SiteResult) add(policy string, repeat int, result runResult) {
	s.ServedWeight[policy] = append(s.ServedWeight[policy], result.servedWeight)
	if policy == Design {
		s.Failed = append(s.Failed, result.failed)
		if repeat == 0 {
			s.Requests = result.requests
			s.Reasons = result.reasons
		}
	}
	for _, rule := range result.violatedRules {
		if !slices.Contains(s.ViolatedRules[policy], rule) {
			s.ViolatedRules[policy] = append(s.ViolatedRules[policy], rule)
		}
	}
}

// Show runs each policy once on a site and writes the results, including the log of the design's
// instances.
func Show(ctx context.Context, w io.Writer, b *Bounds, seed uint64, n int) error {
	e := Draw(b, seed, n)
	fmt.Fprintln(w, Describe(e))
	for _, t := range e.Site.Tiers {
		writeTier(w, t)
	}
	for _, policy := range append([]string{Design}, b.Baselines...) {
		result, err := runOnce(ctx, e, policy, 1)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%-18s %6.2f%% of the worth, refused or failed %.2f%%%s %v\n", policy, 100*result.servedWeight,
			100*result.failed, formatReasons(result.reasons), result.violatedRules)
		if policy == Design {
			for _, line := range result.logs {
				fmt.Fprintln(w, "   ", line)
			}
		}
	}
	return nil
}

// writeTier writes the parameters of a tier on one line.
func writeTier(w io.Writer, t experiment.Tier) {
	fmt.Fprintf(w, "%s: %d boxes, %g of the work, %d calls below, cold from %g for %v, choked at %g, kinds", t.Name,
		t.Servers, t.WorkFraction, t.Calls, t.Server.InitialCapacity, t.Server.WarmupTime, t.Server.CollapseQueue)
	for _, k := range t.Kinds {
		fmt.Fprintf(w, " %g of %d cores at %g, %d slots, queue %d;", k.Fraction, k.Cores, k.Speed, k.Slots, k.QueueLimit)
	}
	fmt.Fprintln(w)
}

// runResult is the result of one run of one policy.
type runResult struct {
	servedWeight  float64 // served in time, as a fraction of the priority weight of all requests
	failed        float64 // fraction of requests rejected or failed
	requests      int64
	violatedRules []string
	reasons       report.Reasons
	logs          []string
}

func runOnce(ctx context.Context, e *experiment.Experiment, policy string, seed uint64) (runResult, error) {
	variant := experiment.Variant{Name: policy, Policy: policy}
	result, err := virtual.Run(ctx, e, variant, seed, virtual.Options{})
	if err != nil {
		return runResult{}, err
	}
	c := result.Counters
	out := runResult{
		servedWeight: 1,
		failed:       c.Total.Fraction(counters.Rejected) + c.Total.Fraction(counters.Failed),
		requests:     c.Total.Offered(),
		reasons:      c.Reasons,
		logs:         result.Logs,
	}
	if c.OfferedWeight > 0 {
		out.servedWeight = c.ServedWeight / c.OfferedWeight
	}
	for _, v := range result.Verdicts {
		if v.Violations > 0 {
			out.violatedRules = append(out.violatedRules, string(v.Rule))
		}
	}
	return out, nil
}
