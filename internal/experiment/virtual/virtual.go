// Package virtual runs an experiment in virtual time: a discrete-event simulation of servers,
// network, discovery and clients around real Balancers or baseline policies. The same experiment,
// variant and seed give the same result, to the byte, on any machine.
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
	"rowancart/internal/experiment/traffic"
)

// Result is the result of one run.
type Result struct {
	Counters *counters.Counters
	Verdicts []invariant.Verdict
	Elapsed  time.Duration // virtual time
	Events   int
	Logs     []string // the first lines that instances logged
}

// Options change how a simulation is set up. They do not change its result.
type Options struct {
	Shuffle  *rand.Rand              // shuffles the order in which servers and instances are created; nil: not shuffled
	Progress func(now time.Duration) // called at most once per progressInterval; nil: not called
}

const (
	// balancerEpoch is the balancers' time at the start of the run. It is not 0, because a balancer
	// treats an endpoint with start time 0 as one that started long ago.
	balancerEpoch = 24 * time.Hour

	dialTimeout        = 250 * time.Millisecond // after which an attempt fails if its connection is not accepted
	maxLogs            = 100                    // lines in Result.Logs
	progressInterval   = time.Second            // of virtual time
	eventsBetweenPolls = 4096                   // events between two checks of the context and the progress
)

// simulation is one run. Everything in it runs on one goroutine.
type simulation struct {
	eventQueue
	eventSource // of events that belong to no other component
	experiment  *experiment.Experiment
	seed        uint64
	variant     experiment.Variant

	checker  *invariant.Checker
	counters *counters.Counters
	rng      *rand.Rand // draws the jitter of network delays

	servers          [][]*serverNode // by tier and index: the current generation
	allServers       []*serverNode   // of all generations, in the order of their creation
	serverByName     map[string]*serverNode
	arrivalsBySecond [][]int64 // by tier and second: requests that the tier's servers received

	frontInstances []*instance
	instances      []*instance // of all tiers, in the order of their first start

	endpointLists   [][]balancer.Endpoint // by tier: the list that discovery publishes
	discoverySilent bool
	discoveryDelay  time.Duration // added by a fault to the site's discovery delay

	events int
	logs   []string
}

// Run runs an experiment once. If ctx ends first, it returns the result so far and the context's
// error.
func Run(ctx context.Context, e *experiment.Experiment, variant experiment.Variant, seed uint64,
	o Options) (*Result, error) {
	if variant.Policy != experiment.DesignPolicy {
		if _, err := baseline.New(variant.Policy, balancer.Settings{}, nil); err != nil {
			return nil, fmt.Errorf("arm %s: %w", variant.Name, err)
		}
	}
	s := &simulation{
		experiment:   e,
		seed:         seed,
		variant:      variant,
		checker:      invariant.New(e.Site.Rules, 0),
		counters:     counters.New(e),
		rng:          experiment.Rand(seed, "network"),
		serverByName: map[string]*serverNode{},
	}
	s.build(o.Shuffle)
	s.scheduleFaults()
	s.scheduleClients()
	err := s.runUntil(ctx, s.end(), o.Progress)
	return s.result(), err
}

// scheduleFaults schedules the events of all faults.
func (s *simulation) scheduleFaults() {
	for i, event := range traffic.Timeline(s.experiment, s.seed) {
		source := &eventSource{rank: experiment.Seed(s.seed, "change "+strconv.Itoa(i))}
		s.scheduleFunc(source, event.At, func(now time.Duration) { s.applyFault(now, source, event) })
	}
}

// scheduleClients schedules the clients' arrivals. Each arrival schedules the next, which keeps the
// queue small.
func (s *simulation) scheduleClients() {
	requests := traffic.Draw(s.experiment, s.seed)
	if len(requests) == 0 {
		return
	}
	clients := &eventSource{rank: experiment.Seed(s.seed, "clients")}
	next := 0
	var arrive func(now time.Duration)
	arrive = func(now time.Duration) {
		s.startClient(now, next, &requests[next])
		if next++; next < len(requests) {
			s.scheduleFunc(clients, requests[next].At, arrive)
		}
	}
	s.scheduleFunc(clients, requests[0].At, arrive)
}

