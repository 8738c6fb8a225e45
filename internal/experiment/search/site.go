package search

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment"
)

// Limits of sites in addition to the bounds. The ranges in the functions below include the values
// of known installations.
const (
	minRequests              = 300              // expected in one run, unless that takes longer than maxDuration
	maxDuration              = 10 * time.Minute // to which runs with a low rate may be extended for minRequests
	maxServersOfSeveralTiers = 60               // in the first of several tiers: each of its servers has an instance
	maxLowLoad               = 0.9              // load that is not exceeded on three quarters of the sites
)

// Draw returns site n of a search. The same bounds, seed and n give the same site; changing the
// order of the draws would change the sites.
func Draw(b *Bounds, seed uint64, n int) *experiment.Experiment {
	d := sampler{experiment.Rand(seed, "site "+strconv.Itoa(n))}
	e := &experiment.Experiment{
		Name:     fmt.Sprintf("site-%d-%d", seed, n),
		Question: "Does the design serve as much as the best baseline?",
		Virtual:  true,
		Settings: map[string]string{},
	}
	s := &e.Site
	s.NetworkDelay = d.logUniformTime(20*time.Microsecond, 3*time.Millisecond)
	s.NetworkJitter = threeDigits(d.uniform(0, 0.5))
	s.MaxAttempts = 1 + d.IntN(5)
	s.Discovery.Delay = d.logUniformTime(10*time.Millisecond, 4*time.Second)
	s.Discovery.Spread = d.logUniformTime(time.Millisecond, time.Second)
	s.Rules = experiment.Rules{
		ResponseSlack:       20 * time.Millisecond,
		DrainGrace:          time.Second,
		WarmupOverload:      4,
		OverloadWindow:      time.Second,
		ImproperPeerTimeout: 3 * time.Second,
	}
	capacity, work := d.drawTiers(b, s)
	d.drawClasses(b, s, work)
	d.drawLoad(b, e, capacity, work)
	for range d.integer(b.Faults) {
		if len(b.FaultKinds) > 0 {
			d.drawFault(e, b.FaultKinds[d.IntN(len(b.FaultKinds))])
		}
	}
	return e
}

// drawTiers draws the number of instances, and the tiers. It returns the capacity of the site in
// requests a second, and the mean work of a request in seconds.
func (d sampler) drawTiers(b *Bounds, s *experiment.Site) (capacity, work float64) {
	tiers := b.Tiers.Min
	for tiers < b.Tiers.Max && d.bernoulli(0.35) {
		tiers++
	}
	s.Balancers = d.logUniformInt(b.Instances)
	servers := b.Servers
	servers.Max = max(min(servers.Max, b.MaxKnownPairs/s.Balancers), servers.Min)
	if tiers > 1 {
		servers.Max = max(min(servers.Max, maxServersOfSeveralTiers), servers.Min)
	}
	first := d.logUniformInt(servers)
	work = d.logUniform(b.Work.Min.Seconds(), b.Work.Max.Seconds())
	capacity = math.Inf(1)
	calls := 1 // to tier t, for each client request
	for t := range tiers {
		tier := d.drawTier(t, tiers, first, work)
		perServer := 0.0
		for _, k := range tier.Kinds {
			perServer += k.Fraction * float64(k.Cores) * k.Speed
		}
		capacity = min(capacity, perServer*float64(tier.Servers)/(work*tier.WorkFraction*float64(calls)))
		calls *= max(tier.Calls, 1)
		s.Tiers = append(s.Tiers, tier)
	}
	return capacity, work
}

// drawTier draws tier t of tiers tiers; first is the number of servers of tier 0, and work the mean
// work of a request in seconds.
func (d sampler) drawTier(t, tiers, first int, work float64) experiment.Tier {
	out := experiment.Tier{Name: fmt.Sprintf("tier-%d", t+1), Servers: first, WorkFraction: 1}
	if tiers > 1 {
		out.WorkFraction = threeDigits(d.uniform(0.5, 1.5) / float64(tiers))
	}
	if t > 0 {
		out.Servers = max(int(float64(first)*d.logUniform(0.5, 2)), 1)
	}
	if t+1 < tiers {
		out.Calls = 1 + d.IntN(2)
	}
	out.Kinds = d.drawKinds()
	out.Server = d.drawServerSpec(work)
	return out
}

// drawKinds draws the kinds of machines of a tier.
func (d sampler) drawKinds() []experiment.Kind {
	n := 1
	for n < 3 && d.bernoulli(0.4) {
		n++
	}
	var kinds []experiment.Kind
	sum := 0.0
	for i := range n {
		k := experiment.Kind{
			Name:     fmt.Sprintf("kind-%d", i+1),
			Fraction: threeDigits(d.uniform(0.2, 1)),
			Cores:    1 << d.IntN(4),
			Speed:    1,
		}
		if n > 1 {
			k.Speed = threeDigits(d.logUniform(0.5, 1.6))
		}
		k.Slots = k.Cores * (2 << d.IntN(6))
		k.QueueLimit = d.IntN(2) * d.IntN(400)
		sum += k.Fraction
		kinds = append(kinds, k)
	}
	for i := range kinds {
		kinds[i].Fraction = threeDigits(kinds[i].Fraction / sum)
	}
	return kinds
}

