// Package testbed runs an experiment on real sockets: emulated servers, discovery and clients on
// loopback addresses, and the programs under test as child processes. It measures its own delays: a
// run in which it was late is void.
package testbed

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"rowancart/internal/experiment"
	"rowancart/internal/experiment/counters"
	"rowancart/internal/experiment/invariant"
	"rowancart/internal/experiment/report"
	"rowancart/internal/experiment/traffic"
)

const (
	defaultStartTimeout = 15 * time.Second
	maxParallelStarts   = 8                      // of programs at the beginning
	settleTime          = 300 * time.Millisecond // between the last health check and the first request
	maxLateness         = 25 * time.Millisecond  // of the requests' sending (p99), beyond which a run is void

	// Second bytes of the loopback addresses of sidecars and servers.
	sidecarSubnet = 80
	serverSubnet  = 81

	// timingSlack is added to each limit of time by which programs are judged, for the test bed's own
	// delays.
	timingSlack = 50 * time.Millisecond
)

// Options say with what to run.
type Options struct {
	Program      Program
	Progress     func(now time.Duration)
	StartTimeout time.Duration // until a program must be healthy; 0: 15 s
}

// testRun is one run.
type testRun struct {
	variant      experiment.Variant
	experiment   *experiment.Experiment
	seed         uint64
	program      Program
	startTimeout time.Duration
	checker      *invariant.Checker
	clock

	group        *errgroup.Group // the goroutines that serve
	ctx          context.Context // of the run
	cancel       context.CancelCauseFunc
	requests     sync.Map // of requestInfo, by request ID
	requestsSent atomic.Int64
	faults       sync.WaitGroup // the goroutines that apply them

	mu            sync.Mutex
	counters      *counters.Counters
	servers       [][]*emulatedServer // by tier and index: the present generation
	allServers    []*emulatedServer
	frontSidecars []*sidecar
	sidecars      []*sidecar // of all tiers
	serverAddrs   loopbackRange
	sidecarAddrs  loopbackRange
	cost          report.Cost

	discoveryFaults discoveryFaults
}

// Run runs an experiment once. All that it started has ended when it returns. If ctx ends, it
// returns what was measured up to then and the context's error.
func Run(ctx context.Context, e *experiment.Experiment, variant experiment.Variant, seed uint64,
	o Options) (report.Run, error) {
	out := report.Run{Variant: variant, Seed: seed, Counters: counters.New(e)}
	runCtx, cancel := context.WithCancelCause(context.Background())
	group, groupCtx := errgroup.WithContext(runCtx)
	r := &testRun{
		variant:      variant,
		experiment:   e,
		seed:         seed,
		program:      o.Program,
		startTimeout: cmp.Or(o.StartTimeout, defaultStartTimeout),
		checker:      invariant.New(e.Site.Rules, timingSlack),
		group:        group,
		ctx:          groupCtx,
		cancel:       cancel,
		counters:     out.Counters,
		sidecarAddrs: loopbackRange{second: sidecarSubnet},
		serverAddrs:  loopbackRange{second: serverSubnet},
	}
	r.clock.restart()
	defer r.shutDown(nil)
	stopFollowing := context.AfterFunc(ctx, func() { cancel(ctx.Err()) })
	defer stopFollowing()

	if err := r.build(); err != nil {
		return out, fmt.Errorf("arm %s: %w", variant.Name, err)
	}
	select {
	case <-time.After(settleTime):
	case <-runCtx.Done():
		return out, context.Cause(runCtx)
	}
	r.clock.restart()
	group.Go(func() error { r.monitorUsage(); return nil })
	out.Lateness = r.runLoad(o.Progress)
	err := context.Cause(runCtx)
	if out.Lateness > maxLateness {
		out.Void = fmt.Sprintf("the rig itself was late: its sendings by %v (p99)",
			out.Lateness.Round(100*time.Microsecond))
	}
	r.shutDown(err)
	r.fillResult(&out)
	return out, err
}

// shutDown ends the run, for a reason or nil, and waits until all that it started has ended. It
// may be called twice.
func (r *testRun) shutDown(reason error) {
	r.cancel(reason)
	r.stopAll()
	_ = r.group.Wait() // its functions return no errors
}

