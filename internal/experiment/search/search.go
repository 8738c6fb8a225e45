package search

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
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

// Site is what the plays of one site came to.
type Site struct {
	N             int                  `json:"site"`
	ServedWeight  map[string][]float64 `json:"worth"`            // served in time, as a share, by policy and repeat
	Failed        []float64            `json:"failed"`           // share of requests that the design refused or failed, by repeat
	Reasons       report.Reasons       `json:"why,omitempty"`    // the design refused or failed requests, by reason, in the first repeat
	ViolatedRules map[string][]string  `json:"broken,omitempty"` // rules, by policy
	Requests      int64                `json:"requests"`         // in the first repeat
}

// header is the first line of a file of results: what they hang on beside the program.
type header struct {
	Search string `json:"search"`
	Digest uint64 `json:"bounds"`
	Seed   uint64 `json:"seed"`
}

// Options say which sites are played.
type Options struct {
	Seed     uint64
	From, To int // sites, To not included
	Out      string
	Progress func(done, all int)
}

// Run plays sites on all cores and appends each to the file of results. Sites that stand there are not played again, so that a
// run that was stopped goes on.
func Run(ctx context.Context, b *Bounds, o Options) error {
	h := header{b.Name, b.Digest, o.Seed}
	done := map[int]bool{}
	complete, err := scanResults(o.Out, func(found header) error {
		if found != h {
			return fmt.Errorf("%s holds results of other bounds or another seed (search %q, seed %d)", o.Out, found.Search, found.Seed)
		}
		return nil
	}, func(s Site) { done[s.N] = true })
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	f, err := os.OpenFile(o.Out, os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Truncate(complete); err != nil { // what a kill left of a line
		return err
	}
	if _, err := f.Seek(complete, io.SeekStart); err != nil {
		return err
	}
	if complete == 0 {
		if err := writeLine(f, h); err != nil {
			return err
		}
	}
	defer debug.SetGCPercent(debug.SetGCPercent(400)) // plays make much garbage and keep little
	group, working := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	var mu sync.Mutex
	played := 0
	for n := range done {
		if n >= o.From && n < o.To {
			played++
		}
	}
	for n := o.From; n < o.To && working.Err() == nil; n++ {
		if done[n] {
			continue
		}
		group.Go(func() error {
			s, err := Play(working, b, o.Seed, n)
			if err != nil {
				return fmt.Errorf("site %d: %w", n, err)
			}
			mu.Lock()
			defer mu.Unlock()
			played++
			if o.Progress != nil {
				o.Progress(played, o.To-o.From)
			}
			return writeLine(f, s)
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return ctx.Err()
}

func writeLine(w io.Writer, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = w.Write(append(text, '\n'))
	return err
}

// Read returns the sites of a file of results, in order.
func Read(path string) ([]Site, error) {
	var sites []Site
	if _, err := scanResults(path, func(header) error { return nil }, func(s Site) { sites = append(sites, s) }); err != nil {
		return nil, err
	}
	slices.SortFunc(sites, func(x, y Site) int { return x.N - y.N })
	return slices.CompactFunc(sites, func(x, y Site) bool { return x.N == y.N }), nil
}

// scanResults reads a file of results and tells up to where its lines are whole.
func scanResults(path string, checkHeader func(header) error, addSite func(Site)) (complete int64, err error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	r := bufio.NewReader(f)
	for n := 1; ; n++ {
		text, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return complete, nil
		}
		if err != nil {
			return complete, err
		}
		if n == 1 {
			var h header
			if err := json.Unmarshal(text, &h); err != nil || h.Search == "" {
				return complete, fmt.Errorf("%s:1: no file of a search's results", path)
			}
			if err := checkHeader(h); err != nil {
				return complete, err
			}
		} else {
			var s Site
			if err := json.Unmarshal(text, &s); err != nil {
				return complete, fmt.Errorf("%s:%d: %w", path, n, err)
			}
			addSite(s)
		}
		complete += int64(len(text))
	}
}

// Play plays one site: the design and its baselines with common random numbers, and more often where the design seems behind.
func Play(ctx context.Context, b *Bounds, seed uint64, n int) (Site, error) {
	e := Draw(b, seed, n)
	s := Site{N: n, ServedWeight: map[string][]float64{}, ViolatedRules: map[string][]string{}}
	for repeat := range b.MoreRepeats {
		if repeat >= b.Repeats && s.Regret(b.Repeats).selectionMean <= b.SuspectRegret {
			break
		}
		for _, policy := range append([]string{Design}, b.Baselines...) {
			got, err := play(ctx, e, policy, uint64(repeat)+1)
			if err != nil {
				return s, err
			}
			s.ServedWeight[policy] = append(s.ServedWeight[policy], got.servedWeight)
			if policy == Design {
				s.Failed = append(s.Failed, got.failed)
				if repeat == 0 {
					s.Requests, s.Reasons = got.requests, got.reasons
				}
			}
			for _, rule := range got.violatedRules {
				if !slices.Contains(s.ViolatedRules[policy], rule) {
					s.ViolatedRules[policy] = append(s.ViolatedRules[policy], rule)
				}
			}
		}
	}
	return s, nil
}

// Show plays a site once with each policy and writes what came of it, with what the design's instances logged.
func Show(ctx context.Context, w io.Writer, b *Bounds, seed uint64, n int) error {
	e := Draw(b, seed, n)
	fmt.Fprintln(w, Describe(e))
	for _, t := range e.Site.Tiers {
		fmt.Fprintf(w, "%s: %d boxes, %g of the work, %d calls below, cold from %g for %v, choked at %g, kinds", t.Name, t.Servers, t.WorkFraction, t.Calls,
			t.Server.InitialCapacity, t.Server.WarmupTime, t.Server.CollapseQueue)
		for _, k := range t.Kinds {
			fmt.Fprintf(w, " %g of %d cores at %g, %d slots, queue %d;", k.Fraction, k.Cores, k.Speed, k.Slots, k.QueueLimit)
		}
		fmt.Fprintln(w)
	}
	for _, policy := range append([]string{Design}, b.Baselines...) {
		got, err := play(ctx, e, policy, 1)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%-18s %6.2f%% of the worth, refused or failed %.2f%%%s %v\n", policy, 100*got.servedWeight, 100*got.failed, formatReasons(got.reasons), got.violatedRules)
		if policy == Design {
			for _, l := range got.logs {
				fmt.Fprintln(w, "   ", l)
			}
		}
	}
	return nil
}

// outcome is one play of one policy.
type outcome struct {
	servedWeight, failed float64
	requests             int64
	violatedRules        []string
	reasons              report.Reasons
	logs                 []string
}

func play(ctx context.Context, e *experiment.Experiment, policy string, seed uint64) (outcome, error) {
	got, err := virtual.Run(ctx, e, experiment.Variant{Name: policy, Policy: policy}, seed, virtual.Options{})
	if err != nil {
		return outcome{}, err
	}
	t := got.Counters
	out := outcome{servedWeight: 1, failed: t.Total.Fraction(counters.Rejected) + t.Total.Fraction(counters.Failed), requests: t.Total.Offered(), reasons: t.Reasons, logs: got.Logs}
	if t.OfferedWeight > 0 {
		out.servedWeight = t.ServedWeight / t.OfferedWeight
	}
	for _, v := range got.Verdicts {
		if v.Violations > 0 {
			out.violatedRules = append(out.violatedRules, string(v.Rule))
		}
	}
	return out, nil
}