// drawServerSpec draws the properties that all servers of a tier share. Work is the mean work of a
// request, in seconds.
func (d sampler) drawServerSpec(work float64) experiment.ServerSpec {
	var s experiment.ServerSpec
	if d.bernoulli(0.6) {
		s.InitialCapacity = threeDigits(d.uniform(0.1, 0.8))
		s.WarmupTime = d.logUniformTime(time.Second, 20*time.Second)
	}
	if d.bernoulli(0.25) {
		s.CollapseQueue = threeDigits(d.uniform(4, 20))
		s.CollapseAfter = d.logUniformTime(500*time.Millisecond, 3*time.Second)
		s.CollapseSlowdown = threeDigits(d.uniform(1.5, 3))
		s.RecoveryLoad = 1
		s.RecoveryAfter = d.logUniformTime(time.Second, 5*time.Second)
		s.MaxCollapse = d.logUniformTime(10*time.Second, 30*time.Second)
	}
	if d.bernoulli(0.5) {
		s.ConnWork = roundSeconds(d.uniform(0, 0.2) * work)
		s.ConnIdleTimeout = d.logUniformTime(time.Second, time.Minute)
	}
	if d.bernoulli(0.1) {
		s.ErrorRate = threeDigits(d.logUniform(0.001, 0.05))
	}
	return s
}

// drawClasses draws the classes. Work is the mean work of a request of the first class, in seconds.
func (d sampler) drawClasses(b *Bounds, s *experiment.Site, work float64) {
	for i := range d.integer(b.Classes) {
		mean := work
		if i > 0 {
			mean *= d.logUniform(0.3, 3)
		}
		s.Classes = append(s.Classes, d.drawClass(i, mean, s.NetworkDelay))
	}
}

// drawClass draws class i. Mean is the mean work of its requests, in seconds.
func (d sampler) drawClass(i int, mean float64, networkDelay time.Duration) experiment.Class {
	distributions := []experiment.Distribution{experiment.Exponential, experiment.Exponential, experiment.LogNormal,
		experiment.Fixed}
	c := experiment.Class{
		Name:                 fmt.Sprintf("class-%d", i+1),
		TrafficShare:         threeDigits(d.uniform(0.2, 1)),
		PriorityWeight:       1,
		VariationCoefficient: 1,
		Distribution:         distributions[d.IntN(len(distributions))],
	}
	if c.Distribution == experiment.LogNormal {
		c.VariationCoefficient = threeDigits(d.logUniform(0.3, 3))
	}
	missWork := mean
	if d.bernoulli(0.25) { // some requests are cache hits; the mean work stays the same
		c.CacheHitRatio = threeDigits(d.uniform(0.3, 0.95))
		hitToMiss := d.logUniform(0.001, 0.1)
		missWork = mean / (c.CacheHitRatio*hitToMiss + 1 - c.CacheHitRatio)
		c.CacheHitWork = max(roundSeconds(hitToMiss*missWork), time.Microsecond)
	}
	c.Work = max(roundSeconds(missWork), time.Microsecond)
	if d.bernoulli(0.2) {
		c.OffCPUTime = d.logUniformTime(time.Millisecond, 200*time.Millisecond)
	}
	if d.bernoulli(0.35) {
		c.Idempotency = balancer.NonIdempotent
		c.PriorityWeight = float64(1 + d.IntN(10))
	}
	expected := time.Duration(3*missWork*float64(time.Second)) + c.OffCPUTime + 20*networkDelay + 20*time.Millisecond
	c.Deadline = max(d.logUniformTime(2*expected, 20*expected).Truncate(time.Millisecond), 100*time.Millisecond)
	c.LatencyObjective = max(roundTime(time.Duration(d.uniform(0.3, 1)*float64(c.Deadline))), time.Millisecond)
	return c
}

