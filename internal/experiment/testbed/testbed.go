// Package testbed plays an experiment on real sockets: stand-in boxes, roster and clients on loopback addresses, and the
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
	startWithin = 15 * time.Second       // unless Options say otherwise
	lookEvery   = 250 * time.Millisecond // at what programs use
	latenessMax = 25 * time.Millisecond  // of the 99th percentile of sendings, beyond which a play is void
	settleTime  = 300 * time.Millisecond // between the last health answer and the first request
)

// Options say with what to play.
type Options struct {
	Program     Program
	Progress    func(now time.Duration)
	StartWithin time.Duration // in which a program must be healthy; 0: 15 s
}

// sidecar is one place for an instance of the program under test, which may be started several times.
type sidecar struct {
	r     *run
	name  string
	tier  int
	index int
	count int
	addr  string
	feed  *feed
	links *links // of the clients; a box's own are the box's

	spread float64
	starts int
	up     atomic.Bool // the front uses it
	killed atomic.Bool // by the rig: what was open on it is excused

	mu      sync.Mutex
	running Running
	last    time.Duration // CPU time at the latest look
	lastAt  time.Duration
	toldAt  time.Time // latest telling that is due
}

// run is one play.
type run struct {
	arm     experiment.Arm
	e       *experiment.Experiment
	seed    uint64
	program Program
	within  time.Duration // in which a program must be healthy
	ledger  *invariant.Ledger
	group   *errgroup.Group // all that serves
	work    context.Context // ends with the play
	stop    context.CancelCauseFunc
	zero    atomic.Int64 // Unix time in ns of the play's start

	requests sync.Map // string to wanted
	asked    atomic.Int64

	mu       sync.Mutex
	tally    *counters.Tally
	boxes    [][]*host
	all      []*host
	front    []*sidecar
	sidecars []*sidecar
	hosts    int
	places   int
	silent   bool
	late     time.Duration
	held     []telling // while the roster is silent
	cost     report.Cost
	changing sync.WaitGroup
}

type telling struct {
	tier int
	e    entry
}

func (r *run) base() time.Time    { return time.Unix(0, r.zero.Load()) }
func (r *run) now() time.Duration { return time.Duration(time.Now().UnixNano() - r.zero.Load()) }

// Run plays an experiment once. Everything that it starts has ended when it returns. A play that was stopped by ctx
// comes back with what was measured and ctx's error.
func Run(ctx context.Context, e *experiment.Experiment, arm experiment.Arm, seed uint64, o Options) (report.Played, error) {
	out := report.Played{Arm: arm, Seed: seed, Tally: counters.New(e)}
	work, stop := context.WithCancelCause(context.Background())
	group, work2 := errgroup.WithContext(work)
	r := &run{arm: arm, e: e, seed: seed, program: o.Program, within: cmp.Or(o.StartWithin, startWithin), ledger: invariant.New(e.Site.Rules, socketSlack), group: group, work: work2, stop: stop,
		tally: out.Tally}
	r.zero.Store(time.Now().UnixNano())
	defer func() {
		stop(nil)
		r.end()
		_ = group.Wait()
	}()
	unhook := context.AfterFunc(ctx, func() { stop(ctx.Err()) })
	defer unhook()

	if err := r.build(); err != nil {
		return out, fmt.Errorf("arm %s: %w", arm.Name, err)
	}
	select {
	case <-time.After(settleTime):
	case <-work.Done():
		return out, context.Cause(work)
	}
	r.zero.Store(time.Now().UnixNano())
	group.Go(func() error { r.look(); return nil })
	lateness := r.play(o.Progress)
	err := context.Cause(work)

	out.Lateness = lateness
	if lateness > latenessMax {
		out.Void = fmt.Sprintf("the rig itself was late: its sendings by %v (p99)", lateness.Round(100*time.Microsecond))
	}
	stop(err)
	r.end()
	_ = group.Wait()
	r.finish(&out)
	return out, err
}

// play lets the clients ask and the faults strike, and waits for the end of both. It returns its own lateness.
func (r *run) play(progress func(time.Duration)) time.Duration {
	var clients sync.WaitGroup
	for _, c := range traffic.Timeline(r.e, r.seed) {
		r.changing.Go(func() {
			if r.sleepUntil(c.At) {
				r.change(c)
			}
		})
	}
	var late []time.Duration
	shown := time.Duration(0)
	for n, v := range traffic.Draw(r.e, r.seed) {
		if !r.sleepUntil(v.At) {
			break
		}
		clients.Go(func() {
			by := r.now() - v.At
			r.mu.Lock()
			late = append(late, by)
			r.mu.Unlock()
			r.client(n, &v)
		})
		if progress != nil && v.At-shown > time.Second {
			shown = v.At
			progress(v.At)
		}
	}
	clients.Wait()
	r.changing.Wait()
	slices.Sort(late)
	if len(late) == 0 {
		return 0
	}
	return late[len(late)*99/100]
}

