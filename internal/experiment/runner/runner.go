// Package runner plays what an experiment file asks for, every variant with the same arrivals and
// faults, and collects the results in one report.
package runner

import (
	"context"

	"rowancart/internal/experiment"
	"rowancart/internal/experiment/hclfile"
	"rowancart/internal/experiment/report"
)

// Options say how to play.
type Options struct {
	Virtual bool
	Seeds   []uint64 // in place of the file's
	Variant string   // play only this one; empty: all
	Root    string   // of the repository whose deploy file starts the design's program
	Self    string   // path of this program, which serves as the reverse proxy baseline
	// Progress is called with the number of plays that are done, their total, and how much of the
	// present one is done, from 0 to 1. It may be called from several goroutines.
	Progress func(done, all int, part float64)
}

func (o Options) reportProgress(done, all int, part float64) {
	if o.Progress != nil {
		o.Progress(done, all, part)
	}
}

// job is one play.
type job struct {
	point      int // index of its Play
	experiment *experiment.Experiment
	variant    experiment.Variant
	seed       uint64
	run        report.Run
	complete   bool // run holds a result
}

// stoppedMessage is in the report of a run that was interrupted.
const stoppedMessage = "it was interrupted; the figures are of what had been played"

// Run plays and reports. When ctx ends, the report holds what was measured up to then and says that
// it was stopped.
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
	r := report.New(&plays[0].Experiment, o.Virtual)
	jobs := newJobs(plays)
	play := playSockets
	if o.Virtual {
		play = playVirtual
	}
	if err := play(ctx, jobs, o); err != nil && ctx.Err() == nil {
		return nil, err
	}
	if ctx.Err() != nil {
		r.Stopped = stoppedMessage
	}
	for i := range plays {
		addResults(r, &plays[i], i, jobs)
	}
	return r, nil
}

// newJobs returns the jobs of all plays. Variants of one seed follow each other, so that
// disturbances of the machine affect them alike.
func newJobs(plays []hclfile.Play) []*job {
	var jobs []*job
	for p := range plays {
		e := &plays[p].Experiment
		for _, seed := range e.Seeds {
			for _, v := range e.Variants {
				jobs = append(jobs, &job{point: p, experiment: e, variant: v, seed: seed})
			}
		}
	}
	return jobs
}

// addResults adds the results of one point to the report.
func addResults(r *report.Report, play *hclfile.Play, point int, jobs []*job) {
	var runs []report.Run
	for _, j := range jobs {
		if j.point == point && j.complete {
			runs = append(runs, j.run)
		}
	}
	variants := report.Summarise(&play.Experiment, runs)
	if point == 0 {
		r.Variants = variants
	}
	if play.Point != "" {
		r.Points = append(r.Points, report.Point{Point: play.Point, Variants: variants})
	}
	if r.Stopped != "" {
		return
	}
	for _, missed := range report.CheckExpectations(&play.Experiment, variants) {
		if play.Point != "" {
			missed = play.Point + ": " + missed
		}
		r.Missed = append(r.Missed, missed)
	}
}
