package runner

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"rowancart/internal/experiment"
	"rowancart/internal/experiment/report"
	"rowancart/internal/experiment/testbed"
	"rowancart/internal/experiment/virtual"
)

const (
	// gcPercent is for runs in virtual time, which produce much garbage and retain little. Collecting
	// it less often makes them faster by half.
	gcPercent = 400

	// maxVoidRuns is how often a run on sockets is made until the test bed is not late in it.
	maxVoidRuns = 3
)

// progress returns how much of the run is done at an instant, from 0 to 1.
func (j *job) progress(now time.Duration) float64 {
	return min(now.Seconds()/j.experiment.Duration.Seconds(), 1)
}

// runInVirtualTime runs jobs on all cores. They have no state in common, so their order does not
// matter.
func runInVirtualTime(ctx context.Context, jobs []*job, o Options) error {
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	var mu sync.Mutex
	done := 0
	for _, j := range jobs {
		group.Go(func() error {
			progress := func(now time.Duration) {
				mu.Lock()
				defer mu.Unlock()
				o.reportProgress(done, len(jobs), j.progress(now))
			}
			result, err := virtual.Run(ctx, j.experiment, j.variant, j.seed, virtual.Options{Progress: progress})
			if err != nil {
				return err
			}
			j.run = report.Run{
				Variant:  j.variant,
				Seed:     j.seed,
				Counters: result.Counters,
				Verdicts: result.Verdicts,
				Log:      result.Logs,
			}
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

// runOnSockets runs one job after another, because two at a time would disturb each other.
func runOnSockets(ctx context.Context, jobs []*job, o Options) error {
	scratch, err := os.MkdirTemp("", "rowancart-lab-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(scratch)
	commands := &commands{options: o}
	for n, j := range jobs {
		line, err := commands.commandLine(ctx, j)
		if err != nil {
			return err
		}
		dir := filepath.Join(scratch, strconv.Itoa(n))
		if err := os.Mkdir(dir, 0o700); err != nil {
			return err
		}
		program := testbed.Command{Line: line, Dir: o.Root, Scratch: dir}
		progress := func(fraction float64) { o.reportProgress(n, len(jobs), fraction) }
		if err := j.runOnSockets(ctx, program, progress); err != nil {
			return err
		}
		o.reportProgress(n+1, len(jobs), 0)
	}
	return nil
}

// runOnSockets runs a job, and repeats it while it is void. One that ctx interrupts is complete if
// it has any results.
func (j *job) runOnSockets(ctx context.Context, program testbed.Program, progress func(fraction float64)) error {
	for range maxVoidRuns {
		progress(0)
		var err error
		j.run, err = testbed.Run(ctx, j.experiment, j.variant, j.seed, testbed.Options{
			Program:  program,
			Progress: func(now time.Duration) { progress(j.progress(now)) },
		})
		if errors.Is(err, context.Canceled) && ctx.Err() != nil {
			j.complete = j.run.Counters.Total.Offered() > 0
			return err
		}
		if err != nil {
			return err
		}
		if j.run.Void == "" {
			break
		}
	}
	j.complete = true
	return nil
}

// commands finds the command lines of jobs.
type commands struct {
	options  Options
	deployed string // run line of the deploy file, once it has been built
}

// commandLine returns the command line that starts a job's program. The deploy file's program is
// built when it is first needed.
func (c *commands) commandLine(ctx context.Context, j *job) (string, error) {
	switch {
	case j.variant.Command != "":
		return j.variant.Command, nil
	case j.variant.Policy == experiment.ReverseProxyPolicy:
		return "exec '" + c.options.Self + "' lab reverse-proxy", nil
	case c.deployed == "":
		line, err := testbed.Build(ctx, c.options.Root)
		if err != nil {
			return "", err
		}
		c.deployed = line
	}
	return c.deployed, nil
}
