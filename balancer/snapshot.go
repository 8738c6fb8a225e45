package balancer

// Learned state, which a process passes on to its successor so that the successor's Balancer need
// not learn it again. This file makes no load-balancing decisions.

import (
	"maps"
	"math"
	"slices"
	"time"
)

// LearnedState is what a Balancer has learned: about each kind of work, each kind of endpoint and
// each endpoint. It contains ages instead of instants, because the clocks of two processes differ.
//
// The JSON tags of this and the other learned types are the names in stored snapshots. They must
// not change when fields are renamed.
type LearnedState struct {
	Latencies        []LearnedLatency  `json:"Works"`
	Kinds            []LearnedKind     `json:"Kinds"`
	Endpoints        []LearnedEndpoint `json:"Endpoints"`
	ConcurrencyLimit float64           `json:"Room"`      // limit on the number of attempts in flight
	RecentRequests   float64           `json:"Calls"`     // decayed count of recent requests, as of the time of the state
	LongTermRequests float64           `json:"LongCalls"` // the same over the last minutes
	Age              time.Duration     `json:"For"`       // time since the start of the Balancer
}

// LearnedLatency is the learned latency of one kind of work, from a number of responses (Samples).
type LearnedLatency struct {
	Name            string        `json:"Name"`
	BaselineLatency float64       `json:"Calm"` // latency without load, in seconds
	MeanLatency     float64       `json:"Mean"` // recent mean latency, in seconds
	Samples         float64       `json:"Samples"`
	Age             time.Duration `json:"For"` // time since the first response
}

// LearnedKind is the weight of one kind of endpoint, from a number of responses (Samples).
type LearnedKind struct {
	Name    string  `json:"Name"`
	Weight  float64 `json:"W"` // mean latency ratio
	Samples float64 `json:"Samples"`
}

// LearnedEndpoint describes how one endpoint compares with its kind. Its sum and counts are
// decayed, as of the time of the state.
type LearnedEndpoint struct {
	ID       string  `json:"ID"`
	Sum      float64 `json:"Sum"`      // sum of its samples: latency ratios divided by the weight of its kind
	Samples  float64 `json:"Samples"`  // count of its samples
	Errors   float64 `json:"Errors"`   // count of errors among its outcomes
	Outcomes float64 `json:"Outcomes"` // count of its outcomes
	Active   bool    `json:"Active"`
}

// maxLearnedNumber is above any number that a Balancer can learn.
const maxLearnedNumber = 1e12

// areValid reports whether a Balancer can have learned the numbers. Other numbers come from a
// damaged file and must not be restored.
func areValid(numbers ...float64) bool {
	for _, n := range numbers {
		if math.IsNaN(n) || n < 0 || n > maxLearnedNumber {
			return false
		}
	}
	return true
}

// sampleDecay returns the share of a sample that is retained after the elapsed time. A negative
// time counts as 0.
func sampleDecay(elapsed time.Duration) float64 { return decay(max(elapsed, 0), sampleMemory) }

// LearnedState returns what the Balancer has learned. It includes only endpoints that are ready and
// warm.
func (b *Balancer) LearnedState(now time.Duration) LearnedState {
	l := LearnedState{
		ConcurrencyLimit: b.limiter.limit,
		RecentRequests:   b.requestRate.recent * sampleDecay(now-b.requestRate.updatedAt),
		LongTermRequests: b.requestRate.longTerm * decay(now-b.requestRate.updatedAt, longTermRateMemory),
		Age:              now - b.requestRate.startedAt,
	}
	for _, e := range b.latencies {
		if e.samples > 0 {
			l.Latencies = append(l.Latencies, LearnedLatency{Name: e.work, BaselineLatency: e.baseline, MeanLatency: e.mean,
				Samples: e.samples, Age: now - e.firstAt})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.kindByName)) {
		if k := b.kindByName[name]; k.samples > 0 {
			l.Kinds = append(l.Kinds, LearnedKind{Name: name, Weight: k.weight, Samples: k.samples})
		}
	}
	for _, e := range b.endpoints {
		if e.State == Ready && b.isWarm(now, e) {
			l.Endpoints = append(l.Endpoints, e.learned(now))
		}
	}
	return l
}

// learned returns what has been learned about the endpoint.
func (e *endpoint) learned(now time.Duration) LearnedEndpoint {
	retained := sampleDecay(now - e.samples.updatedAt)
	return LearnedEndpoint{
		ID:       e.ID,
		Sum:      e.samples.sum * retained,
		Samples:  e.samples.count * retained,
		Errors:   e.outcomes.errors * retained,
		Outcomes: e.outcomes.total * retained,
		Active:   e.active,
	}
}

