// Package testbed runs an experiment on real sockets: emulated servers, discovery and clients on
// loopback addresses, and the programs under test as child processes. It measures its own delays:
// a run is void if the test bed sent the requests too late.
//
// Run owns all goroutines. The goroutines of clients and faults end by themselves. The goroutines
// of servers, discovery and program watchers end when Run cancels the run's context and closes the
// listeners and connections. Run waits for all of them.
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
	maxParallelStarts   = 8                      // of programs when the run is set up
	settleTime          = 300 * time.Millisecond // pause between the last health check and the start of the load
	progressInterval    = time.Second            // minimum, between two progress reports
	maxLateness         = 25 * time.Millisecond  // 99th percentile of the send delays above which a run is void

	// Second bytes of the IP addresses of sidecars and servers, in 127.x.0.0/16.
	sidecarSecondByte = 80
	serverSecondByte  = 81

	// timingSlack is added to every time limit that programs are checked against, to allow for the
	// test bed's own delays.
	timingSlack = 50 * time.Millisecond
)

// Options are the options of Run.
type Options struct {
	Program      Program                 // the program under test
	Progress     func(now time.Duration) // if not nil, called about once a second with the time since the run's start
	StartTimeout time.Duration           // within which a program must become healthy; 0 means 15 s
}

// testRun is one run of an experiment. It owns everything that the run starts; shutDown stops all
// of it and waits until it has ended.
type testRun struct {
	variant      experiment.Variant
	experiment   *experiment.Experiment
	seed         uint64
	program      Program
	startTimeout time.Duration
	checker      *invariant.Checker
	clock

	ctx        context.Context // canceled when the run ends
	cancel     context.CancelCauseFunc
	faults     sync.WaitGroup // goroutines that apply faults
	goroutines sync.WaitGroup // of servers, delayed endpoint updates, program watchers and the usage monitor

	requests        sync.Map // of requestInfo, by request ID
	requestsSent    atomic.Int64
	discoveryFaults discoveryFaults

	mu            sync.Mutex
	counters      *counters.Counters
	servers       [][]*emulatedServer // by tier and index: the current servers
	allServers    []*emulatedServer   // also those that have been replaced
	frontSidecars []*sidecar          // which the clients use, before the first tier
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
		sidecarAddrs: loopbackRange{secondByte: sidecarSecondByte},
		serverAddrs:  loopbackRange{secondByte: serverSecondByte},
	}
	r.clock.restart()
	return r
}

// Run runs an experiment once. Everything that it started has ended when it returns. If ctx ends
// first, it returns the results measured until then and the context's error.
func Run(ctx context.Context, e *experiment.Experiment, variant experiment.Variant, seed uint64,
	o Options) (report.Run, error) {
	r := newRun(e, variant, seed, o)
	out := report.Run{Variant: variant, Seed: seed, Counters: r.counters}
	defer r.shutDown(nil)
	stopPropagation := context.AfterFunc(ctx, func() { r.cancel(ctx.Err()) })
	defer stopPropagation()

	if err := r.startAll(); err != nil {
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

// shutDown cancels the run's context with a reason, which may be nil, stops everything that the run
// started and waits until it has ended. It may be called twice.
func (r *testRun) shutDown(reason error) {
	r.cancel(reason)
	r.stopAll()
	r.goroutines.Wait()
}

// fail ends the run because of an error that is not a violation by the program under test.
func (r *testRun) fail(err error) {
	if r.ctx.Err() == nil {
		r.cancel(err)
	}
}

// runLoad sends the clients' requests and applies the faults, and waits until both have ended. It
// returns the 99th percentile of the delays with which requests were sent.
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
			r.newClient(n, &request).sendWithRetries()
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

// startFaults starts one goroutine per fault event, which applies the event when it is due.
func (r *testRun) startFaults() {
	for _, event := range traffic.Timeline(r.experiment, r.seed) {
		r.faults.Go(func() {
			if r.sleepUntil(event.At) {
				r.applyFault(event)
			}
		})
	}
}

// sleepUntil waits until a time of the run's clock. It reports false if the run ended before.
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

// startAll starts servers, discovery and programs, and waits until all programs are healthy.
func (r *testRun) startAll() error {
	if err := r.createServers(); err != nil {
		return err
	}
	starts, ctx := errgroup.WithContext(r.ctx)
	starts.SetLimit(maxParallelStarts)
	createErr := r.createSidecars(func(s *sidecar) {
		starts.Go(func() error { return s.start(ctx) })
	})
	return errors.Join(createErr, starts.Wait())
}

// createServers creates the servers, which accept connections immediately.
func (r *testRun) createServers() error {
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

// createSidecars creates all sidecars and calls start for each of them.
func (r *testRun) createSidecars(start func(*sidecar)) error {
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

// fillResult adds the measured results to out.
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
