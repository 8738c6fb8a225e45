// Package virtual plays an experiment in virtual time: a discrete-event run that hosts real Balancers, or baseline
// policies, before modelled servers, network, endpoint list and clients. The same experiment, variant and seed give the same result
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
	Counters *counters.Counters
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
	balancerEpoch    = 24 * time.Hour         // instances read this at the start: 0 means long ago to them
	dialTimeout      = 250 * time.Millisecond // for connections that do not come up
	fastErrorDelay   = time.Millisecond       // a server that fails fast answers after this
	maxLogs          = 100
	progressInterval = time.Second // of virtual time
)

// simulation is one run.
type simulation struct {
	eventQueue
	eventSource
	e       *experiment.Experiment
	seed    uint64
	variant experiment.Variant

	checker  *invariant.Checker
	counters *counters.Counters
	rng      *rand.Rand // of the network

	servers          [][]*serverNode // by tier and place: the present generation
	allServers       []*serverNode   // of all generations, in order of coming
	serverByName     map[string]*serverNode
	frontInstances   []*instance
	instances        []*instance // of all tiers
	discoverySilent  bool
	discoveryDelay   time.Duration
	endpointLists    [][]balancer.Endpoint // by tier: what the discovery service knows
	arrivalsBySecond [][]int64             // by tier and second: requests that reached servers
	events           int
	logs             []string
}

// Run plays an experiment once.
func Run(ctx context.Context, e *experiment.Experiment, variant experiment.Variant, seed uint64, o Options) (*Result, error) {
	if variant.Policy != experiment.DesignPolicy {
		if _, err := baseline.New(variant.Policy, balancer.Settings{}, nil); err != nil {
			return nil, fmt.Errorf("arm %s: %w", variant.Name, err)
		}
	}
	w := &simulation{eventSource: eventSource{rank: 0}, e: e, seed: seed, variant: variant, checker: invariant.New(e.Site.Rules, 0), counters: counters.New(e),
		rng: experiment.Rand(seed, "network"), serverByName: map[string]*serverNode{}}
	w.build(o.Shuffle)
	for i, c := range traffic.Timeline(e, seed) {
		p := &eventSource{rank: experiment.Seed(seed, "change "+strconv.Itoa(i))}
		w.scheduleFunc(p, c.At, func(now time.Duration) { w.applyFault(now, p, c) })
	}
	requests := traffic.Draw(e, seed)
	next := 0
	clients := &eventSource{rank: experiment.Seed(seed, "clients")}
	var arrive func(now time.Duration)
	arrive = func(now time.Duration) {
		w.startClient(now, next, &requests[next])
		if next++; next < len(requests) {
			w.scheduleFunc(clients, requests[next].At, arrive)
		}
	}
	if len(requests) > 0 {
		w.scheduleFunc(clients, requests[0].At, arrive)
	}
	end := e.Duration + time.Second
	for _, c := range e.Site.Classes {
		end = max(end, e.Duration+2*c.Deadline+e.Site.Rules.ResponseSlack)
	}
	shown := time.Duration(0)
	for w.runNext(end) {
		w.events++
		if w.events%4096 == 0 {
			if err := ctx.Err(); err != nil {
				return w.result(), err
			}
			if o.Progress != nil && w.now-shown >= progressInterval {
				shown = w.now
				o.Progress(w.now)
			}
		}
	}
	return w.result(), nil
}

func (s *simulation) result() *Result {
	for _, h := range s.allServers {
		b := h.stats
		b.Busy = h.model.CoreSeconds()
		until := h.removedAt
		if until == 0 {
			until = s.now
		}
		b.Lifetime = until - h.addedAt
		b.WarmupPeak, b.TimeToFullLoad = h.model.WarmupPeak(), h.timeToFullLoad()
		s.counters.Servers = append(s.counters.Servers, b)
	}
	return &Result{Counters: s.counters, Verdicts: s.checker.Close(s.now), Played: s.now, Events: s.events, Logs: s.logs}
}

