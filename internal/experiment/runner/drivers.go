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
	// gcPercent is the garbage collection target percentage (GOGC) during runs in virtual time. These
	// runs produce much garbage and retain little; collecting it less often makes them faster by half.
	gcPercent = 400

	// maxTriesPerRun is the maximum number of times that a run on sockets is made. A run in which the
	// test bed sent requests late is void and is repeated. If the last one is void too, it is reported
	// as void.
	maxTriesPerRun = 3
)

// progress returns the completed fraction of the run, from 0 to 1. The argument now is the time
// since the start of the run.
func (j *job) progress(now time.Duration) float64 {
	return min(now.Seconds()/j.experiment.Duration.Seconds(), 1)
}

// runInVirtualTime runs jobs concurrently on all cores. Jobs share no state, so their order does
// not affect the results.
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

// runOnSockets runs jobs one after another, because concurrent runs would disturb each other's
// measurements.
func runOnSockets(ctx context.Context, jobs []*job, o Options) error {
	scratch, err := os.MkdirTemp("", "rowancart-lab-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(scratch)
	finder := &commandFinder{options: o}
	for n, j := range jobs {
		line, err := finder.commandLine(ctx, j)
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

// runOnSockets runs a job and repeats it while the run is void, up to maxTriesPerRun runs. A job
// that ctx interrupts is complete if it has counted any requests.
func (j *job) runOnSockets(ctx context.Context, program testbed.Program, progress func(fraction float64)) error {
	for range maxTriesPerRun {
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

// commandFinder finds the command lines that start the programs of jobs.
type commandFinder struct {
	options  Options
	deployed string // command line of the deploy file's program; empty until it has been built
}

// commandLine returns the command line that starts a job's program. The deploy file's program is
// built when it is first needed.
func (c *commandFinder) commandLine(ctx context.Context, j *job) (string, error) {
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
