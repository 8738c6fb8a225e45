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
	leastRequests = 300              // in one play, where the longest duration allows it
	longestPlay   = 10 * time.Minute // of callers that ask seldom
	tiersBoxes    = 60               // boxes of a tier at most where there are several: each has an instance of its own
)

type drawer struct{ *rand.Rand }

func (d drawer) chance(p float64) bool { return d.Float64() < p }

func (d drawer) between(least, most float64) float64 { return least + (most-least)*d.Float64() }

// scale draws evenly over orders of magnitude.
func (d drawer) scale(least, most float64) float64 {
	return math.Exp(d.between(math.Log(least), math.Log(most)))
}

func (d drawer) whole(s Span[int]) int { return s.Least + d.IntN(s.Most-s.Least+1) }

func (d drawer) wholeScale(s Span[int]) int {
	return min(max(int(math.Round(d.scale(float64(s.Least), float64(s.Most)))), s.Least), s.Most)
}

func (d drawer) time(least, most time.Duration) time.Duration {
	return round(time.Duration(d.scale(float64(least), float64(most))))
}

// round keeps three digits: a drawn site is to be written down.
func round(t time.Duration) time.Duration {
	if t <= 0 {
		return 0
	}
	unit := math.Pow(10, math.Floor(math.Log10(float64(t)))-2)
	return time.Duration(math.Round(float64(t)/unit) * unit)
}

func digits(x float64) float64 {
	y, _ := strconv.ParseFloat(strconv.FormatFloat(x, 'g', 3, 64), 64) // it was written by FormatFloat
	return y
}

// Draw gives site n of a search. The same bounds, seed and n give the same site.
func Draw(b *Bounds, seed uint64, n int) *experiment.Experiment {
	d := drawer{experiment.Rand(seed, "site "+strconv.Itoa(n))}
	e := &experiment.Experiment{Name: fmt.Sprintf("site-%d-%d", seed, n), Question: "Does the design serve as much as the best rival?", Virtual: true,
		Settings: map[string]string{}}
	s := &e.Site
	s.Delay, s.Jitter, s.Attempts = d.time(20*time.Microsecond, 3*time.Millisecond), digits(d.between(0, 0.5)), 1+d.IntN(5)
	s.Roster = experiment.Roster{Delay: d.time(10*time.Millisecond, 4*time.Second), Spread: d.time(time.Millisecond, time.Second)}
	s.Rules = experiment.Rules{AnswerSlack: 20 * time.Millisecond, DrainGrace: time.Second, FallOver: 4, FallWindow: time.Second,
		ImproperFor: 3 * time.Second}
	tiers := b.Tiers.Least
	for tiers < b.Tiers.Most && d.chance(0.35) {
		tiers++
	}
	s.Balancers = d.wholeScale(b.Instances)
	boxes := b.Boxes
	if boxes.Most = max(min(boxes.Most, b.Known/s.Balancers), boxes.Least); tiers > 1 {
		boxes.Most = max(min(boxes.Most, tiersBoxes), boxes.Least)
	}
	first := d.wholeScale(boxes)
	work := d.scale(b.Work.Least.Seconds(), b.Work.Most.Seconds())
	capacity, calls := math.Inf(1), 1
	for t := range tiers {
		tier := d.tier(t, tiers, first, work)
		per := 0.0
		for _, k := range tier.Kinds {
			per += k.Share * float64(k.Cores) * k.Speed
		}
		capacity = min(capacity, per*float64(tier.Boxes)/(work*tier.Work*float64(calls)))
		calls *= max(tier.Calls, 1)
		s.Tiers = append(s.Tiers, tier)
	}
	d.classes(b, s, work)
	d.load(b, e, capacity, work)
	for range d.whole(b.Faults) {
		if len(b.Kinds) > 0 {
			d.fault(e, b.Kinds[d.IntN(len(b.Kinds))])
		}
	}
	return e
}