func (r *run) sleepUntil(at time.Duration) bool {
	t := time.NewTimer(at - r.now())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.work.Done():
		return false
	}
}

// build starts boxes, rosters and programs, and waits until all are healthy.
func (r *run) build() error {
	site := r.e.Site
	r.boxes = make([][]*host, len(site.Tiers))
	for t, tier := range site.Tiers {
		for place := range tier.Boxes {
			h, err := r.newHost(t, place, 0, -1)
			if err != nil {
				return err
			}
			r.boxes[t] = append(r.boxes[t], h)
			r.all = append(r.all, h)
		}
	}
	starts, ctx := errgroup.WithContext(r.work)
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
		r.front = append(r.front, s)
		begin(s)
	}
	for _, h := range slices.Clone(r.all) {
		s, err := r.newBelow(h)
		if err != nil {
			return errors.Join(err, starts.Wait())
		}
		if s != nil {
			begin(s)
		}
	}
	return starts.Wait()
}

// newBelow makes the sidecar through which a box calls the next tier, if it does.
func (r *run) newBelow(h *host) (*sidecar, error) {
	t := r.e.Site.Tiers[h.tier]
	if h.tier+1 >= len(r.e.Site.Tiers) || t.Calls == 0 {
		return nil, nil
	}
	s, err := r.newSidecar("beside-"+h.name, h.tier+1, h.place, t.Boxes)
	if err != nil {
		return nil, err
	}
	h.below, h.calls = s, &links{addr: s.addr}
	return s, nil
}

