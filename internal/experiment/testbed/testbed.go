// Package testbed runs an experiment on real sockets: emulated servers, discovery and clients on
// loopback addresses, and the programs under test as child processes. It measures its own delays:
// a run in which requests were sent too late is void.
//
// Run owns all goroutines. Those of the clients and of the faults end by themselves; those of the
// servers, of discovery and of the programs' watchers end when Run cancels the run's context and
// closes the listeners and connections. Run waits for all of them.
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
	progressInterval    = time.Second            // between two reports of the progress
	maxLateness         = 25 * time.Millisecond  // of the requests' sending (p99), beyond which a run is void

	// Second bytes of the loopback addresses of sidecars and servers.
	sidecarSubnet = 80
	serverSubnet  = 81

	// timingSlack is added to each limit of time by which programs are judged, for the test bed's own
	// delays.
	timingSlack = 50 * time.Millisecond
)

// Options are the options of Run.
type Options struct {
	Program      Program                 // the program under test
	Progress     func(now time.Duration) // called about once a second with the run's time; nil: not called
	StartTimeout time.Duration           // until a program must be healthy; 0: 15 s
}

// testRun is one run. It owns all that the run starts: shutDown ends it and waits for its end.
type testRun struct {
	variant      experiment.Variant
	experiment   *experiment.Experiment
	seed         uint64
	program      Program
	startTimeout time.Duration
	checker      *invariant.Checker
	clock

	ctx        context.Context // ends with the run
	cancel     context.CancelCauseFunc
	faults     sync.WaitGroup // goroutines that apply faults
	goroutines sync.WaitGroup // of servers, the watchers of programs and the usage monitor

	requests        sync.Map // of requestInfo, by request ID
	requestsSent    atomic.Int64
	discoveryFaults discoveryFaults

	mu            sync.Mutex
	counters      *counters.Counters
	servers       [][]*emulatedServer // by tier and index: the present generation
	allServers    []*emulatedServer   // of all generations
	frontSidecars []*sidecar          // before the first tier
	sidecars      []*sidecar          // of all tiers
	serverAddrs   loopbackRange
	sidecarAddrs  loopbackRange
	cost          report.Cost
}

// newRun returns a run whose clock has started.
func newRun(e *experiment.Experiment, variant experiment.Variant, seed uint64, o Options) *testRun {
	ctx, cancel := context.WithCancelCause(context.Background())
	r := &testRun{
		variant:      variant,
		experiment:   e,
		seed:         seed,
		program:      o.Program,
		startTimeout: cmp.Or(o.StartTimeout, defaultStartTimeout),
		checker:      invariant.New(e.Site.Rules, timingSlack),
		ctx:          ctx,
		cancel:       cancel,
		counters:     counters.New(e),
		sidecarAddrs: loopbackRange{second: sidecarSubnet},
		serverAddrs:  loopbackRange{second: serverSubnet},
	}
	r.clock.restart()
	return r
}

// Run runs an experiment once. All that it started has ended when it returns. If ctx ends, it
// returns what was measured up to then and the context's error.
func Run(ctx context.Context, e *experiment.Experiment, variant experiment.Variant, seed uint64,
	o Options) (report.Run, error) {
	r := newRun(e, variant, seed, o)
	out := report.Run{Variant: variant, Seed: seed, Counters: r.counters}
	defer r.shutDown(nil)
	stopFollowing := context.AfterFunc(ctx, func() { r.cancel(ctx.Err()) })
	defer stopFollowing()

	if err := r.build(); err != nil {
		return out, fmt.Errorf("arm %s: %w", variant.Name, err)
	}
	if !r.sleepUntil(r.now() + settleTime) {
		return out, context.Cause(r.ctx)
	}
	r.clock.restart()
	r.goroutines.Go(r.monitorUsage)
	out.Lateness = r.runLoad(o.Progress)
	err := context.Cause(r.ctx)
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
	r.goroutines.Wait()
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
	r.startFaults()
	var clients sync.WaitGroup
	var late lateness
	reported := time.Duration(0)
	for n, request := range traffic.Draw(r.experiment, r.seed) {
		if !r.sleepUntil(request.At) {
			break
		}
		clients.Go(func() {
			late.add(r.now() - request.At)
			r.newClient(n, &request).do()
		})
		if progress != nil && request.At-reported > progressInterval {
			reported = request.At
			progress(request.At)
		}
	}
	clients.Wait()
	r.faults.Wait()
	return late.p99()
}

// startFaults starts a goroutine for each step of a fault, which applies it at its time.
func (r *testRun) startFaults() {
	for _, event := range traffic.Timeline(r.experiment, r.seed) {
		r.faults.Go(func() {
			if r.sleepUntil(event.At) {
				r.applyFault(event)
			}
		})
	}
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
	buildErr := r.buildSidecars(func(s *sidecar) {
		starts.Go(func() error { return s.start(ctx) })
	})
	return errors.Join(buildErr, starts.Wait())
}

// buildServers creates the servers, which accept connections at once.
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
		s, err := r.newSidecar("balancer-"+strconv.Itoa(i), experiment.Placement{Tier: 0, Index: i, Count: count})
		if err != nil {
			return err
		}
		r.frontSidecars = append(r.frontSidecars, s)
		r.sidecars = append(r.sidecars, s)
		start(s)
	}
	for _, server := range slices.Clone(r.allServers) {
		if !r.callsNextTier(server.tier) {
			continue
		}
		if err := r.addServerSidecar(server); err != nil {
			return err
		}
		start(server.sidecar)
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
		stats.Lifetime = cmp.Or(s.removedAt, now) - s.addedAt
		stats.WarmupPeak = s.model.WarmupPeak()
		r.counters.Servers = append(r.counters.Servers, stats)
		if s.tier == 0 {
			r.counters.Attempts += stats.Arrivals
		}
	}
	out.Cost = &r.cost
}