// drawLoad draws the rate, the clients and the duration of the run. Capacity is in requests a
// second, and work is the mean work of a request in seconds.
func (d sampler) drawLoad(b *Bounds, e *experiment.Experiment, capacity, work float64) {
	l := &e.Load
	load := d.uniform(b.Load.Min, min(maxLowLoad, b.Load.Max))
	if d.bernoulli(0.25) {
		load = d.uniform(min(maxLowLoad, b.Load.Max), b.Load.Max)
	}
	l.Rate = load * capacity
	if d.bernoulli(b.QuietFraction) {
		l.Rate = min(l.Rate, d.logUniform(0.05, 1)*float64(e.Site.Balancers))
	}
	e.Duration = max(d.logUniformTime(b.Duration.Min, b.Duration.Max), roundSeconds(min(20*work, 120)))
	l.Rate = min(max(l.Rate, b.Rate.Min), b.Rate.Max, float64(b.MaxRequests)/b.Duration.Min.Seconds())
	if longest := float64(b.MaxRequests) / l.Rate; e.Duration.Seconds() > longest {
		e.Duration = max(roundSeconds(longest), b.Duration.Min)
	}
	if shortest := minRequests / l.Rate; e.Duration.Seconds() < shortest {
		e.Duration = min(roundSeconds(shortest), max(maxDuration, e.Duration))
	}
	l.Rate = max(threeDigits(l.Rate), 0.01)
	l.Process = experiment.Poisson
	if d.bernoulli(0.2) {
		l.Process = experiment.Steady
	}
	l.Clients.MinPatience = threeDigits(d.uniform(0.5, 1))
	l.Clients.Retries = d.IntN(3)
	l.Clients.HonorRetryAfter = d.bernoulli(0.5)
	if l.Clients.Retries > 0 && d.bernoulli(0.7) {
		l.Clients.RetryWait = d.logUniformTime(50*time.Millisecond, time.Second)
	}
	if d.bernoulli(0.2) {
		l.Clients.DisconnectRate = threeDigits(d.uniform(0, 0.05))
	}
}

// drawFault adds a fault of a kind, or a temporary increase of the load, to the experiment.
func (d sampler) drawFault(e *experiment.Experiment, kind string) {
	length := float64(e.Duration)
	at := roundTime(time.Duration(d.uniform(0.05, 0.6) * length))
	duration := roundTime(time.Duration(d.uniform(0.05, 0.35) * length))
	tier := e.Site.Tiers[d.IntN(len(e.Site.Tiers))]
	fraction := threeDigits(d.logUniform(min(1/float64(tier.Servers), 0.9), 1))
	f := experiment.Fault{
		Kind:     experiment.FaultKind(kind),
		At:       at,
		Duration: duration,
		Tier:     tier.Name,
		Fraction: fraction,
		Size:     1,
		Period:   time.Second,
		Count:    1,
	}
	switch f.Kind {
	case loadStep:
		e.Load.Steps = append(e.Load.Steps, experiment.Step{At: at, Factor: threeDigits(d.logUniform(1.3, 5))},
			experiment.Step{At: at + duration, Factor: 1})
		return
	case flapping:
		f.Kind = experiment.Crash
		f.Duration = max(f.Duration/8, time.Millisecond)
		for range 3 { // the fourth crash is added after the switch
			e.Faults = append(e.Faults, f)
			f.At += 2 * f.Duration
		}
	case silentCrash:
		f.Kind = experiment.Crash
		e.Faults = append(e.Faults, silenceAround(e.Site.Discovery, f))
	default:
		d.drawFaultSize(&f)
	}
	e.Faults = append(e.Faults, f)
}

// silenceAround returns a fault that silences discovery from before f starts until after it has
// ended, so that no instance is notified while f is active. It starts early because notifications
// are delayed.
func silenceAround(discovery experiment.Discovery, f experiment.Fault) experiment.Fault {
	return experiment.Fault{
		Kind:     experiment.DiscoverySilence,
		At:       max(f.At-discovery.Delay-discovery.Spread, 0),
		Duration: f.Duration + 2*discovery.Delay + discovery.Spread,
		Fraction: 1,
		Size:     1,
		Period:   time.Second,
		Count:    1,
	}
}

// drawFaultSize draws the parameters that depend on the kind of the fault.
func (d sampler) drawFaultSize(f *experiment.Fault) {
	switch f.Kind {
	case experiment.FastErrors:
		f.Size = threeDigits(d.uniform(0.2, 1))
	case experiment.NoisyNeighbour:
		f.Size = threeDigits(d.uniform(0.3, 0.9))
		f.Period = d.logUniformTime(time.Second, 5*time.Second)
	case experiment.SharedSlowdown:
		f.Size = threeDigits(d.uniform(1.2, 3))
		f.Tier = ""
		f.Fraction = 1
	case experiment.RollingDeploy:
		f.Size = threeDigits(d.logUniform(0.05, 0.5))
		f.Period = d.logUniformTime(500*time.Millisecond, 5*time.Second)
	case experiment.BreakBeforeRequest, experiment.BreakAfterRequest, experiment.TruncateResponse,
		experiment.CorruptResponse:
		f.Size = threeDigits(d.logUniform(0.05, 1))
	case experiment.SlowResponse:
		f.Period = d.logUniformTime(5*time.Millisecond, 2*time.Second)
	case experiment.DiscoveryDelay:
		f.Period = d.logUniformTime(time.Second, 10*time.Second)
	}
}