func (d drawer) tier(t, tiers, first int, work float64) experiment.Tier {
	out := experiment.Tier{Name: fmt.Sprintf("tier-%d", t+1), Boxes: first, Work: 1}
	if tiers > 1 {
		out.Work = digits(d.between(0.5, 1.5) / float64(tiers))
	}
	if t > 0 {
		out.Boxes = max(int(float64(first)*d.scale(0.5, 2)), 1)
	}
	if t+1 < tiers {
		out.Calls = 1 + d.IntN(2)
	}
	n := 1
	for n < 3 && d.chance(0.4) {
		n++
	}
	sum := 0.0
	for i := range n {
		k := experiment.Kind{Name: fmt.Sprintf("kind-%d", i+1), Share: digits(d.between(0.2, 1)), Cores: 1 << d.IntN(4), Speed: 1}
		if n > 1 {
			k.Speed = digits(d.scale(0.5, 1.6))
		}
		k.Slots = k.Cores * (2 << d.IntN(6))
		k.Queue = d.IntN(2) * d.IntN(400)
		sum += k.Share
		out.Kinds = append(out.Kinds, k)
	}
	for i := range out.Kinds {
		out.Kinds[i].Share = digits(out.Kinds[i].Share / sum)
	}
	x := &out.Box
	if d.chance(0.6) {
		x.ColdFrom, x.ColdFor = digits(d.between(0.1, 0.8)), d.time(time.Second, 20*time.Second)
	}
	if d.chance(0.25) {
		x.ChokeAt, x.ChokeOver, x.ChokeSlower = digits(d.between(4, 20)), d.time(500*time.Millisecond, 3*time.Second), digits(d.between(1.5, 3))
		x.ChokeBelow, x.ChokeRest, x.ChokeMost = 1, d.time(time.Second, 5*time.Second), d.time(10*time.Second, 30*time.Second)
	}
	if d.chance(0.5) {
		x.ConnWork = round(time.Duration(d.between(0, 0.2) * work * float64(time.Second)))
		x.ConnIdle = d.time(time.Second, time.Minute)
	}
	if d.chance(0.1) {
		x.ErrorShare = digits(d.scale(0.001, 0.05))
	}
	return out
}

func (d drawer) classes(b *Bounds, s *experiment.Site, work float64) {
	for i := range d.whole(b.Classes) {
		mean := work
		if i > 0 {
			mean *= d.scale(0.3, 3)
		}
		c := experiment.Class{Name: fmt.Sprintf("class-%d", i+1), Share: digits(d.between(0.2, 1)), Worth: 1, Cv: 1,
			Spread: []experiment.Spread{experiment.Exponential, experiment.Exponential, experiment.LogNormal, experiment.Fixed}[d.IntN(4)]}
		if c.Spread == experiment.LogNormal {
			c.Cv = digits(d.scale(0.3, 3))
		}
		longest := mean
		if d.chance(0.25) { // hits and misses: the mean stays
			c.Hits = digits(d.between(0.3, 0.95))
			ratio := d.scale(0.001, 0.1)
			longest = mean / (c.Hits*ratio + 1 - c.Hits)
			c.HitWork = max(round(time.Duration(ratio*longest*float64(time.Second))), time.Microsecond)
		}
		c.Work = max(round(time.Duration(longest*float64(time.Second))), time.Microsecond)
		if d.chance(0.2) {
			c.Wait = d.time(time.Millisecond, 200*time.Millisecond)
		}
		if d.chance(0.35) {
			c.Effect, c.Worth = balancer.NonIdempotent, float64(1+d.IntN(10))
		}
		usual := time.Duration(3*longest*float64(time.Second)) + c.Wait + 20*s.Delay + 20*time.Millisecond
		c.Deadline = max(d.time(2*usual, 20*usual).Truncate(time.Millisecond), 100*time.Millisecond)
		c.Aim = max(round(time.Duration(d.between(0.3, 1)*float64(c.Deadline))), time.Millisecond)
		s.Classes = append(s.Classes, c)
	}
}

