// Package testbed plays an experiment on real sockets: emulated servers, endpoint list and clients on loopback addresses, and the
// programs under test as child processes. It measures its own lateness: a play in which it was late says nothing.
package testbed

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"rowancart/balancer"
	"rowancart/internal/experiment"
	"rowancart/internal/experiment/counters"
	"rowancart/internal/experiment/invariant"
	"rowancart/internal/experiment/report"
	"rowancart/internal/experiment/traffic"
)

const (
	defaultStartTimeout = 15 * time.Second       // unless Options say otherwise
	usageInterval       = 250 * time.Millisecond // at what programs use
	maxLateness         = 25 * time.Millisecond  // of the 99th percentile of sendings, beyond which a play is void
	settleTime          = 300 * time.Millisecond // between the last health answer and the first request
)

// Options say with what to play.
type Options struct {
	Program      Program
	Progress     func(now time.Duration)
	StartTimeout time.Duration // in which a program must be healthy; 0: 15 s
}

// sidecar is one place for an instance of the program under test, which may be started several times.
type sidecar struct {
	run       *testRun
	name      string
	tier      int
	index     int
	count     int
	addr      string
	discovery *discoveryServer
	conns     *connPool // of the clients; a server's own are the server's

	discoverySpread float64
	starts          int
	up              atomic.Bool // the front tier's load balancer uses it
	killed          atomic.Bool // by the test bed: what was open on it is excused

	mu         sync.Mutex
	running    Instance
	cpuTime    time.Duration // CPU time at the latest look
	cpuTimeAt  time.Duration
	lastNotice time.Time // latest telling that is due
}

// testRun is one play.
type testRun struct {
	variant      experiment.Variant
	e            *experiment.Experiment
	seed         uint64
	program      Program
	startTimeout time.Duration // in which a program must be healthy
	checker      *invariant.Checker
	group        *errgroup.Group // all that serves
	ctx          context.Context // ends with the play
	cancel       context.CancelCauseFunc
	startedAt    atomic.Int64 // Unix time in ns of the play's start

	requests     sync.Map // string to wanted
	requestsSent atomic.Int64

	mu              sync.Mutex
	counters        *counters.Counters
	servers         [][]*emulatedServer
	allServers      []*emulatedServer
	frontSidecars   []*sidecar
	sidecars        []*sidecar
	serverAddrs     int
	sidecarAddrs    int
	discoverySilent bool
	discoveryDelay  time.Duration
	withheld        []notice // while the discovery service is silent
	cost            report.Cost
	faults          sync.WaitGroup
}

type notice struct {
	tier  int
	entry listEntry
}

func (r *testRun) startTime() time.Time { return time.Unix(0, r.startedAt.Load()) }
func (r *testRun) now() time.Duration {
	return time.Duration(time.Now().UnixNano() - r.startedAt.Load())
}

// Run plays an experiment once. Everything that it starts has ended when it returns. A play that was stopped by ctx
// comes back with what was measured and ctx's error.
func Run(ctx context.Context, e *experiment.Experiment, variant experiment.Variant, seed uint64, o Options) (report.Run, error) {
	out := report.Run{Variant: variant, Seed: seed, Counters: counters.New(e)}
	work, stop := context.WithCancelCause(context.Background())
	group, work2 := errgroup.WithContext(work)
	r := &testRun{variant: variant, e: e, seed: seed, program: o.Program, startTimeout: cmp.Or(o.StartTimeout, defaultStartTimeout), checker: invariant.New(e.Site.Rules, timingSlack), group: group, ctx: work2, cancel: stop,
		counters: out.Counters}
	r.startedAt.Store(time.Now().UnixNano())
	defer func() {
		stop(nil)
		r.stopAll()
		_ = group.Wait()
	}()
	unhook := context.AfterFunc(ctx, func() { stop(ctx.Err()) })
	defer unhook()

	if err := r.build(); err != nil {
		return out, fmt.Errorf("arm %s: %w", variant.Name, err)
	}
	select {
	case <-time.After(settleTime):
	case <-work.Done():
		return out, context.Cause(work)
	}
	r.startedAt.Store(time.Now().UnixNano())
	group.Go(func() error { r.monitorUsage(); return nil })
	lateness := r.play(o.Progress)
	err := context.Cause(work)

	out.Lateness = lateness
	if lateness > maxLateness {
		out.Void = fmt.Sprintf("the rig itself was late: its sendings by %v (p99)", lateness.Round(100*time.Microsecond))
	}
	stop(err)
	r.stopAll()
	_ = group.Wait()
	r.fillResult(&out)
	return out, err
}