// build makes servers and instances, in any order.
func (s *simulation) build(shuffle *rand.Rand) {
	site := s.e.Site
	s.servers = make([][]*serverNode, len(site.Tiers))
	s.endpointLists = make([][]balancer.Endpoint, len(site.Tiers))
	s.arrivalsBySecond = make([][]int64, len(site.Tiers))
	var make1 []func()
	for t, tier := range site.Tiers {
		s.servers[t] = make([]*serverNode, tier.Servers)
		for place := range tier.Servers {
			make1 = append(make1, func() { s.servers[t][place] = s.newServer(t, place, 0, -1) })
		}
	}
	s.frontInstances = make([]*instance, site.Balancers)
	for i := range site.Balancers {
		make1 = append(make1, func() { s.frontInstances[i] = s.newInstance(fmt.Sprintf("balancer-%d", i), 0, i, site.Balancers, nil) })
	}
	if shuffle != nil {
		shuffle.Shuffle(len(make1), func(i, j int) { make1[i], make1[j] = make1[j], make1[i] })
	}
	for _, f := range make1 {
		f()
	}
	for t := range site.Tiers {
		for _, h := range s.servers[t] {
			s.allServers = append(s.allServers, h)
			s.endpointLists[t] = append(s.endpointLists[t], balancer.Endpoint{ID: h.name, Kind: h.stats.Kind, State: balancer.Ready})
		}
	}
	for _, in := range s.frontInstances {
		in.start(0)
	}
	for t := range site.Tiers {
		for _, h := range s.servers[t] {
			if h.sidecar != nil {
				h.sidecar.start(0)
			}
		}
	}
}

// networkDelay is the time that a message takes one way.
func (s *simulation) networkDelay() time.Duration {
	d := s.e.Site.NetworkDelay
	if s.e.Site.NetworkJitter > 0 {
		d = time.Duration(float64(d) * (1 + s.e.Site.NetworkJitter*(2*s.rng.Float64()-1)))
	}
	return d
}

// publishEndpoint changes what the discovery service says of a server and tells every instance of that tier, each in its own time.
func (s *simulation) publishEndpoint(now time.Duration, tier int, e balancer.Endpoint) {
	list := s.endpointLists[tier]
	found := false
	for i := range list {
		if list[i].ID == e.ID {
			found = true
			if e.State == balancer.Gone {
				s.endpointLists[tier] = append(list[:i:i], list[i+1:]...)
			} else {
				list[i] = e
			}
			break
		}
	}
	if !found && e.State != balancer.Gone {
		s.endpointLists[tier] = append(list, e)
	}
	for _, in := range s.instances {
		if in.tier != tier || in.down {
			continue
		}
		if s.discoverySilent {
			in.missedChanges = append(in.missedChanges, e)
			continue
		}
		s.notifyInstance(now, in, e)
	}
}

func (s *simulation) notifyInstance(now time.Duration, in *instance, e balancer.Endpoint) {
	discovery := s.e.Site.Discovery
	at := now + discovery.Delay + s.discoveryDelay + time.Duration(in.discoverySpread*float64(discovery.Spread))
	in.notifiedAt = max(in.notifiedAt, at)
	incarnation := in.incarnation
	s.scheduleFunc(&in.eventSource, in.notifiedAt, func(now time.Duration) {
		if in.down || in.incarnation != incarnation {
			return
		}
		s.checker.RecordNotification(now, in.name, e.ID, e.State, e.Started > 0)
		in.policy.EndpointList(balancerEpoch+now, balancer.EndpointList{Entries: []balancer.Endpoint{e}})
	})
}

