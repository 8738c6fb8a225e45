// Package counters counts what became of what clients wanted: over a whole play, over time, and by class, tenant and box.
package counters

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rowancart/balancer"
	"rowancart/internal/experiment"
)

// Fate is what became of something that a client wanted, its retries included.
type Fate int

// The fates. An answer after the class's aim and before the client gave up is Late.
const (
	InTime Fate = iota
	Late
	Refused
	Failed
	fates
)

// String names the fate as reports do.
func (f Fate) String() string { return [...]string{"served_in_time", "late", "refused", "failed"}[f] }

// Counts are numbers of requests by fate.
type Counts [fates]int64

// Offered is how many there were.
func (c Counts) Offered() int64 {
	var n int64
	for _, v := range c {
		n += v
	}
	return n
}

// Share is a fate's share, 0 where nothing was offered.
func (c Counts) Share(f Fate) float64 {
	if n := c.Offered(); n > 0 {
		return float64(c[f]) / float64(n)
	}
	return 0
}

// Add adds another's numbers.
func (c *Counts) Add(o Counts) {
	for i := range c {
		c[i] += o[i]
	}
}

// Box is what one box did.
type Box struct {
	Name, Kind string
	Arrivals   int64
	Declined   int64
	Busy       float64 // core seconds
	Cores      int
	Up         time.Duration // for how long it was there

	Fresh bool          // it came cold while the play went on
	Peak  float64       // most work that it was sent within the ledger's window while cold, in multiples of its capacity then
	Full  time.Duration // from its coming until it got as much as the others, in virtual time; 0: never seen
}

// Tally counts one play. It is not safe for concurrent use.
type Tally struct {
	warmup   time.Duration
	Total    Counts
	Classes  []Counts
	Tenants  []Counts
	Seconds  []Counts
	Boxes    []Box
	Latency  *hdrhistogram.Histogram   // of what was served, in microseconds from the intended time of sending
	perS     []*hdrhistogram.Histogram // the same by second
	Requests int64                     // that instances before the first tier took, retries included
	Attempts int64                     // that they made
	Sent     int64                     // requests of which there was an attempt, in virtual time
	Worth    float64                   // of all that was asked
	Earned   float64                   // of what was served in time

	Why map[balancer.Reason]int64 // what instances of all tiers refused or failed, by reason, in virtual time
}

const (
	longest = int64(time.Hour / time.Microsecond)
	figures = 3
)

// New returns an empty tally for an experiment.
func New(e *experiment.Experiment) *Tally {
	return &Tally{warmup: e.Warmup, Classes: make([]Counts, len(e.Site.Classes)), Tenants: make([]Counts, len(e.Site.Tenants)),
		Latency: hdrhistogram.New(1, longest, figures), Why: map[balancer.Reason]int64{}}
}

// Ended counts one request that was to be sent at the instant at and ended after took.
func (t *Tally) Ended(c experiment.Class, class, tenant int, at, took time.Duration, f Fate) {
	s := int(at / time.Second)
	for len(t.Seconds) <= s {
		t.Seconds = append(t.Seconds, Counts{})
		t.perS = append(t.perS, nil)
	}
	t.Seconds[s][f]++
	us := max(took.Microseconds(), 1)
	if f <= Late {
		if t.perS[s] == nil {
			t.perS[s] = hdrhistogram.New(1, longest, 2)
		}
		_ = t.perS[s].RecordValue(min(us, longest))
	}
	if at < t.warmup {
		return
	}
	t.Total[f]++
	t.Classes[class][f]++
	if tenant >= 0 {
		t.Tenants[tenant][f]++
	}
	t.Worth += c.Worth
	if f == InTime {
		t.Earned += c.Worth
	}
	if f <= Late {
		_ = t.Latency.RecordValue(min(us, longest)) // the range holds every legal value
	}
}

// Quantile is a quantile of the latency of what was served.
func (t *Tally) Quantile(q float64) time.Duration {
	return time.Duration(t.Latency.ValueAtQuantile(100*q)) * time.Microsecond
}

// SecondP99 is the 99th percentile of what was to be sent within a second and was served, 0 for none.
func (t *Tally) SecondP99(s int) time.Duration {
	if s >= len(t.perS) || t.perS[s] == nil {
		return 0
	}
	return time.Duration(t.perS[s].ValueAtQuantile(99)) * time.Microsecond
}
