package report

import (
	"rowancart/internal/experiment"
	"rowancart/internal/experiment/counters"
)

// Summarise returns the results of an experiment's variants, in the order of the experiment, from
// the runs of one point.
func Summarise(e *experiment.Experiment, runs []Run) []Variant {
	var out []Variant
	for _, variant := range e.Variants {
		v := Variant{Name: variant.Name, Policy: variant.Policy, totals: newTotals(&e.Site)}
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

// addRun adds one run. A void run is listed in Runs and counts for LatenessMs, but its counters are
// not added to the results.
func (v *Variant) addRun(run Run) {
	v.Runs = append(v.Runs, newRunSummary(run))
	v.LatenessMs = max(v.LatenessMs, milliseconds(run.Lateness))
	if run.Void != "" {
		return
	}
	if v.totals.latency == nil {
		v.setFirstRun(run)
	}
	v.totals.add(run.Counters)
	v.addReasons(run.Counters)
	v.addVerdicts(run)
	v.addSeconds(run.Counters)
	v.addServers(run.Counters)
	v.addCost(run.Cost)
}

// newRunSummary returns the summary of one run.
func newRunSummary(run Run) RunSummary {
	r := RunSummary{Seed: run.Seed, Void: run.Void}
	if c := run.Counters; c != nil {
		r.Offered = c.Total.Offered()
		r.ServedInTime = c.Total.Fraction(counters.ServedInTime)
		r.ServedLate = c.Total.Fraction(counters.ServedLate)
		r.Rejected = c.Total.Fraction(counters.Rejected)
		r.Failed = c.Total.Fraction(counters.Failed)
		r.ServedWeight = ratio(c.ServedWeight, c.OfferedWeight)
		r.AttemptsPerRequest = ratio(float64(c.Attempts), float64(c.Requests))
		r.P50 = milliseconds(c.Quantile(0.5))
		r.P99 = milliseconds(c.Quantile(0.99))
	}
	return r
}

// addReasons adds a run's counts of requests that were not served, by reason.
func (v *Variant) addReasons(c *counters.Counters) {
	for reason, n := range c.Reasons {
		if v.Reasons == nil {
			v.Reasons = Reasons{}
		}
		v.Reasons[reason] += n
	}
}

// addVerdicts adds a run's verdicts. All runs have the verdicts in the same order.
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
			rule.FirstS = verdict.FirstAt.Seconds()
			rule.Detail = verdict.Detail
		}
		rule.Violations += verdict.Violations
	}
}

// addSeconds adds a run's counts by second.
func (v *Variant) addSeconds(c *counters.Counters) {
	for i, counts := range c.Seconds {
		if i == len(v.Seconds) {
			v.Seconds = append(v.Seconds, Second{})
		}
		s := &v.Seconds[i]
		s.Outcomes = s.plus(newOutcomes(counts))
		s.P99 += (milliseconds(c.P99OfSecond(i)) - s.P99) / float64(len(v.Runs))
	}
}

// addServers adds the results of the servers that were added during a run.
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
			v.totals.addTimeToFullLoad(s.TimeToFullLoad.Seconds())
			added.TimeToFullLoadS = v.totals.medianTimeToFullLoad()
		}
	}
}

// setFirstRun sets the fields that describe only the first run that is not void.
func (v *Variant) setFirstRun(run Run) {
	v.Log = run.Log
	for _, s := range run.Counters.Servers {
		v.Servers = append(v.Servers, Server{
			Name:     s.Name,
			Kind:     s.Kind,
			Arrivals: s.Arrivals,
			Rejected: s.Rejected,
			Load:     ratio(s.Busy, s.Lifetime.Seconds()*float64(s.Cores)),
		})
	}
}

// addCost adds the resources that the programs under test used in a run.
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

// finish sets the fields that are derived from the totals.
func (v *Variant) finish(e *experiment.Experiment) {
	t := &v.totals
	v.Offered = t.outcomes.Offered()
	v.Outcomes = newOutcomes(t.outcomes)
	v.ServedWeight = ratio(t.servedWeight, t.offeredWeight)
	v.AttemptsPerRequest = t.attemptsPerRequest()
	v.RetriesPerRequest = t.retriesPerRequest()
	v.LatencyMs = t.latencyPercentiles()
	for i, c := range e.Site.Classes {
		v.Classes = append(v.Classes, newGroup(c.Name, t.classes[i]))
	}
	for i, tenant := range e.Site.Tenants {
		v.Tenants = append(v.Tenants, newGroup(tenant.Name, t.tenants[i]))
	}
	if v.Cost != nil {
		v.Cost.CPUPerReqUs = ratio(v.Cost.CPUSeconds*1e6, float64(t.requests))
	}
}

// newGroup returns the counts of a class or a tenant.
func newGroup(name string, c counters.Counts) Group {
	return Group{Name: name, Offered: c.Offered(), Outcomes: newOutcomes(c)}
}