// applyFault carries out one step of a fault.
func (s *simulation) applyFault(now time.Duration, p *eventSource, c traffic.FaultEvent) {
	switch c.Kind {
	case experiment.DiscoveryDelay:
		s.discoveryDelay = 0
		if c.On {
			s.discoveryDelay = c.Fault.Period
		}
		return
	case experiment.DiscoverySilence:
		s.discoverySilent = c.On
		if !c.On {
			for _, in := range s.instances {
				for _, e := range in.missedChanges {
					s.notifyInstance(now, in, e)
				}
				in.missedChanges = nil
			}
		}
		return
	case experiment.KillSidecar:
		in := s.frontInstances[c.Server%len(s.frontInstances)]
		if !in.down {
			in.kill(now)
			s.scheduleFunc(p, now+c.Fault.Duration, func(now time.Duration) { in.start(now) })
		}
		return
	}
	h := s.servers[c.Tier][c.Server]
	h.advance(now)
	switch c.Kind {
	case experiment.RollingDeploy:
		s.replaceServer(now, p, h, c.Fault.Period)
		return
	case experiment.Crash:
		if c.On {
			h.crash(now)
			s.publishEndpoint(now, h.tier, balancer.Endpoint{ID: h.name, Kind: h.stats.Kind, State: balancer.Gone})
		} else if h.model.Down() {
			h.model.Restart(now)
			if h.sidecar != nil {
				h.sidecar.start(now)
			}
			s.publishEndpoint(now, h.tier, balancer.Endpoint{ID: h.name, Kind: h.stats.Kind, State: balancer.Ready, Started: balancerEpoch + now})
		}
		return
	}
	h.applyFault(c)
	h.reschedule()
}

// replaceServer drains a server, ends it after the time for that, and starts a cold successor in its place.
func (s *simulation) replaceServer(now time.Duration, p *eventSource, h *serverNode, drain time.Duration) {
	h.model.Drain()
	s.publishEndpoint(now, h.tier, balancer.Endpoint{ID: h.name, Kind: h.stats.Kind, State: balancer.Draining})
	s.scheduleFunc(p, now+drain, func(now time.Duration) {
		h.advance(now)
		h.crash(now)
		h.removedAt = now
		s.publishEndpoint(now, h.tier, balancer.Endpoint{ID: h.name, Kind: h.stats.Kind, State: balancer.Gone})
		n := s.newServer(h.tier, h.index, h.generation+1, now)
		s.servers[h.tier][h.index] = n
		s.allServers = append(s.allServers, n)
		if n.sidecar != nil {
			n.sidecar.start(now)
		}
		s.publishEndpoint(now, n.tier, balancer.Endpoint{ID: n.name, Kind: n.stats.Kind, State: balancer.Ready, Started: balancerEpoch + now})
	})
}

// newServer makes a server and, unless its tier is the last, the instance beside it.
func (s *simulation) newServer(tier, place, generation int, started time.Duration) *serverNode {
	t := s.e.Site.Tiers[tier]
	kind := traffic.KindOf(t, place)
	name := traffic.ServerName(t, place, generation)
	h := &serverNode{eventSource: eventSource{rank: experiment.Seed(s.seed, name)}, sim: s, tier: tier, index: place, generation: generation, name: name,
		rng: experiment.Rand(s.seed, "faults of "+name), addedAt: max(started, 0), slowdowns: map[experiment.FaultKind]float64{}}
	h.stats = counters.Server{Name: name, Kind: kind.Name, Cores: kind.Cores, AddedDuringRun: started >= 0}
	h.model = server.New(kind, t.Server, s.e.Site.Rules, started, experiment.Rand(s.seed, "box "+name))
	s.serverByName[name] = h
	if tier+1 < len(s.e.Site.Tiers) && t.Calls > 0 {
		h.sidecar = s.newInstance("beside "+name, tier+1, place, t.Servers, h)
	}
	return h
}

func (s *simulation) log(now time.Duration, who, line string) {
	if len(s.logs) < maxLogs {
		s.logs = append(s.logs, fmt.Sprintf("%.3f %s: %s", now.Seconds(), who, line))
	}
}
