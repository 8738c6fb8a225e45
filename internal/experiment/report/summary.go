package report

import (
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rowancart/internal/experiment"
	"rowancart/internal/experiment/counters"
)

// Summarise returns the results of an experiment's variants, in its order, from the plays of one
// point.
func Summarise(e *experiment.Experiment, runs []Run) []Variant {
	var out []Variant
	for _, variant := range e.Variants {
		v := Variant{Name: variant.Name, Policy: variant.Policy}
		v.classes = make([]counters.Counts, len(e.Site.Classes))
		v.tenants = make([]counters.Counts, len(e.Site.Tenants))
		for _, run := range runs {
			if run.Variant.Name == variant.Name {
				v.addRun(run)
			}
		}
		v.finish(e)
		out = append(out, v)
	}
	return out
}

// addRun adds one play. A void one is listed among the repeats and counts for nothing else.
func (v *Variant) addRun(run Run) {
	v.Repeats = append(v.Repeats, newRepeat(run))
	v.LatenessMs = max(v.LatenessMs, milliseconds(run.Lateness))
	if run.Void != "" {
		return
	}
	v.addCounts(run.Counters)
	v.addReasons(run.Counters)
	v.addVerdicts(run)
	v.addSeconds(run.Counters)
	v.addServers(run.Counters)
	if v.latency == nil {
		v.setFirstRun(run)
	}
	v.latency.Merge(run.Counters.Latency)
	v.addCost(run.Cost)
}

func newRepeat(run Run) Repeat {
	r := Repeat{Seed: run.Seed, Void: run.Void}
	if c := run.Counters; c != nil {
		r.Offered = c.Total.Offered()
		r.ServedInTime, r.ServedLate = c.Total.Fraction(counters.ServedInTime), c.Total.Fraction(counters.ServedLate)
		r.Rejected, r.Failed = c.Total.Fraction(counters.Rejected), c.Total.Fraction(counters.Failed)
		r.ServedWeight = ratio(c.ServedWeight, c.OfferedWeight)
		r.AttemptsPerRequest = ratio(float64(c.Attempts), float64(c.Requests))
		r.P50, r.P99 = milliseconds(c.Quantile(0.5)), milliseconds(c.Quantile(0.99))
	}
	return r
}

// addCounts adds what finish needs.
func (v *Variant) addCounts(c *counters.Counters) {
	v.total.Add(c.Total)
	for i := range v.classes {
		v.classes[i].Add(c.Classes[i])
	}
	for i := range v.tenants {
		v.tenants[i].Add(c.Tenants[i])
	}
	v.requests += c.Requests
	v.attempts += c.Attempts
	v.requestsSent += c.RequestsSent
	v.offeredWeight += c.OfferedWeight
	v.servedWeightSum += c.ServedWeight
}

func (v *Variant) addReasons(c *counters.Counters) {
	for reason, n := range c.Reasons {
		if v.Reasons == nil {
			v.Reasons = Reasons{}
		}
		v.Reasons[reason] += n
	}
}

// addVerdicts adds a play's verdicts, which all plays have in the same order.
func (v *Variant) addVerdicts(run Run) {
	for i, verdict := range run.Verdicts {
		if i == len(v.Rules) {
			v.Rules = append(v.Rules, Rule{Rule: string(verdict.Rule)})
		}
		if verdict.Violations == 0 {
			continue
		}
		rule := &v.Rules[i]
		if rule.Violations == 0 || verdict.FirstAt.Seconds() < rule.FirstS {
			rule.FirstS, rule.Detail = verdict.FirstAt.Seconds(), verdict.Detail
		}
		rule.Violations += verdict.Violations
	}
}

