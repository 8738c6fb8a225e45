// Package counters counts what became of what clients wanted: over a whole play, over time, and by class, tenant and box.
package counters

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rowancart/balancer"
	"rowancart/internal/experiment"
)

// Outcome is what became of something that a client wanted, its retries included.
type Outcome int

// The fates. An answer after the class's aim and before the client gave up is Late.
const (
	ServedInTime Outcome = iota
	ServedLate
	Rejected
	Failed
	numOutcomes
)

// String names the fate as reports do.
func (f Outcome) String() string {
	return [...]string{"served_in_time", "late", "refused", "failed"}[f]
}

// Counts are numbers of requests by fate.
type Counts [numOutcomes]int64

// Offered is how many there were.
func (c Counts) Offered() int64 {
	var n int64
	for _, v := range c {
		n += v
	}
	return n
}

// Fraction is a fate's share, 0 where nothing was offered.
func (c Counts) Fraction(f Outcome) float64 {
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

// Server is what one box did.
type Server struct {
	Name, Kind string
	Arrivals   int64
	Rejected   int64
	Busy       float64 // core seconds
	Cores      int
	Lifetime   time.Duration // for how long it was there

	AddedDuringRun bool          // it came cold while the play went on
	WarmupPeak     float64       // most work that it was sent within the ledger's window while cold, in multiples of its capacity then
	TimeToFullLoad time.Duration // from its coming until it got as much as the others, in virtual time; 0: never seen
}

// Counters counts one play. It is not safe for concurrent use.
type Counters struct {
	warmup          time.Duration
	Total           Counts
	Classes         []Counts
	Tenants         []Counts
	Seconds         []Counts
	Servers         []Server
	Latency         *hdrhistogram.Histogram   // of what was served, in microseconds from the intended time of sending
	latencyBySecond []*hdrhistogram.Histogram // the same by second
	Requests        int64                     // that instances before the first tier took, retries included
	Attempts        int64                     // that they made
	RequestsSent    int64                     // requests of which there was an attempt, in virtual time
	OfferedWeight   float64                   // of all that was asked
	ServedWeight    float64                   // of what was served in time

	Reasons map[balancer.Reason]int64 // what instances of all tiers refused or failed, by reason, in virtual time
}

const (
	maxLatencyMicros  = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// New returns an empty tally for an experiment.
func New(e *experiment.Experiment) *Counters {
	return &Counters{warmup: e.Warmup, Classes: make([]Counts, len(e.Site.Classes)), Tenants: make([]Counts, len(e.Site.Tenants)),
		Latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits), Reasons: map[balancer.Reason]int64{}}
}

// Record counts one request that was to be sent at the instant at and ended after took.
func (c *Counters) Record(class experiment.Class, classIndex, tenantIndex int, at, latency time.Duration, outcome Outcome) {
	second := int(at / time.Second)
	for len(c.Seconds) <= second {
		c.Seconds = append(c.Seconds, Counts{})
		c.latencyBySecond = append(c.latencyBySecond, nil)
	}
	c.Seconds[second][outcome]++
	us := max(latency.Microseconds(), 1)
	if outcome <= ServedLate {
		if c.latencyBySecond[second] == nil {
			c.latencyBySecond[second] = hdrhistogram.New(1, maxLatencyMicros, 2)
		}
		_ = c.latencyBySecond[second].RecordValue(min(us, maxLatencyMicros))
	}
	if at < c.warmup {
		return
	}
	c.Total[outcome]++
	c.Classes[classIndex][outcome]++
	if tenantIndex >= 0 {
		c.Tenants[tenantIndex][outcome]++
	}
	c.OfferedWeight += class.PriorityWeight
	if outcome == ServedInTime {
		c.ServedWeight += class.PriorityWeight
	}
	if outcome <= ServedLate {
		_ = c.Latency.RecordValue(min(us, maxLatencyMicros)) // the range holds every legal value
	}
}

// Quantile is a quantile of the latency of what was served.
func (c *Counters) Quantile(q float64) time.Duration {
	return time.Duration(c.Latency.ValueAtQuantile(100*q)) * time.Microsecond
}

// P99OfSecond is the 99th percentile of what was to be sent within a second and was served, 0 for none.
func (c *Counters) P99OfSecond(second int) time.Duration {
	if second >= len(c.latencyBySecond) || c.latencyBySecond[second] == nil {
		return 0
	}
	return time.Duration(c.latencyBySecond[second].ValueAtQuantile(99)) * time.Microsecond
}