// play lets the clients ask and the faults strike, and waits for the end of both. It returns its own lateness.
func (r *testRun) play(progress func(time.Duration)) time.Duration {
	var clients sync.WaitGroup
	for _, c := range traffic.Timeline(r.e, r.seed) {
		r.faults.Go(func() {
			if r.sleepUntil(c.At) {
				r.applyFault(c)
			}
		})
	}
	var lateness []time.Duration
	shown := time.Duration(0)
	for n, v := range traffic.Draw(r.e, r.seed) {
		if !r.sleepUntil(v.At) {
			break
		}
		clients.Go(func() {
			by := r.now() - v.At
			r.mu.Lock()
			lateness = append(lateness, by)
			r.mu.Unlock()
			r.playClient(n, &v)
		})
		if progress != nil && v.At-shown > time.Second {
			shown = v.At
			progress(v.At)
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

// build starts servers, rosters and programs, and waits until all are healthy.
func (r *testRun) build() error {
	site := r.e.Site
	r.servers = make([][]*emulatedServer, len(site.Tiers))
	for t, tier := range site.Tiers {
		for place := range tier.Servers {
			h, err := r.newServer(t, place, 0, -1)
			if err != nil {
				return err
			}
			r.servers[t] = append(r.servers[t], h)
			r.allServers = append(r.allServers, h)
		}
	}
	starts, ctx := errgroup.WithContext(r.ctx)
	starts.SetLimit(8)
	begin := func(s *sidecar) {
		r.sidecars = append(r.sidecars, s)
		starts.Go(func() error { return s.start(ctx) })
	}
	for i := range site.Balancers {
		s, err := r.newSidecar("balancer-"+strconv.Itoa(i), 0, i, site.Balancers)
		if err != nil {
			return errors.Join(err, starts.Wait())
		}
		r.frontSidecars = append(r.frontSidecars, s)
		begin(s)
	}
	for _, h := range slices.Clone(r.allServers) {
		s, err := r.newServerSidecar(h)
		if err != nil {
			return errors.Join(err, starts.Wait())
		}
		if s != nil {
			begin(s)
		}
	}
	return starts.Wait()
}

// newServerSidecar makes the sidecar through which a server calls the next tier, if it does.
func (r *testRun) newServerSidecar(h *emulatedServer) (*sidecar, error) {
	t := r.e.Site.Tiers[h.tier]
	if h.tier+1 >= len(r.e.Site.Tiers) || t.Calls == 0 {
		return nil, nil
	}
	s, err := r.newSidecar("beside-"+h.name, h.tier+1, h.index, t.Servers)
	if err != nil {
		return nil, err
	}
	h.sidecar, h.sidecarConns = s, &connPool{addr: s.addr}
	return s, nil
}

// newSidecar finds an address for a sidecar and returns it a discovery service of its own. Each has an IP address that no outgoing
// connection uses, so that its port stays free while it is down.
func (r *testRun) newSidecar(name string, tier, index, count int) (*sidecar, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.80.%d.%d:0", r.sidecarAddrs/250, r.sidecarAddrs%250+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	r.sidecarAddrs++
	s := &sidecar{run: r, name: name, tier: tier, index: index, count: count, addr: l.Addr().String(), discoverySpread: experiment.Rand(r.seed, "spread "+name).Float64()}
	if err := l.Close(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	s.conns = &connPool{addr: s.addr}
	var first []listEntry
	for _, h := range r.servers[tier] {
		if !h.draining() {
			first = append(first, h.listEntry(stateReady))
		}
	}
	s.discovery, err = newDiscoveryServer(first, func(e listEntry) {
		r.checker.RecordNotification(r.now(), name, e.ID, endpointStates[e.State], e.StartedMs > 0)
	})
	return s, err
}

func (s *sidecar) config() (Config, error) {
	settings, err := wireSettings(s.run.e.Site, s.run.variant, s.tier, s.index, s.count)
	if err != nil {
		return Config{}, err
	}
	known, err := json.Marshal(s.discovery.snapshot())
	if err != nil {
		return Config{}, err
	}
	limits := s.run.e.Site.Limits
	return Config{Name: s.name, Listen: s.addr, Discovery: s.discovery.address(), Settings: settings, Known: known,
		Seed:   strconv.FormatUint(experiment.Seed(s.run.seed, s.name+" start "+strconv.Itoa(s.starts)), 16),
		Limits: Limits{limits.Cores, limits.MemoryMB, limits.Descriptors}}, nil
}

// start begins the program and waits until it is healthy.
func (s *sidecar) start(ctx context.Context) error {
	c, err := s.config()
	if err != nil {
		return err
	}
	s.starts++
	p, err := s.run.program.Start(c)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.running, s.cpuTime, s.cpuTimeAt = p, 0, s.run.now()
	s.mu.Unlock()
	if err := waitHealthy(ctx, p, s.addr, s.name, s.run.startTimeout); err != nil {
		return err
	}
	s.killed.Store(false)
	s.up.Store(true)
	s.run.group.Go(func() error { s.watchExit(p); return nil })
	return nil
}

// watchExit reports a program that ends by itself.
func (s *sidecar) watchExit(p Instance) {
	select {
	case <-p.Done():
		if !s.killed.Load() && s.up.Load() {
			s.up.Store(false)
			s.run.checker.RecordCrash(s.run.now(), s.name, p.ExitReason())
			s.run.checker.RecordKill(s.name)
		}
	case <-s.run.ctx.Done():
	}
}

// kill ends the program outright.
func (s *sidecar) kill() {
	s.up.Store(false)
	s.killed.Store(true)
	s.mu.Lock()
	p := s.running
	s.running = nil
	s.mu.Unlock()
	if p == nil {
		return
	}
	s.recordCost(p)
	s.run.checker.RecordKill(s.name)
	p.Kill()
}

// terminate ends the program in order. What it still has of its clients' it must answer.
func (s *sidecar) terminate() {
	s.mu.Lock()
	p := s.running
	s.running = nil
	s.mu.Unlock()
	if p == nil {
		return
	}
	s.recordCost(p)
	s.up.Store(false)
	p.Terminate()
	longest := 3 * time.Second
	for _, c := range s.run.e.Site.Classes {
		longest = max(longest, c.Deadline)
	}
	select {
	case <-p.Done():
	case <-time.After(longest + 700*time.Millisecond):
		s.killed.Store(true)
		p.Kill()
	case <-s.run.ctx.Done():
		s.killed.Store(true)
		p.Kill()
	}
}

// recordCost adds what a program has used to the costs.
func (s *sidecar) recordCost(p Instance) {
	u, cpu, ok := p.Usage()
	if !ok {
		return
	}
	s.run.mu.Lock()
	defer s.run.mu.Unlock()
	s.run.cost.CPUSeconds += cpu.Seconds()
	s.run.cost.MemoryMB = max(s.run.cost.MemoryMB, u.MemoryMB)
	s.run.cost.Descriptors = max(s.run.cost.Descriptors, u.Descriptors)
}

// monitorUsage judges what programs use, again and again.
func (r *testRun) monitorUsage() {
	t := time.NewTicker(usageInterval)
	defer t.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-t.C:
		}
		r.mu.Lock()
		all := slices.Clone(r.sidecars)
		r.mu.Unlock()
		for _, s := range all {
			s.mu.Lock()
			p := s.running
			if p == nil {
				s.mu.Unlock()
				continue
			}
			u, cpu, ok := p.Usage()
			now := r.now()
			if s.cpuTimeAt > 0 && now-s.cpuTimeAt >= time.Second {
				u.Cores = (cpu - s.cpuTime).Seconds() / (now - s.cpuTimeAt).Seconds()
			}
			if s.cpuTimeAt <= 0 || now-s.cpuTimeAt >= time.Second {
				s.cpuTime, s.cpuTimeAt = cpu, now
			}
			s.mu.Unlock()
			if !ok {
				continue
			}
			u.Instance = s.name
			r.checker.CheckUsage(now, u, r.e.Site.Limits)
			r.mu.Lock()
			r.cost.MemoryMB = max(r.cost.MemoryMB, u.MemoryMB)
			r.cost.Descriptors = max(r.cost.Descriptors, u.Descriptors)
			r.mu.Unlock()
		}
	}
}

// publish tells every sidecar before a tier of a change, each in its own time.
func (r *testRun) publish(tier int, e listEntry) {
	r.mu.Lock()
	if r.discoverySilent {
		r.withheld = append(r.withheld, notice{tier, e})
		r.mu.Unlock()
		return
	}
	all, delay := slices.Clone(r.sidecars), r.discoveryDelay
	r.mu.Unlock()
	discovery := r.e.Site.Discovery
	for _, s := range all {
		if s.tier != tier {
			continue
		}
		s.mu.Lock()
		noticeTime := time.Now().Add(discovery.Delay + delay + time.Duration(s.discoverySpread*float64(discovery.Spread)))
		if !noticeTime.After(s.lastNotice) { // in the order of the changes
			noticeTime = s.lastNotice.Add(time.Millisecond)
		}
		s.lastNotice = noticeTime
		s.mu.Unlock()
		time.AfterFunc(time.Until(noticeTime), func() { s.discovery.publish(e) })
	}
}

// applyFault carries out one step of a fault.
func (r *testRun) applyFault(c traffic.FaultEvent) {
	switch c.Kind {
	case experiment.DiscoveryDelay:
		r.mu.Lock()
		defer r.mu.Unlock()
		r.discoveryDelay = 0
		if c.On {
			r.discoveryDelay = c.Fault.Period
		}
		return
	case experiment.DiscoverySilence:
		r.mu.Lock()
		r.discoverySilent = c.On
		withheld := r.withheld
		r.withheld = nil
		r.mu.Unlock()
		for _, t := range withheld {
			r.publish(t.tier, t.entry)
		}
		return
	case experiment.SilentPeer, experiment.PartialRequestPeer, experiment.OversizedPeer:
		r.playImproperPeer(c.Kind, r.frontSidecars[c.Server%len(r.frontSidecars)])
		return
	case experiment.KillSidecar, experiment.TermSidecar, experiment.DiscoveryMove:
		r.disruptSidecar(c, r.frontSidecars[c.Server%len(r.frontSidecars)])
		return
	}
	r.mu.Lock()
	h := r.servers[c.Tier][c.Server]
	r.mu.Unlock()
	switch c.Kind {
	case experiment.RollingDeploy:
		r.replaceServer(h, c.Fault.Period)
	case experiment.Crash:
		if c.On {
			h.crash()
			if h.sidecar != nil {
				h.sidecar.kill()
			}
			r.publish(h.tier, h.listEntry(stateGone))
			return
		}
		h.restart()
		if h.sidecar != nil {
			if err := h.sidecar.start(r.ctx); err != nil {
				r.fail(err)
				return
			}
		}
		r.publish(h.tier, h.listEntry(stateReady))
	default:
		h.applyFault(c)
	}
}

// fail ends the play for a reason that is not the program's.
func (r *testRun) fail(err error) {
	if r.ctx.Err() == nil {
		r.cancel(err)
	}
}

// disruptSidecar kills, ends or reloads a sidecar of the first tier.
func (r *testRun) disruptSidecar(c traffic.FaultEvent, s *sidecar) {
	switch c.Kind {
	case experiment.DiscoveryMove:
		s.mu.Lock()
		p := s.running
		s.mu.Unlock()
		if p == nil {
			return
		}
		if err := s.discovery.moveAddress(); err != nil {
			r.fail(err)
			return
		}
		config, err := s.config()
		if err == nil {
			err = p.Reload(config)
		}
		if err != nil {
			r.fail(err)
		}
		return
	case experiment.KillSidecar:
		s.kill()
		s.conns.close()
	case experiment.TermSidecar:
		s.terminate()
		s.conns.close()
	}
	if r.sleepUntil(r.now() + c.Fault.Duration) {
		if err := s.start(r.ctx); err != nil {
			r.fail(err)
		}
	}
}

// replaceServer drains a server, ends it after the time for that, and starts a cold successor in its place.
func (r *testRun) replaceServer(h *emulatedServer, drain time.Duration) {
	h.mu.Lock()
	h.model.Drain()
	h.mu.Unlock()
	r.publish(h.tier, h.listEntry(stateDraining))
	if !r.sleepUntil(r.now() + drain) {
		return
	}
	h.removedAt = r.now()
	if h.sidecar != nil {
		h.sidecar.kill()
	}
	h.close()
	r.publish(h.tier, h.listEntry(stateGone))
	r.mu.Lock()
	n, err := r.newServer(h.tier, h.index, h.generation+1, r.now())
	var s *sidecar
	if err == nil {
		s, err = r.newServerSidecar(n)
	}
	if err != nil {
		r.mu.Unlock()
		r.fail(err)
		return
	}
	r.servers[h.tier][h.index] = n
	r.allServers = append(r.allServers, n)
	if s != nil {
		r.sidecars = append(r.sidecars, s)
	}
	r.mu.Unlock()
	if s != nil {
		if err := s.start(r.ctx); err != nil {
			r.fail(err)
			return
		}
	}
	r.publish(n.tier, n.listEntry(stateReady))
}

// stopAll stops all that the play started. It may be called twice.
func (r *testRun) stopAll() {
	r.faults.Wait()
	for _, s := range r.sidecars {
		s.kill()
		s.conns.close()
		if s.discovery != nil {
			s.discovery.close()
		}
	}
	for _, h := range r.allServers {
		h.close()
	}
}

// fillResult returns what was measured.
func (r *testRun) fillResult(out *report.Run) {
	now := r.now()
	out.Verdicts = r.checker.Close(now)
	r.counters.Requests = r.requestsSent.Load()
	for _, h := range r.allServers {
		b := h.stats
		b.Busy = h.model.CoreSeconds()
		until := h.removedAt
		if until == 0 {
			until = now
		}
		b.Lifetime, b.WarmupPeak = until-h.addedAt, h.model.WarmupPeak()
		r.counters.Servers = append(r.counters.Servers, b)
		if h.tier == 0 {
			r.counters.Attempts += b.Arrivals
		}
	}
	out.Cost = &r.cost
}

// wireSettings words a site's settings as the platform does (WIRE, Read your settings).
func wireSettings(site experiment.Site, variant experiment.Variant, tier, index, count int) (json.RawMessage, error) {
	index, count = site.AssignedIndex(tier, index, count)
	us := func(d time.Duration) int64 { return d.Microseconds() }
	var lanes []map[string]any
	for _, c := range site.Classes {
		semantics := "read_like"
		if c.Repeat == balancer.NonIdempotent {
			semantics = "non_idempotent"
		}
		lanes = append(lanes, map[string]any{"Name": c.Name, "Semantics": semantics, "OnTimeUs": us(c.LatencyObjective), "HardLimitUs": us(c.Deadline),
			"Credit": c.PriorityWeight, "Group": "all"})
	}
	var accounts, tiers []any
	for _, t := range site.Tenants {
		accounts = append(accounts, map[string]any{"Name": t.Name, "QuotaPerS": t.Quota, "Share": t.TrafficShare})
	}
	for _, t := range site.Tiers {
		tiers = append(tiers, t.Name)
	}
	x := site.Tiers[tier].Server
	return json.Marshal(map[string]any{
		"NInstances": count, "Me": index, "Tier": tier, "Tiers": tiers, "Lanes": lanes, "Accounts": accounts,
		"Discovery": "automatic", "ResolutionUs": 1000,
		"Permissions": map[string]any{"MayCancel": true, "MayProbe": false, "RetryAfter": true, "TryLimit": site.MaxAttempts,
			"MaxRetryAfterUs": us(2 * time.Second), "ConnIdleUs": us(x.ConnIdleTimeout), "DialTimeoutUs": us(250 * time.Millisecond)},
		"Rules": map[string]any{"ColdFrom": x.InitialCapacity, "ColdUs": us(x.WarmupTime), "ColdShare": variant.SlowStartShare},
	})
}