// fail ends the run for a reason that is not the program's.
func (r *testRun) fail(err error) {
	if r.ctx.Err() == nil {
		r.cancel(err)
	}
}

// runLoad sends the clients' requests and applies the faults, and waits for the end of both. It
// returns by how much requests were sent late (p99).
func (r *testRun) runLoad(progress func(time.Duration)) time.Duration {
	for _, event := range traffic.Timeline(r.experiment, r.seed) {
		r.faults.Go(func() {
			if r.sleepUntil(event.At) {
				r.applyFault(event)
			}
		})
	}
	var clients sync.WaitGroup
	var lateness []time.Duration
	reported := time.Duration(0)
	for n, request := range traffic.Draw(r.experiment, r.seed) {
		if !r.sleepUntil(request.At) {
			break
		}
		clients.Go(func() {
			late := r.now() - request.At
			r.mu.Lock()
			lateness = append(lateness, late)
			r.mu.Unlock()
			r.runClient(n, &request)
		})
		if progress != nil && request.At-reported > time.Second {
			reported = request.At
			progress(request.At)
		}
	}
	clients.Wait()
	r.faults.Wait()
	slices.Sort(lateness)
	if len(lateness) == 0 {
		return 0
	}
	return lateness[len(lateness)*99/100]
}

// sleepUntil waits until an instant. It reports false if the run ended before.
func (r *testRun) sleepUntil(at time.Duration) bool {
	t := time.NewTimer(at - r.now())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// build starts servers, discovery and programs, and waits until all programs are healthy.
func (r *testRun) build() error {
	if err := r.buildServers(); err != nil {
		return err
	}
	starts, ctx := errgroup.WithContext(r.ctx)
	starts.SetLimit(maxParallelStarts)
	return errors.Join(r.buildSidecars(func(s *sidecar) {
		r.sidecars = append(r.sidecars, s)
		starts.Go(func() error { return s.start(ctx) })
	}), starts.Wait())
}

func (r *testRun) buildServers() error {
	site := r.experiment.Site
	r.servers = make([][]*emulatedServer, len(site.Tiers))
	for t, tier := range site.Tiers {
		for index := range tier.Servers {
			s, err := r.newServer(t, index, 0, startedLongAgo)
			if err != nil {
				return err
			}
			r.servers[t] = append(r.servers[t], s)
			r.allServers = append(r.allServers, s)
		}
	}
	return nil
}

// buildSidecars creates all sidecars and calls start with each.
func (r *testRun) buildSidecars(start func(*sidecar)) error {
	count := r.experiment.Site.Balancers
	for i := range count {
		s, err := r.newSidecar("balancer-"+strconv.Itoa(i), 0, i, count)
		if err != nil {
			return err
		}
		r.frontSidecars = append(r.frontSidecars, s)
		start(s)
	}
	for _, server := range slices.Clone(r.allServers) {
		s, err := r.newServerSidecar(server)
		if err != nil {
			return err
		}
		if s != nil {
			start(s)
		}
	}
	return nil
}

// stopAll stops all programs, servers and connections. It may be called twice.
func (r *testRun) stopAll() {
	r.faults.Wait()
	for _, s := range r.sidecars {
		s.kill()
		s.conns.close()
		if s.discovery != nil {
			s.discovery.close()
		}
	}
	for _, s := range r.allServers {
		s.close()
	}
}

// fillResult sets what was measured.
func (r *testRun) fillResult(out *report.Run) {
	now := r.now()
	out.Verdicts = r.checker.Close(now)
	r.counters.Requests = r.requestsSent.Load()
	for _, s := range r.allServers {
		stats := s.stats
		stats.Busy = s.model.CoreSeconds()
		until := s.removedAt
		if until == 0 {
			until = now
		}
		stats.Lifetime, stats.WarmupPeak = until-s.addedAt, s.model.WarmupPeak()
		r.counters.Servers = append(r.counters.Servers, stats)
		if s.tier == 0 {
			r.counters.Attempts += stats.Arrivals
		}
	}
	out.Cost = &r.cost
}