// end returns the instant by which all requests have ended.
func (s *simulation) end() time.Duration {
	e := s.experiment
	end := e.Duration + time.Second
	for _, c := range e.Site.Classes {
		end = max(end, e.Duration+2*c.Deadline+e.Site.Rules.ResponseSlack)
	}
	return end
}

// runUntil runs the events up to an instant, or until ctx ends.
func (s *simulation) runUntil(ctx context.Context, end time.Duration, progress func(now time.Duration)) error {
	reported := time.Duration(0)
	for s.runNext(end) {
		s.events++
		if s.events%eventsBetweenPolls != 0 {
			continue
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		if progress != nil && s.now-reported >= progressInterval {
			reported = s.now
			progress(s.now)
		}
	}
	return nil
}

func (s *simulation) result() *Result {
	for _, n := range s.allServers {
		stats := n.stats
		stats.Busy = n.model.CoreSeconds()
		until := n.removedAt
		if until == 0 {
			until = s.now
		}
		stats.Lifetime = until - n.addedAt
		stats.WarmupPeak = n.model.WarmupPeak()
		stats.TimeToFullLoad = n.timeToFullLoad()
		s.counters.Servers = append(s.counters.Servers, stats)
	}
	return &Result{Counters: s.counters, Verdicts: s.checker.Close(s.now), Elapsed: s.now, Events: s.events, Logs: s.logs}
}

// build creates the servers and instances and starts the instances.
func (s *simulation) build(shuffle *rand.Rand) {
	site := s.experiment.Site
	s.servers = make([][]*serverNode, len(site.Tiers))
	s.frontInstances = make([]*instance, site.Balancers)
	s.endpointLists = make([][]balancer.Endpoint, len(site.Tiers))
	s.arrivalsBySecond = make([][]int64, len(site.Tiers))
	s.createAll(shuffle)
	for t := range site.Tiers {
		for _, n := range s.servers[t] {
			s.allServers = append(s.allServers, n)
			s.endpointLists[t] = append(s.endpointLists[t], n.endpoint(balancer.Ready))
		}
	}
	for _, in := range s.frontInstances {
		in.start(0)
	}
	for t := range site.Tiers {
		for _, n := range s.servers[t] {
			if n.sidecar != nil {
				n.sidecar.start(0)
			}
		}
	}
}

// createAll creates the servers and the instances in front of the first tier. The order of creation
// is shuffled unless shuffle is nil.
func (s *simulation) createAll(shuffle *rand.Rand) {
	site := s.experiment.Site
	var creators []func()
	for t, tier := range site.Tiers {
		s.servers[t] = make([]*serverNode, tier.Servers)
		for index := range tier.Servers {
			creators = append(creators, func() { s.servers[t][index] = s.newServer(t, index, 0, startedLongAgo) })
		}
	}
	for i := range site.Balancers {
		creators = append(creators, func() {
			s.frontInstances[i] = s.newInstance(fmt.Sprintf("balancer-%d", i), 0, i, site.Balancers)
		})
	}
	if shuffle != nil {
		shuffle.Shuffle(len(creators), func(i, j int) { creators[i], creators[j] = creators[j], creators[i] })
	}
	for _, create := range creators {
		create()
	}
}

// networkDelay draws the one-way delay of a message.
func (s *simulation) networkDelay() time.Duration {
	site := &s.experiment.Site
	d := site.NetworkDelay
	if site.NetworkJitter > 0 {
		d = time.Duration(float64(d) * (1 + site.NetworkJitter*(2*s.rng.Float64()-1)))
	}
	return d
}

func (s *simulation) log(now time.Duration, name, line string) {
	if len(s.logs) < maxLogs {
		s.logs = append(s.logs, fmt.Sprintf("%.3f %s: %s", now.Seconds(), name, line))
	}
}
