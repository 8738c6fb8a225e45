package search

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment"
)

// What a site has besides what the bounds say. The figures are those that installations are known to have, and wider.
const (
	minRequests              = 300              // in one play, where the longest duration allows it
	maxDuration              = 10 * time.Minute // of clients that ask seldom
	maxServersOfSeveralTiers = 60               // servers of a tier at most where there are several: each has an instance of its own
)

type sampler struct{ *rand.Rand }

func (d sampler) bernoulli(p float64) bool { return d.Float64() < p }

func (d sampler) uniform(least, most float64) float64 { return least + (most-least)*d.Float64() }

// logUniform draws evenly over orders of magnitude.
func (d sampler) logUniform(least, most float64) float64 {
	return math.Exp(d.uniform(math.Log(least), math.Log(most)))
}

func (d sampler) integer(s Span[int]) int { return s.Min + d.IntN(s.Max-s.Min+1) }

func (d sampler) logUniformInt(s Span[int]) int {
	return min(max(int(math.Round(d.logUniform(float64(s.Min), float64(s.Max)))), s.Min), s.Max)
}

func (d sampler) logUniformTime(least, most time.Duration) time.Duration {
	return roundTime(time.Duration(d.logUniform(float64(least), float64(most))))
}

// roundTime keeps three digits: a drawn site is to be written down.
func roundTime(t time.Duration) time.Duration {
	if t <= 0 {
		return 0
	}
	unit := math.Pow(10, math.Floor(math.Log10(float64(t)))-2)
	return time.Duration(math.Round(float64(t)/unit) * unit)
}

func threeDigits(x float64) float64 {
	y, _ := strconv.ParseFloat(strconv.FormatFloat(x, 'g', 3, 64), 64) // it was written by FormatFloat
	return y
}

// Draw returns site n of a search. The same bounds, seed and n give the same site.
func Draw(b *Bounds, seed uint64, n int) *experiment.Experiment {
	d := sampler{experiment.Rand(seed, "site "+strconv.Itoa(n))}
	e := &experiment.Experiment{Name: fmt.Sprintf("site-%d-%d", seed, n), Question: "Does the design serve as much as the best rival?", Virtual: true,
		Settings: map[string]string{}}
	s := &e.Site
	s.NetworkDelay, s.NetworkJitter, s.MaxAttempts = d.logUniformTime(20*time.Microsecond, 3*time.Millisecond), threeDigits(d.uniform(0, 0.5)), 1+d.IntN(5)
	s.Discovery = experiment.Discovery{Delay: d.logUniformTime(10*time.Millisecond, 4*time.Second), Spread: d.logUniformTime(time.Millisecond, time.Second)}
	s.Rules = experiment.Rules{ResponseSlack: 20 * time.Millisecond, DrainGrace: time.Second, WarmupOverload: 4, OverloadWindow: time.Second,
		ImproperPeerTimeout: 3 * time.Second}
	tiers := b.Tiers.Min
	for tiers < b.Tiers.Max && d.bernoulli(0.35) {
		tiers++
	}
	s.Balancers = d.logUniformInt(b.Instances)
	boxes := b.Servers
	if boxes.Max = max(min(boxes.Max, b.MaxKnownPairs/s.Balancers), boxes.Min); tiers > 1 {
		boxes.Max = max(min(boxes.Max, maxServersOfSeveralTiers), boxes.Min)
	}
	first := d.logUniformInt(boxes)
	work := d.logUniform(b.Work.Min.Seconds(), b.Work.Max.Seconds())
	capacity, calls := math.Inf(1), 1
	for t := range tiers {
		tier := d.tier(t, tiers, first, work)
		per := 0.0
		for _, k := range tier.Kinds {
			per += k.Fraction * float64(k.Cores) * k.Speed
		}
		capacity = min(capacity, per*float64(tier.Servers)/(work*tier.WorkFraction*float64(calls)))
		calls *= max(tier.Calls, 1)
		s.Tiers = append(s.Tiers, tier)
	}
	d.classes(b, s, work)
	d.load(b, e, capacity, work)
	for range d.integer(b.Faults) {
		if len(b.FaultKinds) > 0 {
			d.fault(e, b.FaultKinds[d.IntN(len(b.FaultKinds))])
		}
	}
	return e
}

