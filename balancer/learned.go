package balancer

// What a Balancer hands on to a successor, which begins where it stood instead of with no knowledge. No decision is made in
// this file.

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Learned is what a Balancer has learned. It holds no instants: clocks differ from process to process.
//
// The tags here and below are the names in stored snapshots, which outlive a change of the names in the code.
type Learned struct {
	Works     []LearnedWork     `json:"Works"`
	Kinds     []LearnedKind     `json:"Kinds"`
	Endpoints []LearnedEndpoint `json:"Endpoints"`
	Room      float64           `json:"Room"`  // calls that may be out
	Calls     float64           `json:"Calls"` // requests of late, and of the latest minutes, faded
	LongCalls float64           `json:"LongCalls"`
	For       time.Duration     `json:"For"` // since the first of all
}

// LearnedWork is what calls of one kind of work take.
type LearnedWork struct {
	Name    string        `json:"Name"`
	Calm    float64       `json:"Calm"` // seconds
	Mean    float64       `json:"Mean"` // seconds
	Samples float64       `json:"Samples"`
	For     time.Duration `json:"For"` // since the first answer
}

// LearnedKind is what the endpoints of one kind show.
type LearnedKind struct {
	Name    string  `json:"Name"`
	W       float64 `json:"W"`
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

// Learned gives what has been learned by now.
func (b *Balancer) Learned(now time.Duration) Learned {
	gone := (now - b.callsAt).Seconds()
	l := Learned{Room: b.room, Calls: b.calls * fadedBy(now-b.callsAt), LongCalls: b.slow * math.Exp(-gone/rateMemory.Seconds()),
		For: now - b.started}
	for _, w := range b.works {
		if w.samples > 0 {
			l.Works = append(l.Works, LearnedWork{Name: w.name, Calm: w.calm, Mean: w.mean, Samples: w.samples, For: now - w.since})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.kinds)) {
		if k := b.kinds[name]; k.samples > 0 {
			l.Kinds = append(l.Kinds, LearnedKind{Name: name, W: k.w, Samples: k.samples})
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
func (b *Balancer) recallRate(now time.Duration, l Learned, ago time.Duration) {
	if l.For <= 0 || !sane(l.Calls, l.LongCalls) || now-b.started > l.For {
		return
	}
	b.calls += l.Calls * fadedBy(ago)
	b.slow += l.LongCalls * math.Exp(-ago.Seconds()/rateMemory.Seconds())
	b.started = now - l.For
}

// Recall takes up what another Balancer had learned so long ago, as far as this one has learned nothing of it. It is meant to
// follow the first EndpointList. What is cold, or has been used, stays as it is; endpoints that were dropped wait for a trial,
// unless that would leave none.
func (b *Balancer) Recall(now time.Duration, l Learned, ago time.Duration) {
	for _, in := range l.Works {
		for _, w := range b.works {
			if w.name == in.Name && w.samples == 0 && in.Calm > 0 && sane(in.Calm, in.Mean, in.Samples) && in.For >= 0 {
				w.calm, w.mean, w.samples, w.since, w.at = in.Calm, in.Mean, in.Samples, max(now-in.For, 0), now
			}
		}
	}
	for _, in := range l.Kinds {
		if k := b.kinds[in.Name]; k != nil && k.samples == 0 && in.W > 0 && sane(in.W, in.Samples) {
			k.w, k.samples = in.W, in.Samples
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
			b.drop(now, e, OutSlow)
		}
	}
	if l.Room > 0 && sane(l.Room) && b.out == 0 {
		b.room = max(l.Room, b.share(b.known+b.others))
	}
}
