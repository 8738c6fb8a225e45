// Package virtual plays an experiment in virtual time: a discrete-event run that hosts real Balancers, or rival
// policies, before modelled boxes, network, roster and clients. The same experiment, arm and seed give the same result
// to the byte on any machine.
package virtual

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment"
	"rowancart/internal/experiment/baseline"
	"rowancart/internal/experiment/counters"
	"rowancart/internal/experiment/invariant"
	"rowancart/internal/experiment/server"
	"rowancart/internal/experiment/traffic"
)

// Result is what one play came to.
type Result struct {
	Tally    *counters.Tally
	Verdicts []invariant.Verdict
	Played   time.Duration // of virtual time
	Events   int
	Logs     []string // the first lines that instances logged
}

// Options change how a run is set up, not what comes out.
type Options struct {
	Shuffle  *rand.Rand // parties are made in an order that it draws
	Progress func(now time.Duration)
}

const (
	zero        = 24 * time.Hour         // instances read this at the start: 0 means long ago to them
	dialTimeout = 250 * time.Millisecond // for connections that do not come up
	errorAfter  = time.Millisecond       // a box that fails fast answers after this
	logsMost    = 100
	progressGap = time.Second // of virtual time
)

// world is one run.
type world struct {
	schedule
	party
	e    *experiment.Experiment
	seed uint64
	arm  experiment.Arm

	ledger *invariant.Ledger
	tally  *counters.Tally
	rng    *rand.Rand // of the network

	boxes     [][]*host // by tier and place: the present generation
	all       []*host   // of all generations, in order of coming
	byName    map[string]*host
	front     []*instance
	instances []*instance // of all tiers
	silent    bool
	late      time.Duration
	published [][]balancer.Endpoint // by tier: what the roster knows
	arrived   [][]int64             // by tier and second: requests that reached boxes
	events    int
	logs      []string
}

// Run plays an experiment once.
func Run(ctx context.Context, e *experiment.Experiment, arm experiment.Arm, seed uint64, o Options) (*Result, error) {
	if arm.Policy != experiment.DesignPolicy {
		if _, err := baseline.New(arm.Policy, balancer.Settings{}, nil); err != nil {
			return nil, fmt.Errorf("arm %s: %w", arm.Name, err)
		}
	}
	w := &world{party: party{rank: 0}, e: e, seed: seed, arm: arm, ledger: invariant.New(e.Site.Rules, 0), tally: counters.New(e),
		rng: experiment.Rand(seed, "network"), byName: map[string]*host{}}
	w.build(o.Shuffle)
	for i, c := range traffic.Timeline(e, seed) {
		p := &party{rank: experiment.Seed(seed, "change "+strconv.Itoa(i))}
		w.at(p, c.At, func(now time.Duration) { w.change(now, p, c) })
	}
	requests := traffic.Draw(e, seed)
	next := 0
	clients := &party{rank: experiment.Seed(seed, "clients")}
	var arrive func(now time.Duration)
	arrive = func(now time.Duration) {
		w.want(now, next, &requests[next])
		if next++; next < len(requests) {
			w.at(clients, requests[next].At, arrive)
		}
	}
	if len(requests) > 0 {
		w.at(clients, requests[0].At, arrive)
	}
	end := e.Duration + time.Second
	for _, c := range e.Site.Classes {
		end = max(end, e.Duration+2*c.Deadline+e.Site.Rules.AnswerSlack)
	}
	shown := time.Duration(0)
	for w.step(end) {
		w.events++
		if w.events%4096 == 0 {
			if err := ctx.Err(); err != nil {
				return w.result(), err
			}
			if o.Progress != nil && w.now-shown >= progressGap {
				shown = w.now
				o.Progress(w.now)
			}
		}
	}
	return w.result(), nil
}

func (w *world) result() *Result {
	for _, h := range w.all {
		b := h.stats
		b.Busy = h.box.Busy()
		until := h.gone
		if until == 0 {
			until = w.now
		}
		b.Up = until - h.came
		b.Peak, b.Full = h.box.Peak(), h.full()
		w.tally.Boxes = append(w.tally.Boxes, b)
	}
	return &Result{Tally: w.tally, Verdicts: w.ledger.Close(w.now), Played: w.now, Events: w.events, Logs: w.logs}
}

// build makes boxes and instances, in any order.
func (w *world) build(shuffle *rand.Rand) {
	site := w.e.Site
	w.boxes = make([][]*host, len(site.Tiers))
	w.published = make([][]balancer.Endpoint, len(site.Tiers))
	w.arrived = make([][]int64, len(site.Tiers))
	var make1 []func()
	for t, tier := range site.Tiers {
		w.boxes[t] = make([]*host, tier.Boxes)
		for place := range tier.Boxes {
			make1 = append(make1, func() { w.boxes[t][place] = w.newHost(t, place, 0, -1) })
		}
	}
	w.front = make([]*instance, site.Balancers)
	for i := range site.Balancers {
		make1 = append(make1, func() { w.front[i] = w.newInstance(fmt.Sprintf("balancer-%d", i), 0, i, site.Balancers, nil) })
	}
	if shuffle != nil {
		shuffle.Shuffle(len(make1), func(i, j int) { make1[i], make1[j] = make1[j], make1[i] })
	}
	for _, f := range make1 {
		f()
	}
	for t := range site.Tiers {
		for _, h := range w.boxes[t] {
			w.all = append(w.all, h)
			w.published[t] = append(w.published[t], balancer.Endpoint{ID: h.name, Kind: h.stats.Kind, State: balancer.Ready})
		}
	}
	for _, in := range w.front {
		in.start(0)
	}
	for t := range site.Tiers {
		for _, h := range w.boxes[t] {
			if h.below != nil {
				h.below.start(0)
			}
		}
	}
}

