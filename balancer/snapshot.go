package balancer

// Learned state: what a Balancer passes to that of a successor, which would otherwise have to learn
// it again. No decision is made in this file.

import (
	"maps"
	"math"
	"slices"
	"time"
)

// LearnedState is what a Balancer has learned. It holds no instants: clocks differ from process to
// process.
//
// The tags here and below are the names in stored snapshots, which outlive a change of the names in
// the code.
type LearnedState struct {
	Latencies        []LearnedLatency  `json:"Works"`
	Kinds            []LearnedKind     `json:"Kinds"`
	Endpoints        []LearnedEndpoint `json:"Endpoints"`
	ConcurrencyLimit float64           `json:"Room"`      // attempts that may be in flight
	RecentRequests   float64           `json:"Calls"`     // decayed count of requests, as of now
	LongTermRequests float64           `json:"LongCalls"` // the same over the latest minutes
	Age              time.Duration     `json:"For"`       // since the Balancer's start
}

// LearnedLatency is the learned latency of requests of one kind of work.
type LearnedLatency struct {
	Name            string        `json:"Name"`
	BaselineLatency float64       `json:"Calm"` // seconds, without load
	MeanLatency     float64       `json:"Mean"` // seconds, recently
	Samples         float64       `json:"Samples"`
	Age             time.Duration `json:"For"` // since the first response
}

// LearnedKind is the weight of the endpoints of one kind.
type LearnedKind struct {
	Name    string  `json:"Name"`
	Weight  float64 `json:"W"` // mean latency ratio
	Samples float64 `json:"Samples"`
}

// LearnedEndpoint is how one endpoint compares with its kind.
type LearnedEndpoint struct {
	ID       string  `json:"ID"`
	Sum      float64 `json:"Sum"`      // of its samples, decayed, as of now
	Samples  float64 `json:"Samples"`  // as of now
	Errors   float64 `json:"Errors"`   // among the recent outcomes
	Outcomes float64 `json:"Outcomes"` // decayed count, as of now
	Active   bool    `json:"Active"`
}

// maxLearnedNumber is beyond anything that a Balancer can learn.
const maxLearnedNumber = 1e12

// areValid reports whether a Balancer can have learned such numbers. Others, from a damaged file,
// must not be restored.
func areValid(numbers ...float64) bool {
	for _, n := range numbers {
		if math.IsNaN(n) || n < 0 || n > maxLearnedNumber {
			return false
		}
	}
	return true
}

// sampleDecay returns the share of a sample that is retained after some time.
func sampleDecay(elapsed time.Duration) float64 { return decay(max(elapsed, 0), sampleMemory) }

// LearnedState returns what has been learned by now.
func (b *Balancer) LearnedState(now time.Duration) LearnedState {
	l := LearnedState{
		ConcurrencyLimit: b.limiter.limit,
		RecentRequests:   b.rate.recent * sampleDecay(now-b.rate.updatedAt),
		LongTermRequests: b.rate.longTerm * decay(now-b.rate.updatedAt, longTermRateMemory),
		Age:              now - b.rate.startedAt,
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

// learned returns what has been learned of the endpoint by now.
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

// Restore restores the learned state of another Balancer as it was before the given age, as far
// as this one has learned nothing itself. It is meant to follow the first EndpointList. Endpoints
// that warm up or have been used are left alone. Endpoints that were ejected wait for a trial,
// unless that would leave none active.
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
		b.limiter.limit = max(l.ConcurrencyLimit, b.endpointsPerInstance(b.fleetCount()))
	}
}

// restoreLatency restores the latency of requests of one kind of work.
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

// isValid reports whether a Balancer can have learned such numbers.
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

// restoreRate restores the rate of requests. Without it a successor would take itself for a very
// quiet instance, and would delay the trials of new endpoints accordingly.
func (b *Balancer) restoreRate(now time.Duration, l LearnedState, age time.Duration) {
	if l.Age <= 0 || !areValid(l.RecentRequests, l.LongTermRequests) || now-b.rate.startedAt > l.Age {
		return
	}
	b.rate.recent += l.RecentRequests * sampleDecay(age)
	b.rate.longTerm += l.LongTermRequests * decay(age, longTermRateMemory)
	b.rate.startedAt = now - l.Age
}

// isValid reports whether a Balancer can have learned such numbers.
func (l LearnedEndpoint) isValid() bool { return areValid(l.Sum, l.Samples, l.Errors, l.Outcomes) }

// mayRestore reports whether learned state applies to an endpoint: it is warm and was not used yet.
func (b *Balancer) mayRestore(now time.Duration, e *endpoint) bool {
	return e.State == Ready && e.samples.count == 0 && b.isWarm(now, e)
}

// restoreEndpoints restores how endpoints compare with their kinds, and which were ejected.
func (b *Balancer) restoreEndpoints(now time.Duration, learned []LearnedEndpoint, age time.Duration) {
	retained := sampleDecay(age)
	active := len(b.activeHeap.endpoints)
	for _, l := range learned {
		e := b.byID[l.ID]
		if e == nil || !l.isValid() || !b.mayRestore(now, e) {
			continue
		}
		e.samples = sampleMean{sum: l.Sum * retained, count: l.Samples * retained, updatedAt: now}
		errors := min(l.Errors, l.Outcomes) // older snapshots have no outcomes
		b.setOutcomes(now, e, outcomeCounts{errors: errors, total: l.Outcomes}.times(retained))
		b.updateHeaps(e)
		if !l.Active && e.active && e.inSubset && active > 1 {
			active--
			b.eject(now, e, InactiveSlow)
		}
	}
}