// load sets how much is asked, and for how long.
func (d drawer) load(b *Bounds, e *experiment.Experiment, capacity, work float64) {
	l := &e.Load
	share := d.between(b.Load.Least, min(0.9, b.Load.Most))
	if d.chance(0.25) {
		share = d.between(min(0.9, b.Load.Most), b.Load.Most)
	}
	l.Rate = share * capacity
	if d.chance(b.Quiet) {
		l.Rate = min(l.Rate, d.scale(0.05, 1)*float64(e.Site.Balancers))
	}
	e.Duration = max(d.time(b.Duration.Least, b.Duration.Most), round(time.Duration(min(20*work, 120)*float64(time.Second))))
	l.Rate = min(max(l.Rate, b.Rate.Least), b.Rate.Most, float64(b.Requests)/b.Duration.Least.Seconds())
	if most := float64(b.Requests) / l.Rate; e.Duration.Seconds() > most {
		e.Duration = max(round(time.Duration(most*float64(time.Second))), b.Duration.Least)
	}
	if least := leastRequests / l.Rate; e.Duration.Seconds() < least {
		e.Duration = min(round(time.Duration(least*float64(time.Second))), max(longestPlay, e.Duration))
	}
	l.Rate, l.Process = max(digits(l.Rate), 0.01), "poisson"
	if d.chance(0.2) {
		l.Process = "steady"
	}
	l.Clients = experiment.Clients{PatienceLeast: digits(d.between(0.5, 1)), Retries: d.IntN(3), Heed: d.chance(0.5)}
	if l.Clients.Retries > 0 && d.chance(0.7) {
		l.Clients.RetryWait = d.time(50*time.Millisecond, time.Second)
	}
	if d.chance(0.2) {
		l.Clients.Leave = digits(d.between(0, 0.05))
	}
}

// fault adds something that goes wrong.
func (d drawer) fault(e *experiment.Experiment, kind string) {
	length := float64(e.Duration)
	at, last := round(time.Duration(d.between(0.05, 0.6)*length)), round(time.Duration(d.between(0.05, 0.35)*length))
	tier := e.Site.Tiers[d.IntN(len(e.Site.Tiers))]
	part := digits(d.scale(min(1/float64(tier.Boxes), 0.9), 1))
	f := experiment.Fault{Kind: experiment.FaultKind(kind), At: at, For: last, Tier: tier.Name, Part: part, Size: 1, Period: time.Second, Count: 1}
	switch f.Kind {
	case step:
		e.Load.Steps = append(e.Load.Steps, experiment.Step{At: at, Factor: digits(d.scale(1.3, 5))}, experiment.Step{At: at + last, Factor: 1})
		return
	case flap:
		f.Kind, f.For = experiment.Crash, max(f.For/8, time.Millisecond)
		for range 3 {
			e.Faults = append(e.Faults, f)
			f.At += 2 * f.For
		}
	case silentCrash:
		f.Kind = experiment.Crash
		e.Faults = append(e.Faults, experiment.Fault{Kind: experiment.RosterSilent, At: max(at-e.Site.Roster.Delay-e.Site.Roster.Spread, 0),
			For: last + 2*e.Site.Roster.Delay + e.Site.Roster.Spread, Part: 1, Size: 1, Period: time.Second, Count: 1})
	case experiment.FastErrors:
		f.Size = digits(d.between(0.2, 1))
	case experiment.Neighbour:
		f.Size, f.Period = digits(d.between(0.3, 0.9)), d.time(time.Second, 5*time.Second)
	case experiment.SharedSlow:
		f.Size, f.Tier, f.Part = digits(d.between(1.2, 3)), "", 1
	case experiment.Deploy:
		f.Size, f.Period = digits(d.scale(0.05, 0.5)), d.time(500*time.Millisecond, 5*time.Second)
	case experiment.BreakBefore, experiment.BreakAfter, experiment.BreakAnswer, experiment.GarbleAnswer:
		f.Size = digits(d.scale(0.05, 1))
	case experiment.SlowAnswer:
		f.Period = d.time(5*time.Millisecond, 2*time.Second)
	case experiment.RosterLate:
		f.Period = d.time(time.Second, 10*time.Second)
	}
	e.Faults = append(e.Faults, f)
}