func (v *Variant) addSeconds(c *counters.Counters) {
	for i, counts := range c.Seconds {
		if i == len(v.Seconds) {
			v.Seconds = append(v.Seconds, Second{})
		}
		s := &v.Seconds[i]
		s.ServedInTime += counts[counters.ServedInTime]
		s.ServedLate += counts[counters.ServedLate]
		s.Rejected += counts[counters.Rejected]
		s.Failed += counts[counters.Failed]
		s.P99 += (milliseconds(c.P99OfSecond(i)) - s.P99) / float64(len(v.Repeats))
	}
}

// addServers adds what became of servers that were added during a play.
func (v *Variant) addServers(c *counters.Counters) {
	for _, s := range c.Servers {
		if !s.AddedDuringRun {
			continue
		}
		if v.AddedServers == nil {
			v.AddedServers = &AddedServers{}
		}
		added := v.AddedServers
		added.Servers++
		added.WarmupPeak = max(added.WarmupPeak, s.WarmupPeak)
		if s.WarmupPeak > 1 {
			added.Overloaded++
		}
		if s.TimeToFullLoad > 0 {
			v.timesToFullLoad = append(v.timesToFullLoad, s.TimeToFullLoad.Seconds())
			slices.Sort(v.timesToFullLoad)
			added.TimeToFullLoadS = v.timesToFullLoad[len(v.timesToFullLoad)/2]
		}
	}
}

// setFirstRun sets what is shown of the first play only.
func (v *Variant) setFirstRun(run Run) {
	latency := run.Counters.Latency
	v.latency = hdrhistogram.New(latency.LowestTrackableValue(), latency.HighestTrackableValue(), 3)
	v.Log = run.Log
	for _, s := range run.Counters.Servers {
		load := ratio(s.Busy, s.Lifetime.Seconds()*float64(s.Cores))
		v.Servers = append(v.Servers, Server{s.Name, s.Kind, s.Arrivals, s.Rejected, load})
	}
}

func (v *Variant) addCost(c *Cost) {
	if c == nil {
		return
	}
	if v.Cost == nil {
		v.Cost = &Cost{}
	}
	v.Cost.CPUSeconds += c.CPUSeconds
	v.Cost.MemoryMB = max(v.Cost.MemoryMB, c.MemoryMB)
	v.Cost.Descriptors = max(v.Cost.Descriptors, c.Descriptors)
}

// finish sets what is derived from the sums over all plays.
func (v *Variant) finish(e *experiment.Experiment) {
	v.Offered = v.total.Offered()
	v.ServedInTime, v.ServedLate = v.total[counters.ServedInTime], v.total[counters.ServedLate]
	v.Rejected, v.Failed = v.total[counters.Rejected], v.total[counters.Failed]
	v.ServedWeight = ratio(v.servedWeightSum, v.offeredWeight)
	v.AttemptsPerRequest = ratio(float64(v.attempts), float64(v.requests))
	if v.requestsSent > 0 {
		v.RetriesPerRequest = ratio(float64(v.attempts-v.requestsSent), float64(v.requests))
	}
	if v.latency != nil {
		v.LatencyMs = Latency{percentile(v.latency, 50), percentile(v.latency, 90), percentile(v.latency, 99),
			percentile(v.latency, 99.9)}
	}
	for i, c := range e.Site.Classes {
		v.Classes = append(v.Classes, newGroup(c.Name, v.classes[i]))
	}
	for i, t := range e.Site.Tenants {
		v.Tenants = append(v.Tenants, newGroup(t.Name, v.tenants[i]))
	}
	if v.Cost != nil {
		v.Cost.CPUPerReqUs = ratio(v.Cost.CPUSeconds*1e6, float64(v.requests))
	}
}

func newGroup(name string, c counters.Counts) Group {
	return Group{name, c.Offered(), c[counters.ServedInTime], c[counters.ServedLate], c[counters.Rejected],
		c[counters.Failed]}
}

// percentile returns a percentile of a histogram of microseconds, in milliseconds.
func percentile(h *hdrhistogram.Histogram, p float64) float64 {
	return float64(h.ValueAtQuantile(p)) / 1000
}