func (d sampler) tier(t, tiers, first int, work float64) experiment.Tier {
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
	n := 1
	for n < 3 && d.bernoulli(0.4) {
		n++
	}
	sum := 0.0
	for i := range n {
		k := experiment.Kind{Name: fmt.Sprintf("kind-%d", i+1), Fraction: threeDigits(d.uniform(0.2, 1)), Cores: 1 << d.IntN(4), Speed: 1}
		if n > 1 {
			k.Speed = threeDigits(d.logUniform(0.5, 1.6))
		}
		k.Slots = k.Cores * (2 << d.IntN(6))
		k.QueueLimit = d.IntN(2) * d.IntN(400)
		sum += k.Fraction
		out.Kinds = append(out.Kinds, k)
	}
	for i := range out.Kinds {
		out.Kinds[i].Fraction = threeDigits(out.Kinds[i].Fraction / sum)
	}
	x := &out.Server
	if d.bernoulli(0.6) {
		x.InitialCapacity, x.WarmupTime = threeDigits(d.uniform(0.1, 0.8)), d.logUniformTime(time.Second, 20*time.Second)
	}
	if d.bernoulli(0.25) {
		x.CollapseQueue, x.CollapseAfter, x.CollapseSlowdown = threeDigits(d.uniform(4, 20)), d.logUniformTime(500*time.Millisecond, 3*time.Second), threeDigits(d.uniform(1.5, 3))
		x.RecoveryLoad, x.RecoveryAfter, x.MaxCollapse = 1, d.logUniformTime(time.Second, 5*time.Second), d.logUniformTime(10*time.Second, 30*time.Second)
	}
	if d.bernoulli(0.5) {
		x.ConnWork = roundTime(time.Duration(d.uniform(0, 0.2) * work * float64(time.Second)))
		x.ConnIdleTimeout = d.logUniformTime(time.Second, time.Minute)
	}
	if d.bernoulli(0.1) {
		x.ErrorRate = threeDigits(d.logUniform(0.001, 0.05))
	}
	return out
}

func (d sampler) classes(b *Bounds, s *experiment.Site, work float64) {
	for i := range d.integer(b.Classes) {
		mean := work
		if i > 0 {
			mean *= d.logUniform(0.3, 3)
		}
		c := experiment.Class{Name: fmt.Sprintf("class-%d", i+1), TrafficShare: threeDigits(d.uniform(0.2, 1)), PriorityWeight: 1, VariationCoefficient: 1,
			Distribution: []experiment.Distribution{experiment.Exponential, experiment.Exponential, experiment.LogNormal, experiment.Fixed}[d.IntN(4)]}
		if c.Distribution == experiment.LogNormal {
			c.VariationCoefficient = threeDigits(d.logUniform(0.3, 3))
		}
		longest := mean
		if d.bernoulli(0.25) { // hits and misses: the mean stays
			c.CacheHitRatio = threeDigits(d.uniform(0.3, 0.95))
			ratio := d.logUniform(0.001, 0.1)
			longest = mean / (c.CacheHitRatio*ratio + 1 - c.CacheHitRatio)
			c.CacheHitWork = max(roundTime(time.Duration(ratio*longest*float64(time.Second))), time.Microsecond)
		}
		c.Work = max(roundTime(time.Duration(longest*float64(time.Second))), time.Microsecond)
		if d.bernoulli(0.2) {
			c.OffCPUTime = d.logUniformTime(time.Millisecond, 200*time.Millisecond)
		}
		if d.bernoulli(0.35) {
			c.Repeat, c.PriorityWeight = balancer.NonIdempotent, float64(1+d.IntN(10))
		}
		usual := time.Duration(3*longest*float64(time.Second)) + c.OffCPUTime + 20*s.NetworkDelay + 20*time.Millisecond
		c.Deadline = max(d.logUniformTime(2*usual, 20*usual).Truncate(time.Millisecond), 100*time.Millisecond)
		c.LatencyObjective = max(roundTime(time.Duration(d.uniform(0.3, 1)*float64(c.Deadline))), time.Millisecond)
		s.Classes = append(s.Classes, c)
	}
}