// hop is the time that a message takes one way.
func (w *world) hop() time.Duration {
	d := w.e.Site.Delay
	if w.e.Site.Jitter > 0 {
		d = time.Duration(float64(d) * (1 + w.e.Site.Jitter*(2*w.rng.Float64()-1)))
	}
	return d
}

// publish changes what the roster says of a box and tells every instance of that tier, each in its own time.
func (w *world) publish(now time.Duration, tier int, e balancer.Endpoint) {
	list := w.published[tier]
	found := false
	for i := range list {
		if list[i].ID == e.ID {
			found = true
			if e.State == balancer.Gone {
				w.published[tier] = append(list[:i:i], list[i+1:]...)
			} else {
				list[i] = e
			}
			break
		}
	}
	if !found && e.State != balancer.Gone {
		w.published[tier] = append(list, e)
	}
	for _, in := range w.instances {
		if in.tier != tier || in.down {
			continue
		}
		if w.silent {
			in.missed = append(in.missed, e)
			continue
		}
		w.tell(now, in, e)
	}
}

func (w *world) tell(now time.Duration, in *instance, e balancer.Endpoint) {
	roster := w.e.Site.Roster
	at := now + roster.Delay + w.late + time.Duration(in.spread*float64(roster.Spread))
	in.toldAt = max(in.toldAt, at)
	life := in.life
	w.at(&in.party, in.toldAt, func(now time.Duration) {
		if in.down || in.life != life {
			return
		}
		w.ledger.Told(now, in.name, e.ID, e.State, e.Started > 0)
		in.policy.EndpointList(zero+now, balancer.EndpointList{Entries: []balancer.Endpoint{e}})
	})
}

// change carries out one step of a fault.
func (w *world) change(now time.Duration, p *party, c traffic.Change) {
	switch c.Kind {
	case experiment.RosterLate:
		w.late = 0
		if c.On {
			w.late = c.Fault.Period
		}
		return
	case experiment.RosterSilent:
		w.silent = c.On
		if !c.On {
			for _, in := range w.instances {
				for _, e := range in.missed {
					w.tell(now, in, e)
				}
				in.missed = nil
			}
		}
		return
	case experiment.KillSidecar:
		in := w.front[c.Box%len(w.front)]
		if !in.down {
			in.kill(now)
			w.at(p, now+c.Fault.For, func(now time.Duration) { in.start(now) })
		}
		return
	}
	h := w.boxes[c.Tier][c.Box]
	h.advance(now)
	switch c.Kind {
	case experiment.Deploy:
		w.replace(now, p, h, c.Fault.Period)
		return
	case experiment.Crash:
		if c.On {
			h.crash(now)
			w.publish(now, h.tier, balancer.Endpoint{ID: h.name, Kind: h.stats.Kind, State: balancer.Gone})
		} else if h.box.Down() {
			h.box.Restart(now)
			if h.below != nil {
				h.below.start(now)
			}
			w.publish(now, h.tier, balancer.Endpoint{ID: h.name, Kind: h.stats.Kind, State: balancer.Ready, Started: zero + now})
		}
		return
	}
	h.strike(c)
	h.reschedule()
}

// replace drains a box, ends it after the time for that, and starts a cold successor in its place.
func (w *world) replace(now time.Duration, p *party, h *host, drain time.Duration) {
	h.box.Drain()
	w.publish(now, h.tier, balancer.Endpoint{ID: h.name, Kind: h.stats.Kind, State: balancer.Draining})
	w.at(p, now+drain, func(now time.Duration) {
		h.advance(now)
		h.crash(now)
		h.gone = now
		w.publish(now, h.tier, balancer.Endpoint{ID: h.name, Kind: h.stats.Kind, State: balancer.Gone})
		n := w.newHost(h.tier, h.place, h.generation+1, now)
		w.boxes[h.tier][h.place] = n
		w.all = append(w.all, n)
		if n.below != nil {
			n.below.start(now)
		}
		w.publish(now, n.tier, balancer.Endpoint{ID: n.name, Kind: n.stats.Kind, State: balancer.Ready, Started: zero + now})
	})
}

// newHost makes a box and, unless its tier is the last, the instance beside it.
func (w *world) newHost(tier, place, generation int, started time.Duration) *host {
	t := w.e.Site.Tiers[tier]
	kind := traffic.Kind(t, place)
	name := traffic.Name(t, place, generation)
	h := &host{party: party{rank: experiment.Seed(w.seed, name)}, w: w, tier: tier, place: place, generation: generation, name: name,
		rng: experiment.Rand(w.seed, "faults of "+name), came: max(started, 0), slow: map[experiment.FaultKind]float64{}}
	h.stats = counters.Box{Name: name, Kind: kind.Name, Cores: kind.Cores, Fresh: started >= 0}
	h.box = server.New(kind, t.Box, w.e.Site.Rules, started, experiment.Rand(w.seed, "box "+name))
	w.byName[name] = h
	if tier+1 < len(w.e.Site.Tiers) && t.Calls > 0 {
		h.below = w.newInstance("beside "+name, tier+1, place, t.Boxes, h)
	}
	return h
}

func (w *world) log(now time.Duration, who, line string) {
	if len(w.logs) < logsMost {
		w.logs = append(w.logs, fmt.Sprintf("%.3f %s: %s", now.Seconds(), who, line))
	}
}
