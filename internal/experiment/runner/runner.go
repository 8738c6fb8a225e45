// Package runner plays all that an experiment file asks for, every variant on the same arrivals and faults, and gathers
// it into one report.
package runner

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"rowancart/internal/experiment"
	"rowancart/internal/experiment/hclfile"
	"rowancart/internal/experiment/report"
	"rowancart/internal/experiment/testbed"
	"rowancart/internal/experiment/virtual"
)

// Options say how to play.
type Options struct {
	Virtual bool
	Seeds   []uint64 // in place of the file's
	Variant string   // this one only
	Root    string   // of the repository, for programs that the deploy file starts
	Self    string   // this program's own path, for the variant that it hosts itself
	// Progress hears how many of all plays are done, and how far the present one is, from 0 to 1. It may be called from
	// several goroutines.
	Progress func(done, all int, part float64)
}

// maxVoidRuns is how often a play in which the test bed was late is played.
const maxVoidRuns = 3

// job is one play.
type job struct {
	point    int
	variant  experiment.Variant
	seed     uint64
	run      report.Run
	complete bool
}

// Run plays and reports. When ctx ends, the report holds what was measured and says that it was stopped.
func Run(ctx context.Context, plays []hclfile.Play, o Options) (*report.Report, error) {
	for i := range plays {
		e := &plays[i].Experiment
		if o.Seeds != nil {
			e.Seeds = o.Seeds
		}
		if err := selectPlayable(e, o); err != nil {
			return nil, err
		}
	}
	first := &plays[0].Experiment
	r := report.New(first, o.Virtual)
	var jobs []*job
	for p := range plays {
		for _, seed := range plays[p].Seeds { // variants side by side in time: a machine's moods hit all alike
			for _, a := range plays[p].Variants {
				jobs = append(jobs, &job{point: p, variant: a, seed: seed})
			}
		}
	}
	var err error
	if o.Virtual {
		err = playVirtual(ctx, plays, jobs, o)
	} else {
		err = playSockets(ctx, plays, jobs, o)
	}
	if err != nil && ctx.Err() == nil {
		return nil, err
	}
	if ctx.Err() != nil {
		r.Stopped = "it was interrupted; the figures are of what had been played"
	}
	for p := range plays {
		var done []report.Run
		for _, j := range jobs {
			if j.point == p && j.complete {
				done = append(done, j.run)
			}
		}
		arms := report.Summarise(&plays[p].Experiment, done)
		if p == 0 {
			r.Variants = arms
		}
		if plays[p].Point != "" {
			r.Points = append(r.Points, report.Point{Point: plays[p].Point, Variants: arms})
		}
		if r.Stopped == "" {
			for _, m := range report.CheckExpectations(&plays[p].Experiment, arms) {
				if plays[p].Point != "" {
					m = plays[p].Point + ": " + m
				}
				r.Missed = append(r.Missed, m)
			}
		}
	}
	return r, nil
}

// selectPlayable drops the variants and expectations that are not to be played.
func selectPlayable(e *experiment.Experiment, o Options) error {
	var arms []experiment.Variant
	var names []string
	for _, a := range e.Variants {
		names = append(names, a.Name)
		virtual := a.Policy != "reverse_proxy" && a.Command == ""
		sockets := a.Policy == experiment.DesignPolicy || a.Policy == "reverse_proxy" || a.Command != ""
		if (o.Variant == "" || o.Variant == a.Name) && (o.Virtual && virtual || !o.Virtual && sockets) {
			arms = append(arms, a)
		}
	}
	if len(arms) == 0 {
		if o.Variant != "" {
			return fmt.Errorf("%s: no arm %q can be played so; there are %v", e.Name, o.Variant, names)
		}
		return fmt.Errorf("%s: none of the arms %v can be played so", e.Name, names)
	}
	if o.Virtual {
		for _, f := range e.Faults {
			if !experiment.FaultKinds[f.Kind] {
				return fmt.Errorf("%s: the fault %s needs sockets", e.Name, f.Kind)
			}
		}
	}
	e.Variants = arms
	var expect []experiment.Expectation
	for _, x := range e.Expect {
		for _, a := range arms {
			if x.Variant == "" || x.Variant == a.Name {
				expect = append(expect, x)
				break
			}
		}
	}
	e.Expect = expect
	return nil
}

func (o Options) reportProgress(done, all int, part float64) {
	if o.Progress != nil {
		o.Progress(done, all, part)
	}
}

// playVirtual plays side by side: plays share nothing, so their order does not show.
func playVirtual(ctx context.Context, plays []hclfile.Play, jobs []*job, o Options) error {
	// Plays make much garbage and keep little: collecting it less often makes them half as fast again.
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	var mu sync.Mutex
	done := 0
	for _, j := range jobs {
		group.Go(func() error {
			e := &plays[j.point].Experiment
			got, err := virtual.Run(ctx, e, j.variant, j.seed, virtual.Options{Progress: func(now time.Duration) {
				mu.Lock()
				defer mu.Unlock()
				o.reportProgress(done, len(jobs), min(now.Seconds()/e.Duration.Seconds(), 1))
			}})
			if err != nil {
				return err
			}
			j.run = report.Run{Variant: j.variant, Seed: j.seed, Counters: got.Counters, Verdicts: got.Verdicts, Log: got.Logs}
			j.complete = true
			mu.Lock()
			defer mu.Unlock()
			done++
			o.reportProgress(done, len(jobs), 0)
			return nil
		})
	}
	return group.Wait()
}

// playSockets plays one after another: two at a time would disturb each other.
func playSockets(ctx context.Context, plays []hclfile.Play, jobs []*job, o Options) error {
	scratch, err := os.MkdirTemp("", "rowancart-lab-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(scratch)
	deployed := ""
	for n, j := range jobs {
		e := &plays[j.point].Experiment
		line := j.variant.Command
		switch {
		case line != "":
		case j.variant.Policy == "reverse_proxy":
			line = "exec '" + o.Self + "' lab reverse-proxy"
		case deployed == "":
			if deployed, err = testbed.Build(ctx, o.Root); err != nil {
				return err
			}
			fallthrough
		default:
			line = deployed
		}
		dir := filepath.Join(scratch, fmt.Sprint(n))
		if err := os.Mkdir(dir, 0o700); err != nil {
			return err
		}
		program := testbed.Command{Line: line, Dir: o.Root, Scratch: dir}
		for try := 1; ; try++ {
			o.reportProgress(n, len(jobs), 0)
			j.run, err = testbed.Run(ctx, e, j.variant, j.seed, testbed.Options{Program: program, Progress: func(now time.Duration) {
				o.reportProgress(n, len(jobs), min(now.Seconds()/e.Duration.Seconds(), 1))
			}})
			if errors.Is(err, context.Canceled) && ctx.Err() != nil {
				j.complete = j.run.Counters.Total.Offered() > 0
				return err
			}
			if err != nil {
				return err
			}
			if j.run.Void == "" || try == maxVoidRuns {
				break
			}
		}
		j.complete = true
		o.reportProgress(n+1, len(jobs), 0)
	}
	return nil
}