// load sets how much is asked, and for how long.
func (d sampler) load(b *Bounds, e *experiment.Experiment, capacity, work float64) {
	l := &e.Load
	share := d.uniform(b.Load.Min, min(0.9, b.Load.Max))
	if d.bernoulli(0.25) {
		share = d.uniform(min(0.9, b.Load.Max), b.Load.Max)
	}
	l.Rate = share * capacity
	if d.bernoulli(b.QuietFraction) {
		l.Rate = min(l.Rate, d.logUniform(0.05, 1)*float64(e.Site.Balancers))
	}
	e.Duration = max(d.logUniformTime(b.Duration.Min, b.Duration.Max), roundTime(time.Duration(min(20*work, 120)*float64(time.Second))))
	l.Rate = min(max(l.Rate, b.Rate.Min), b.Rate.Max, float64(b.MaxRequests)/b.Duration.Min.Seconds())
	if most := float64(b.MaxRequests) / l.Rate; e.Duration.Seconds() > most {
		e.Duration = max(roundTime(time.Duration(most*float64(time.Second))), b.Duration.Min)
	}
	if least := minRequests / l.Rate; e.Duration.Seconds() < least {
		e.Duration = min(roundTime(time.Duration(least*float64(time.Second))), max(maxDuration, e.Duration))
	}
	l.Rate, l.Process = max(threeDigits(l.Rate), 0.01), experiment.Poisson
	if d.bernoulli(0.2) {
		l.Process = experiment.Steady
	}
	l.Clients = experiment.Clients{MinPatience: threeDigits(d.uniform(0.5, 1)), Retries: d.IntN(3), HonorRetryAfter: d.bernoulli(0.5)}
	if l.Clients.Retries > 0 && d.bernoulli(0.7) {
		l.Clients.RetryWait = d.logUniformTime(50*time.Millisecond, time.Second)
	}
	if d.bernoulli(0.2) {
		l.Clients.DisconnectRate = threeDigits(d.uniform(0, 0.05))
	}
}

// fault adds something that goes wrong.
func (d sampler) fault(e *experiment.Experiment, kind string) {
	length := float64(e.Duration)
	at, last := roundTime(time.Duration(d.uniform(0.05, 0.6)*length)), roundTime(time.Duration(d.uniform(0.05, 0.35)*length))
	tier := e.Site.Tiers[d.IntN(len(e.Site.Tiers))]
	part := threeDigits(d.logUniform(min(1/float64(tier.Servers), 0.9), 1))
	f := experiment.Fault{Kind: experiment.FaultKind(kind), At: at, Duration: last, Tier: tier.Name, Fraction: part, Size: 1, Period: time.Second, Count: 1}
	switch f.Kind {
	case loadStep:
		e.Load.Steps = append(e.Load.Steps, experiment.Step{At: at, Factor: threeDigits(d.logUniform(1.3, 5))}, experiment.Step{At: at + last, Factor: 1})
		return
	case flapping:
		f.Kind, f.Duration = experiment.Crash, max(f.Duration/8, time.Millisecond)
		for range 3 {
			e.Faults = append(e.Faults, f)
			f.At += 2 * f.Duration
		}
	case silentCrash:
		f.Kind = experiment.Crash
		e.Faults = append(e.Faults, experiment.Fault{Kind: experiment.DiscoverySilence, At: max(at-e.Site.Discovery.Delay-e.Site.Discovery.Spread, 0),
			Duration: last + 2*e.Site.Discovery.Delay + e.Site.Discovery.Spread, Fraction: 1, Size: 1, Period: time.Second, Count: 1})
	case experiment.FastErrors:
		f.Size = threeDigits(d.uniform(0.2, 1))
	case experiment.NoisyNeighbour:
		f.Size, f.Period = threeDigits(d.uniform(0.3, 0.9)), d.logUniformTime(time.Second, 5*time.Second)
	case experiment.SharedSlowdown:
		f.Size, f.Tier, f.Fraction = threeDigits(d.uniform(1.2, 3)), "", 1
	case experiment.RollingDeploy:
		f.Size, f.Period = threeDigits(d.logUniform(0.05, 0.5)), d.logUniformTime(500*time.Millisecond, 5*time.Second)
	case experiment.BreakBeforeRequest, experiment.BreakAfterRequest, experiment.TruncateResponse, experiment.CorruptResponse:
		f.Size = threeDigits(d.logUniform(0.05, 1))
	case experiment.SlowResponse:
		f.Period = d.logUniformTime(5*time.Millisecond, 2*time.Second)
	case experiment.DiscoveryDelay:
		f.Period = d.logUniformTime(time.Second, 10*time.Second)
	}
	e.Faults = append(e.Faults, f)
}