// newSidecar finds an address for a sidecar and gives it a roster of its own. Each has an IP address that no outgoing
// connection uses, so that its port stays free while it is down.
func (r *run) newSidecar(name string, tier, index, count int) (*sidecar, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.80.%d.%d:0", r.places/250, r.places%250+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	r.places++
	s := &sidecar{r: r, name: name, tier: tier, index: index, count: count, addr: l.Addr().String(), spread: experiment.Rand(r.seed, "spread "+name).Float64()}
	if err := l.Close(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	s.links = &links{addr: s.addr}
	var first []entry
	for _, h := range r.boxes[tier] {
		if !h.drains() {
			first = append(first, h.entry(stateReady))
		}
	}
	s.feed, err = newFeed(first, func(e entry) {
		r.ledger.Told(r.now(), name, e.ID, states[e.State], e.StartedMs > 0)
	})
	return s, err
}

func (s *sidecar) config() (Config, error) {
	settings, err := wireSettings(s.r.e.Site, s.r.arm, s.tier, s.index, s.count)
	if err != nil {
		return Config{}, err
	}
	known, err := json.Marshal(s.feed.known())
	if err != nil {
		return Config{}, err
	}
	limits := s.r.e.Site.Limits
	return Config{Name: s.name, Listen: s.addr, Discovery: s.feed.address(), Settings: settings, Known: known,
		Seed:   strconv.FormatUint(experiment.Seed(s.r.seed, s.name+" start "+strconv.Itoa(s.starts)), 16),
		Limits: Limits{limits.Cores, limits.MemoryMB, limits.Descriptors}}, nil
}

// start begins the program and waits until it is healthy.
func (s *sidecar) start(ctx context.Context) error {
	c, err := s.config()
	if err != nil {
		return err
	}
	s.starts++
	p, err := s.r.program.Start(c)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.running, s.last, s.lastAt = p, 0, s.r.now()
	s.mu.Unlock()
	if err := healthy(ctx, p, s.addr, s.name, s.r.within); err != nil {
		return err
	}
	s.killed.Store(false)
	s.up.Store(true)
	s.r.group.Go(func() error { s.watch(p); return nil })
	return nil
}

// watch reports a program that ends by itself.
func (s *sidecar) watch(p Running) {
	select {
	case <-p.Done():
		if !s.killed.Load() && s.up.Load() {
			s.up.Store(false)
			s.r.ledger.Crashed(s.r.now(), s.name, p.How())
			s.r.ledger.Killed(s.name)
		}
	case <-s.r.work.Done():
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
	s.book(p)
	s.r.ledger.Killed(s.name)
	p.Kill()
}

// term ends the program in order. What it still has of its clients' it must answer.
func (s *sidecar) term() {
	s.mu.Lock()
	p := s.running
	s.running = nil
	s.mu.Unlock()
	if p == nil {
		return
	}
	s.book(p)
	s.up.Store(false)
	p.Term()
	longest := 3 * time.Second
	for _, c := range s.r.e.Site.Classes {
		longest = max(longest, c.Deadline)
	}
	select {
	case <-p.Done():
	case <-time.After(longest + 700*time.Millisecond):
		s.killed.Store(true)
		p.Kill()
	case <-s.r.work.Done():
		s.killed.Store(true)
		p.Kill()
	}
}

// book adds what a program has used to the costs.
func (s *sidecar) book(p Running) {
	u, cpu, ok := p.Usage()
	if !ok {
		return
	}
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	s.r.cost.CPUSeconds += cpu.Seconds()
	s.r.cost.MemoryMB = max(s.r.cost.MemoryMB, u.MemoryMB)
	s.r.cost.Descriptors = max(s.r.cost.Descriptors, u.Descriptors)
}

// look judges what programs use, again and again.
func (r *run) look() {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	for {
		select {
		case <-r.work.Done():
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
			if s.lastAt > 0 && now-s.lastAt >= time.Second {
				u.Cores = (cpu - s.last).Seconds() / (now - s.lastAt).Seconds()
			}
			if s.lastAt <= 0 || now-s.lastAt >= time.Second {
				s.last, s.lastAt = cpu, now
			}
			s.mu.Unlock()
			if !ok {
				continue
			}
			u.Instance = s.name
			r.ledger.Uses(now, u, r.e.Site.Limits)
			r.mu.Lock()
			r.cost.MemoryMB = max(r.cost.MemoryMB, u.MemoryMB)
			r.cost.Descriptors = max(r.cost.Descriptors, u.Descriptors)
			r.mu.Unlock()
		}
	}
}

// publish tells every sidecar before a tier of a change, each in its own time.
func (r *run) publish(tier int, e entry) {
	r.mu.Lock()
	if r.silent {
		r.held = append(r.held, telling{tier, e})
		r.mu.Unlock()
		return
	}
	all, late := slices.Clone(r.sidecars), r.late
	r.mu.Unlock()
	roster := r.e.Site.Roster
	for _, s := range all {
		if s.tier != tier {
			continue
		}
		s.mu.Lock()
		at := time.Now().Add(roster.Delay + late + time.Duration(s.spread*float64(roster.Spread)))
		if !at.After(s.toldAt) { // in the order of the changes
			at = s.toldAt.Add(time.Millisecond)
		}
		s.toldAt = at
		s.mu.Unlock()
		time.AfterFunc(time.Until(at), func() { s.feed.publish(e) })
	}
}

// change carries out one step of a fault.
func (r *run) change(c traffic.Change) {
	switch c.Kind {
	case experiment.RosterLate:
		r.mu.Lock()
		defer r.mu.Unlock()
		r.late = 0
		if c.On {
			r.late = c.Fault.Period
		}
		return
	case experiment.RosterSilent:
		r.mu.Lock()
		r.silent = c.On
		held := r.held
		r.held = nil
		r.mu.Unlock()
		for _, t := range held {
			r.publish(t.tier, t.e)
		}
		return
	case experiment.SilentPeer, experiment.HalfPeer, experiment.HugePeer:
		r.peer(c.Kind, r.front[c.Box%len(r.front)])
		return
	case experiment.KillSidecar, experiment.TermSidecar, experiment.RosterMove:
		r.disturb(c, r.front[c.Box%len(r.front)])
		return
	}
	r.mu.Lock()
	h := r.boxes[c.Tier][c.Box]
	r.mu.Unlock()
	switch c.Kind {
	case experiment.Deploy:
		r.replace(h, c.Fault.Period)
	case experiment.Crash:
		if c.On {
			h.crash()
			if h.below != nil {
				h.below.kill()
			}
			r.publish(h.tier, h.entry(stateGone))
			return
		}
		h.restart()
		if h.below != nil {
			if err := h.below.start(r.work); err != nil {
				r.fail(err)
				return
			}
		}
		r.publish(h.tier, h.entry(stateReady))
	default:
		h.strike(c)
	}
}

// fail ends the play for a reason that is not the program's.
func (r *run) fail(err error) {
	if r.work.Err() == nil {
		r.stop(err)
	}
}

// disturb kills, ends or reloads a sidecar of the first tier.
func (r *run) disturb(c traffic.Change, s *sidecar) {
	switch c.Kind {
	case experiment.RosterMove:
		s.mu.Lock()
		p := s.running
		s.mu.Unlock()
		if p == nil {
			return
		}
		if err := s.feed.move(); err != nil {
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
		s.links.close()
	case experiment.TermSidecar:
		s.term()
		s.links.close()
	}
	if r.sleepUntil(r.now() + c.Fault.For) {
		if err := s.start(r.work); err != nil {
			r.fail(err)
		}
	}
}

// replace drains a box, ends it after the time for that, and starts a cold successor in its place.
func (r *run) replace(h *host, drain time.Duration) {
	h.mu.Lock()
	h.box.Drain()
	h.mu.Unlock()
	r.publish(h.tier, h.entry(stateDraining))
	if !r.sleepUntil(r.now() + drain) {
		return
	}
	h.gone = r.now()
	if h.below != nil {
		h.below.kill()
	}
	h.close()
	r.publish(h.tier, h.entry(stateGone))
	r.mu.Lock()
	n, err := r.newHost(h.tier, h.place, h.generation+1, r.now())
	var s *sidecar
	if err == nil {
		s, err = r.newBelow(n)
	}
	if err != nil {
		r.mu.Unlock()
		r.fail(err)
		return
	}
	r.boxes[h.tier][h.place] = n
	r.all = append(r.all, n)
	if s != nil {
		r.sidecars = append(r.sidecars, s)
	}
	r.mu.Unlock()
	if s != nil {
		if err := s.start(r.work); err != nil {
			r.fail(err)
			return
		}
	}
	r.publish(n.tier, n.entry(stateReady))
}

// end stops all that the play started. It may be called twice.
func (r *run) end() {
	r.changing.Wait()
	for _, s := range r.sidecars {
		s.kill()
		s.links.close()
		if s.feed != nil {
			s.feed.close()
		}
	}
	for _, h := range r.all {
		h.close()
	}
}

// finish gives what was measured.
func (r *run) finish(out *report.Played) {
	now := r.now()
	out.Verdicts = r.ledger.Close(now)
	r.tally.Requests = r.asked.Load()
	for _, h := range r.all {
		b := h.stats
		b.Busy = h.box.Busy()
		until := h.gone
		if until == 0 {
			until = now
		}
		b.Up, b.Peak = until-h.came, h.box.Peak()
		r.tally.Boxes = append(r.tally.Boxes, b)
		if h.tier == 0 {
			r.tally.Attempts += b.Arrivals
		}
	}
	out.Cost = &r.cost
}

// wireSettings words a site's settings as the platform does (WIRE, Read your settings).
func wireSettings(site experiment.Site, arm experiment.Arm, tier, index, count int) (json.RawMessage, error) {
	index, count = site.Place(tier, index, count)
	us := func(d time.Duration) int64 { return d.Microseconds() }
	var lanes []map[string]any
	for _, c := range site.Classes {
		semantics := "read_like"
		if c.Effect == balancer.NonIdempotent {
			semantics = "non_idempotent"
		}
		lanes = append(lanes, map[string]any{"Name": c.Name, "Semantics": semantics, "OnTimeUs": us(c.Aim), "HardLimitUs": us(c.Deadline),
			"Credit": c.Worth, "Group": "all"})
	}
	var accounts, tiers []any
	for _, t := range site.Tenants {
		accounts = append(accounts, map[string]any{"Name": t.Name, "QuotaPerS": t.Quota, "Share": t.Share})
	}
	for _, t := range site.Tiers {
		tiers = append(tiers, t.Name)
	}
	x := site.Tiers[tier].Box
	return json.Marshal(map[string]any{
		"NInstances": count, "Me": index, "Tier": tier, "Tiers": tiers, "Lanes": lanes, "Accounts": accounts,
		"Discovery": "automatic", "ResolutionUs": 1000,
		"Permissions": map[string]any{"MayCancel": true, "MayProbe": false, "RetryAfter": true, "TryLimit": site.Attempts,
			"MaxRetryAfterUs": us(2 * time.Second), "ConnIdleUs": us(x.ConnIdle), "DialTimeoutUs": us(250 * time.Millisecond)},
		"Rules": map[string]any{"ColdFrom": x.ColdFrom, "ColdUs": us(x.ColdFor), "ColdShare": arm.ColdShare},
	})
}
