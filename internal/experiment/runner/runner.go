// Package runner runs the experiments of a file and collects the results in one report. For each
// seed, all variants get the same arrivals and faults.
package runner

import (
	"context"

	"rowancart/internal/experiment"
	"rowancart/internal/experiment/hclfile"
	"rowancart/internal/experiment/report"
)

// Options configure how experiments are run.
type Options struct {
	Virtual bool     // run in virtual time instead of on sockets
	Seeds   []uint64 // replace the seeds of the file, if not nil
	Variant string   // run only the variant of this name; empty: all
	Root    string   // path of the repository whose deploy file builds and starts the design's program
	Self    string   // path of this program, which serves as the reverse proxy baseline
	// Progress, if set, is called with the number of finished runs, the number of all runs, and the
	// fraction of a current run that is done. It may be called from several goroutines.
	Progress func(done, total int, fraction float64)
}

// reportProgress calls Progress if it is set.
func (o Options) reportProgress(done, total int, fraction float64) {
	if o.Progress != nil {
		o.Progress(done, total, fraction)
	}
}

// job is one run of one variant, at one point of the experiment and with one seed.
type job struct {
	point      int // index of the hclfile.Point
	experiment *experiment.Experiment
	variant    experiment.Variant
	seed       uint64
	run        report.Run
	complete   bool // run holds results
}

// stoppedMessage is the value of Report.Stopped for an experiment that was interrupted.
const stoppedMessage = "it was interrupted; the figures are of what had been played"

// Run runs all points of an experiment and returns the report. If ctx ends first, the report holds
// the results that were measured until then and says that the experiment was stopped.
func Run(ctx context.Context, points []hclfile.Point, o Options) (*report.Report, error) {
	for i := range points {
		if err := o.applyTo(&points[i].Experiment); err != nil {
			return nil, err
		}
	}
	r := report.New(&points[0].Experiment)
	r.Virtual = o.Virtual
	jobs := newJobs(points)
	driver := runOnSockets
	if o.Virtual {
		driver = runInVirtualTime
	}
	if err := driver(ctx, jobs, o); err != nil && ctx.Err() == nil {
		return nil, err
	}
	if ctx.Err() != nil {
		r.Stopped = stoppedMessage
	}
	for i := range points {
		addResults(r, &points[i], i, jobs)
	}
	return r, nil
}

// applyTo applies the options to an experiment: it replaces the seeds if Seeds is set, and removes
// the variants that are not to be run. It fails if selectVariants does.
func (o Options) applyTo(e *experiment.Experiment) error {
	if o.Seeds != nil {
		e.Seeds = o.Seeds
	}
	return selectVariants(e, o)
}

// newJobs returns the jobs of all points. The variants of one seed follow each other directly, so
// that disturbances of the machine affect them alike.
func newJobs(points []hclfile.Point) []*job {
	var jobs []*job
	for p := range points {
		e := &points[p].Experiment
		for _, seed := range e.Seeds {
			for _, v := range e.Variants {
				jobs = append(jobs, &job{point: p, experiment: e, variant: v, seed: seed})
			}
		}
	}
	return jobs
}

// addResults adds the results of the point with this index to the report.
func addResults(r *report.Report, point *hclfile.Point, index int, jobs []*job) {
	var runs []report.Run
	for _, j := range jobs {
		if j.point == index && j.complete {
			runs = append(runs, j.run)
		}
	}
	variants := report.Summarise(&point.Experiment, runs)
	if index == 0 {
		r.Variants = variants
	}
	if point.Value != "" {
		r.Points = append(r.Points, report.Point{Point: point.Value, Variants: variants})
	}
	if r.Stopped != "" {
		return
	}
	for _, missed := range report.CheckExpectations(&point.Experiment, variants) {
		if point.Value != "" {
			missed = point.Value + ": " + missed
		}
		r.Missed = append(r.Missed, missed)
	}
}