// Restore restores the learned state of another Balancer, saved the given age ago. It is meant to
// be called after the first EndpointList.
//
// Kinds of work, kinds and endpoints for which this Balancer has samples keep their own state.
// Warming endpoints get no samples, but their first trials are rescheduled by the restored rate.
// The request counts are added to this Balancer's own, and the concurrency limit is replaced if no
// attempt is in flight. Endpoints that were inactive are ejected until a trial succeeds, except the
// last active one.
func (b *Balancer) Restore(now time.Duration, l LearnedState, age time.Duration) {
	for _, latency := range l.Latencies {
		b.restoreLatency(now, latency)
	}
	for _, kind := range l.Kinds {
		b.restoreKind(kind)
	}
	b.restoreRate(now, l, age)
	b.rescheduleFirstTrials(now)
	b.restoreEndpoints(now, l.Endpoints, age)
	if l.ConcurrencyLimit > 0 && areValid(l.ConcurrencyLimit) && b.limiter.inFlight == 0 {
		b.limiter.limit = max(l.ConcurrencyLimit, b.endpointsPerInstance(b.totalEndpointCount()))
	}
}

// restoreLatency restores the latency of one kind of work.
func (b *Balancer) restoreLatency(now time.Duration, learned LearnedLatency) {
	e := findLatency(b.latencies, learned.Name)
	if e == nil || e.samples != 0 || !learned.isValid() {
		return
	}
	e.baseline = learned.BaselineLatency
	e.mean = learned.MeanLatency
	e.samples = learned.Samples
	e.firstAt = max(now-learned.Age, 0)
	e.updatedAt = now
}

// isValid reports whether a Balancer can have learned these numbers.
func (l LearnedLatency) isValid() bool {
	return areValid(l.BaselineLatency, l.MeanLatency, l.Samples) && l.BaselineLatency > 0 && l.Age >= 0
}

// restoreKind restores the weight of the endpoints of one kind.
func (b *Balancer) restoreKind(kind LearnedKind) {
	k := b.kindByName[kind.Name]
	if k == nil || k.samples != 0 || kind.Weight <= 0 || !areValid(kind.Weight, kind.Samples) {
		return
	}
	k.weight = kind.Weight
	k.samples = kind.Samples
	for _, e := range b.endpoints {
		if e.kind == k {
			b.updateHeaps(e)
		}
	}
}

// restoreRate restores the request rate. Without it, a successor would behave like an instance
// that gets hardly any requests, and would delay the trials of new endpoints accordingly.
func (b *Balancer) restoreRate(now time.Duration, l LearnedState, age time.Duration) {
	if l.Age <= 0 || !areValid(l.RecentRequests, l.LongTermRequests) || now-b.requestRate.startedAt > l.Age {
		return
	}
	b.requestRate.recent += l.RecentRequests * sampleDecay(age)
	b.requestRate.longTerm += l.LongTermRequests * decay(age, longTermRateMemory)
	b.requestRate.startedAt = now - l.Age
}

// isValid reports whether a Balancer can have learned these numbers.
func (l LearnedEndpoint) isValid() bool { return areValid(l.Sum, l.Samples, l.Errors, l.Outcomes) }

// mayRestore reports whether learned state applies to an endpoint: it is ready and warm and has no
// samples yet.
func (b *Balancer) mayRestore(now time.Duration, e *endpoint) bool {
	return e.State == Ready && e.samples.count == 0 && b.isWarm(now, e)
}

// restoreEndpoints restores the samples and outcomes of endpoints, and ejects those that were
// inactive.
func (b *Balancer) restoreEndpoints(now time.Duration, learned []LearnedEndpoint, age time.Duration) {
	retained := sampleDecay(age)
	active := len(b.activeHeap.endpoints)
	for _, l := range learned {
		e := b.byID[l.ID]
		if e == nil || !l.isValid() || !b.mayRestore(now, e) {
			continue
		}
		e.samples = sampleMean{sum: l.Sum * retained, count: l.Samples * retained, updatedAt: now}
		errors := min(l.Errors, l.Outcomes) // older snapshots have errors but no outcomes
		b.setOutcomes(now, e, outcomeCounts{errors: errors, total: l.Outcomes}.times(retained))
		b.updateHeaps(e)
		if !l.Active && e.active && e.inSubset && active > 1 {
			active--
			b.eject(now, e, InactiveSlow)
		}
	}
}
