package balancer

// What a Balancer hands on to a successor, which begins where it stood instead of with no knowledge. No decision is made in
// this file.

import (
	"maps"
	"math"
	"slices"
	"time"
)

// LearnedState is what a Balancer has learned. It holds no instants: clocks differ from process to process.
//
// The tags here and below are the names in stored snapshots, which outlive a change of the names in the code.
type LearnedState struct {
	Works              []LearnedWork     `json:"Works"`
	Kinds              []LearnedKind     `json:"Kinds"`
	Endpoints          []LearnedEndpoint `json:"Endpoints"`
	ConcurrencyLimit   float64           `json:"Room"`  // calls that may be out
	RecentRequests     float64           `json:"Calls"` // requests of late, and of the latest minutes, faded
	SlowRecentRequests float64           `json:"LongCalls"`
	Age                time.Duration     `json:"For"` // since the first of all
}

// LearnedWork is what calls of one kind of work take.
type LearnedWork struct {
	Name            string        `json:"Name"`
	BaselineLatency float64       `json:"Calm"` // seconds
	MeanLatency     float64       `json:"Mean"` // seconds
	Samples         float64       `json:"Samples"`
	Age             time.Duration `json:"For"` // since the first answer
}

// LearnedKind is what the endpoints of one kind show.
type LearnedKind struct {
	Name    string  `json:"Name"`
	Weight  float64 `json:"W"`
	Samples float64 `json:"Samples"`
}

// LearnedEndpoint is how one endpoint compares with its kind.
type LearnedEndpoint struct {
	ID       string  `json:"ID"`
	Sum      float64 `json:"Sum"`      // as of now
	Samples  float64 `json:"Samples"`  // as of now
	Errors   float64 `json:"Errors"`   // of late, of
	Outcomes float64 `json:"Outcomes"` // these
	Active   bool    `json:"Active"`
}

// sane tells whether numbers are such as a Balancer can have: no others must come in from a file.
func sane(numbers ...float64) bool {
	for _, n := range numbers {
		if math.IsNaN(n) || n < 0 || n > 1e12 {
			return false
		}
	}
	return true
}

// fadedBy is what is left of a sample after some time.
func fadedBy(d time.Duration) float64 { return math.Exp(-max(d, 0).Seconds() / memory.Seconds()) }

// LearnedState gives what has been learned by now.
func (b *Balancer) LearnedState(now time.Duration) LearnedState {
	gone := (now - b.callsAt).Seconds()
	l := LearnedState{ConcurrencyLimit: b.room, RecentRequests: b.calls * fadedBy(now-b.callsAt), SlowRecentRequests: b.slow * math.Exp(-gone/rateMemory.Seconds()),
		Age: now - b.started}
	for _, w := range b.works {
		if w.samples > 0 {
			l.Works = append(l.Works, LearnedWork{Name: w.name, BaselineLatency: w.calm, MeanLatency: w.mean, Samples: w.samples, Age: now - w.since})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.kinds)) {
		if k := b.kinds[name]; k.samples > 0 {
			l.Kinds = append(l.Kinds, LearnedKind{Name: name, Weight: k.w, Samples: k.samples})
		}
	}
	for _, e := range b.endpoints {
		if e.State == Ready && b.warmth(now, e) == 1 {
			left := fadedBy(now - e.sampledAt)
			l.Endpoints = append(l.Endpoints, LearnedEndpoint{ID: e.ID, Sum: e.sum * left, Samples: e.samples * left, Errors: e.errors * left, Outcomes: e.all * left,
				Active: e.active})
		}
	}
	return l
}

// recallRate takes up how often requests came. A successor that does not know takes itself for the quietest of callers, and puts off the
// trials of endpoints that it hears of for as long as one would.
func (b *Balancer) recallRate(now time.Duration, l LearnedState, ago time.Duration) {
	if l.Age <= 0 || !sane(l.RecentRequests, l.SlowRecentRequests) || now-b.started > l.Age {
		return
	}
	b.calls += l.RecentRequests * fadedBy(ago)
	b.slow += l.SlowRecentRequests * math.Exp(-ago.Seconds()/rateMemory.Seconds())
	b.started = now - l.Age
}

// Restore takes up what another Balancer had learned so long ago, as far as this one has learned nothing of it. It is meant to
// follow the first EndpointList. What is cold, or has been used, stays as it is; endpoints that were dropped wait for a trial,
// unless that would leave none.
func (b *Balancer) Restore(now time.Duration, l LearnedState, ago time.Duration) {
	for _, in := range l.Works {
		for _, w := range b.works {
			if w.name == in.Name && w.samples == 0 && in.BaselineLatency > 0 && sane(in.BaselineLatency, in.MeanLatency, in.Samples) && in.Age >= 0 {
				w.calm, w.mean, w.samples, w.since, w.at = in.BaselineLatency, in.MeanLatency, in.Samples, max(now-in.Age, 0), now
			}
		}
	}
	for _, in := range l.Kinds {
		if k := b.kinds[in.Name]; k != nil && k.samples == 0 && in.Weight > 0 && sane(in.Weight, in.Samples) {
			k.w, k.samples = in.Weight, in.Samples
			for _, e := range b.endpoints {
				if e.kind == k {
					b.place(e)
				}
			}
		}
	}
	b.recallRate(now, l, ago)
	b.retime(now, true)
	left, active := fadedBy(ago), len(b.turns.list)
	for _, in := range l.Endpoints {
		e := b.byName[in.ID]
		if e == nil || e.State != Ready || e.samples > 0 || b.warmth(now, e) < 1 || !sane(in.Sum, in.Samples, in.Errors, in.Outcomes) {
			continue
		}
		e.sum, e.samples, e.sampledAt = in.Sum*left, in.Samples*left, now
		b.tell(e, outcomes{min(in.Errors, in.Outcomes) * left, in.Outcomes * left}) // older snapshots have no outcomes
		e.notedAt = now
		if b.place(e); !in.Active && e.active && e.in && active > 1 {
			active--
			b.drop(now, e, InactiveSlow)
		}
	}
	if l.ConcurrencyLimit > 0 && sane(l.ConcurrencyLimit) && b.out == 0 {
		b.room = max(l.ConcurrencyLimit, b.share(b.known+b.others))
	}
}
