package balancer

// Learned state: what a Balancer hands on to a successor, which would otherwise begin with no
// knowledge. No decision is made in this file.

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
	Works              []LearnedWork     `json:"Works"`
	Kinds              []LearnedKind     `json:"Kinds"`
	Endpoints          []LearnedEndpoint `json:"Endpoints"`
	ConcurrencyLimit   float64           `json:"Room"`      // attempts that may be in flight
	RecentRequests     float64           `json:"Calls"`     // decayed count of requests, as of now
	SlowRecentRequests float64           `json:"LongCalls"` // the same over the latest minutes
	Age                time.Duration     `json:"For"`       // since the Balancer's start
}

// LearnedWork is what requests of one kind of work take.
type LearnedWork struct {
	Name            string        `json:"Name"`
	BaselineLatency float64       `json:"Calm"` // seconds, without load
	MeanLatency     float64       `json:"Mean"` // seconds, recently
	Samples         float64       `json:"Samples"`
	Age             time.Duration `json:"For"` // since the first response
}

// LearnedKind is what the endpoints of one kind show.
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

// areValid reports whether a Balancer can have learned such numbers. Others must not come in from a
// file.
func areValid(numbers ...float64) bool {
	for _, n := range numbers {
		if math.IsNaN(n) || n < 0 || n > maxLearnedNumber {
			return false
		}
	}
	return true
}

// sampleDecay returns what is left of a sample after some time.
func sampleDecay(elapsed time.Duration) float64 { return decay(max(elapsed, 0), sampleMemory) }

// LearnedState returns what has been learned by now.
func (b *Balancer) LearnedState(now time.Duration) LearnedState {
	l := LearnedState{
		ConcurrencyLimit:   b.concurrencyLimit,
		RecentRequests:     b.rate.recent * sampleDecay(now-b.rate.updatedAt),
		SlowRecentRequests: b.rate.slow * decay(now-b.rate.updatedAt, slowRateMemory),
		Age:                now - b.rate.startedAt,
	}
	for _, e := range b.latencies {
		if e.samples > 0 {
			l.Works = append(l.Works, LearnedWork{Name: e.work, BaselineLatency: e.baseline, MeanLatency: e.mean,
				Samples: e.samples, Age: now - e.firstAt})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.kindByName)) {
		if k := b.kindByName[name]; k.samples > 0 {
			l.Kinds = append(l.Kinds, LearnedKind{Name: name, Weight: k.weight, Samples: k.samples})
		}
	}
	for _, e := range b.endpoints {
		if e.State == Ready && b.capacityShare(now, e) == 1 {
			left := sampleDecay(now - e.sampledAt)
			l.Endpoints = append(l.Endpoints, LearnedEndpoint{ID: e.ID, Active: e.active,
				Sum: e.sampleSum * left, Samples: e.sampleCount * left,
				Errors: e.outcomes.errors * left, Outcomes: e.outcomes.total * left})
		}
	}
	return l
}

// Restore takes over what another Balancer had learned by some time ago, as far as this one has
// learned nothing of it. It is meant to follow the first EndpointList. What warms up or has been
// used stays as it is; endpoints that were ejected wait for a trial, unless that would leave none
// active.
func (b *Balancer) Restore(now time.Duration, l LearnedState, ago time.Duration) {
	for _, work := range l.Works {
		b.restoreLatency(now, work)
	}
	for _, kind := range l.Kinds {
		b.restoreKind(kind)
	}
	b.restoreRate(now, l, ago)
	b.rescheduleFirstTrials(now)
	b.restoreEndpoints(now, l.Endpoints, ago)
	if l.ConcurrencyLimit > 0 && areValid(l.ConcurrencyLimit) && b.concurrency == 0 {
		b.concurrencyLimit = max(l.ConcurrencyLimit, b.endpointsPerInstance(b.listedCount+b.unlistedCount))
	}
}

// restoreLatency takes over what requests of one kind of work take.
func (b *Balancer) restoreLatency(now time.Duration, work LearnedWork) {
	valid := areValid(work.BaselineLatency, work.MeanLatency, work.Samples) && work.BaselineLatency > 0 && work.Age >= 0
	if e := findLatency(b.latencies, work.Name); valid && e != nil && e.samples == 0 {
		e.baseline, e.mean, e.samples = work.BaselineLatency, work.MeanLatency, work.Samples
		e.firstAt, e.updatedAt = max(now-work.Age, 0), now
	}
}

// restoreKind takes over what the endpoints of one kind show.
func (b *Balancer) restoreKind(kind LearnedKind) {
	k := b.kindByName[kind.Name]
	if k == nil || k.samples != 0 || kind.Weight <= 0 || !areValid(kind.Weight, kind.Samples) {
		return
	}
	k.weight, k.samples = kind.Weight, kind.Samples
	for _, e := range b.endpoints {
		if e.kind == k {
			b.updateHeaps(e)
		}
	}
}

// restoreRate takes over how often requests came. A successor without it would take itself for the
// quietest of instances, and put the trials of new endpoints off for as long as one would.
func (b *Balancer) restoreRate(now time.Duration, l LearnedState, ago time.Duration) {
	if l.Age <= 0 || !areValid(l.RecentRequests, l.SlowRecentRequests) || now-b.rate.startedAt > l.Age {
		return
	}
	b.rate.recent += l.RecentRequests * sampleDecay(ago)
	b.rate.slow += l.SlowRecentRequests * decay(ago, slowRateMemory)
	b.rate.startedAt = now - l.Age
}

// restoreEndpoints takes over how endpoints compare with their kinds, and which were ejected.
func (b *Balancer) restoreEndpoints(now time.Duration, learned []LearnedEndpoint, ago time.Duration) {
	left, active := sampleDecay(ago), len(b.activeHeap.endpoints)
	for _, l := range learned {
		e := b.byID[l.ID]
		if e == nil || e.State != Ready || e.sampleCount > 0 || b.capacityShare(now, e) < 1 ||
			!areValid(l.Sum, l.Samples, l.Errors, l.Outcomes) {
			continue
		}
		e.sampleSum, e.sampleCount, e.sampledAt = l.Sum*left, l.Samples*left, now
		errors := min(l.Errors, l.Outcomes) // older snapshots have no outcomes
		b.setOutcomes(e, outcomeCounts{errors: errors * left, total: l.Outcomes * left})
		e.outcomesAt = now
		b.updateHeaps(e)
		if !l.Active && e.active && e.inSubset && active > 1 {
			active--
			b.eject(now, e, InactiveSlow)
		}
	}
}
