// Package counters counts the outcomes of clients' requests: over a whole run, by second, class
// and tenant, and what each server did.
package counters

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rowancart/balancer"
	"rowancart/internal/experiment"
)

// Outcome is the final outcome of a client's request, after its retries.
type Outcome int

// The outcomes. A response after the class's latency objective and before the client's deadline is
// ServedLate.
const (
	ServedInTime Outcome = iota
	ServedLate
	Rejected
	Failed
	numOutcomes
)

// String returns the outcome's name in reports, whose words it keeps.
func (o Outcome) String() string {
	return [...]string{"served_in_time", "late", "refused", "failed"}[o]
}

// Counts are numbers of requests by outcome.
type Counts [numOutcomes]int64

// Offered returns the number of requests.
func (c Counts) Offered() int64 {
	var n int64
	for _, v := range c {
		n += v
	}
	return n
}

// Fraction returns the fraction of requests with an outcome, 0 if there were no requests.
func (c Counts) Fraction(o Outcome) float64 {
	if n := c.Offered(); n > 0 {
		return float64(c[o]) / float64(n)
	}
	return 0
}

// Add adds other to c.
func (c *Counts) Add(other Counts) {
	for i := range c {
		c[i] += other[i]
	}
}

// Server is what one server did.
type Server struct {
	Name, Kind string
	Arrivals   int64
	Rejected   int64
	Busy       float64 // core seconds
	Cores      int
	Lifetime   time.Duration // from its start, or that of the run, to its end

	// AddedDuringRun is true for a server that started during the run, and so had to warm up.
	AddedDuringRun bool
	// WarmupPeak is the most work that it was sent within Rules.OverloadWindow while it warmed up, in
	// multiples of its capacity at the time.
	WarmupPeak float64
	// TimeToFullLoad is the time from its start until it received as many requests as the others, in
	// virtual time; 0: it never did.
	TimeToFullLoad time.Duration
}

// Counters counts one run. It is not safe for concurrent use. Requests that arrive during the
// warm-up are in Seconds only.
type Counters struct {
	warmup          time.Duration
	priorityWeights []float64 // by index in Site.Classes
	Total           Counts
	Classes         []Counts // by index in Site.Classes
	Tenants         []Counts // by index in Site.Tenants
	Seconds         []Counts // by second of the intended time of sending
	Servers         []Server
	Latency         *hdrhistogram.Histogram   // of served requests, in microseconds from the intended time of sending
	latencyBySecond []*hdrhistogram.Histogram // the same by second; nil where nothing was served
	Requests        int64                     // received by the instances before the first tier, clients' retries included
	Attempts        int64                     // sent by those instances
	RequestsSent    int64                     // requests with at least one attempt, in virtual time
	OfferedWeight   float64                   // sum of the priority weights of all requests
	ServedWeight    float64                   // and of those served in time

	Reasons map[balancer.Reason]int64 // of rejections and failures by instances of all tiers, in virtual time
}

// Parameters of the histograms. Latencies in the histograms of seconds have less precision, to save
// memory.
const (
	maxLatencyMicros        = int64(time.Hour / time.Microsecond)
	significantDigits       = 3
	significantDigitsSecond = 2
)

// New returns empty counters for an experiment.
func New(e *experiment.Experiment) *Counters {
	c := &Counters{
		warmup:  e.Warmup,
		Classes: make([]Counts, len(e.Site.Classes)),
		Tenants: make([]Counts, len(e.Site.Tenants)),
		Latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		Reasons: map[balancer.Reason]int64{},
	}
	for _, class := range e.Site.Classes {
		c.priorityWeights = append(c.priorityWeights, class.PriorityWeight)
	}
	return c
}

// Request is a client's request that has ended.
type Request struct {
	Class   int           // index in Site.Classes
	Tenant  int           // index in Site.Tenants; negative: none
	At      time.Duration // intended time of sending
	Latency time.Duration // from At to the end
	Outcome Outcome
}

// isServed reports whether the request was served, in time or late.
func (r *Request) isServed() bool { return r.Outcome == ServedInTime || r.Outcome == ServedLate }

// Record counts a request.
func (c *Counters) Record(r Request) {
	c.recordInSecond(&r)
	if r.At >= c.warmup {
		c.recordInTotals(&r)
	}
}

// recordInSecond counts a request in the second in which it was to be sent.
func (c *Counters) recordInSecond(r *Request) {
	second := c.growTo(r.At)
	c.Seconds[second][r.Outcome]++
	if !r.isServed() {
		return
	}
	if c.latencyBySecond[second] == nil {
		c.latencyBySecond[second] = hdrhistogram.New(1, maxLatencyMicros, significantDigitsSecond)
	}
	recordLatency(c.latencyBySecond[second], r.Latency)
}

// recordInTotals counts a request in all but the counts by second.
func (c *Counters) recordInTotals(r *Request) {
	c.Total[r.Outcome]++
	c.Classes[r.Class][r.Outcome]++
	if r.Tenant >= 0 {
		c.Tenants[r.Tenant][r.Outcome]++
	}
	weight := c.priorityWeights[r.Class]
	c.OfferedWeight += weight
	if r.Outcome == ServedInTime {
		c.ServedWeight += weight
	}
	if r.isServed() {
		recordLatency(c.Latency, r.Latency)
	}
}

// recordLatency adds a latency to a histogram; one out of its range is moved to the nearest bound.
func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	micros := min(max(latency.Microseconds(), 1), maxLatencyMicros)
	_ = h.RecordValue(micros) // within the range
}

// growTo makes sure that there are counts for the second of an instant, whose index it returns.
func (c *Counters) growTo(at time.Duration) int {
	second := int(at / time.Second)
	for len(c.Seconds) <= second {
		c.Seconds = append(c.Seconds, Counts{})
		c.latencyBySecond = append(c.latencyBySecond, nil)
	}
	return second
}

// Quantile returns a quantile of the latency of served requests; q is from 0 to 1.
func (c *Counters) Quantile(q float64) time.Duration {
	return time.Duration(c.Latency.ValueAtQuantile(100*q)) * time.Microsecond
}

// P99OfSecond returns the 99th percentile of the latency of the served requests that were to be
// sent within a second, 0 if there were none.
func (c *Counters) P99OfSecond(second int) time.Duration {
	if second >= len(c.latencyBySecond) || c.latencyBySecond[second] == nil {
		return 0
	}
	return time.Duration(c.latencyBySecond[second].ValueAtQuantile(99)) * time.Microsecond
}
