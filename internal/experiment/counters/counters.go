// Package counters counts the outcomes of clients' requests, for a whole run and by second, class
// and tenant. It also holds what each server did.
package counters

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rowancart/balancer"
	"rowancart/internal/experiment"
)

// Outcome is the final outcome of a client's request, after its retries.
type Outcome int

// The outcomes. A request is ServedLate if its response came after the class's latency objective
// and before the client's deadline.
const (
	ServedInTime Outcome = iota
	ServedLate
	Rejected
	Failed
	numOutcomes
)

// String returns the outcome's name in stored reports. These names must not change.
func (o Outcome) String() string {
	return [...]string{"served_in_time", "late", "refused", "failed"}[o]
}

// Counts holds the number of requests with each outcome.
type Counts [numOutcomes]int64

// Offered returns the number of all requests, whatever their outcome.
func (c Counts) Offered() int64 {
	var n int64
	for _, v := range c {
		n += v
	}
	return n
}

// Fraction returns the fraction of requests with an outcome, or 0 if there were no requests.
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

// Server holds what one server did during a run.
type Server struct {
	Name, Kind string
	Arrivals   int64
	Rejected   int64
	Busy       float64 // core time used, in seconds
	Cores      int
	Lifetime   time.Duration // from its start, or from the start of the run if that is later, to its end

	// AddedDuringRun is true for a server that started during the run, and so had to warm up.
	AddedDuringRun bool
	// WarmupPeak is the maximum work that was sent to the server within Rules.OverloadWindow while it
	// warmed up, as a multiple of its capacity at that time.
	WarmupPeak float64
	// TimeToFullLoad is the time from the server's start until the first second in which it received
	// about as many requests as the mean of its tier; 0: it never did. It is measured in virtual time
	// only; on sockets it is 0.
	TimeToFullLoad time.Duration
}

// Counters holds the counts of one run. It is not safe for concurrent use. Requests that arrive
// during the run's warm-up are counted in Seconds but not in Total, Classes, Tenants, Latency,
// OfferedWeight and ServedWeight. Requests, Attempts, RequestsSent, Reasons and Servers include
// them.
type Counters struct {
	warmup          time.Duration
	priorityWeights []float64 // by index in Site.Classes
	Total           Counts
	Classes         []Counts // by index in Site.Classes
	Tenants         []Counts // by index in Site.Tenants
	Seconds         []Counts // by the second of the intended time of sending
	Servers         []Server
	Latency         *hdrhistogram.Histogram   // of served requests, from the intended time of sending, in microseconds
	latencyBySecond []*hdrhistogram.Histogram // Latency by second; nil where nothing was served
	Requests        int64                     // received by the instances before the first tier; includes clients' retries
	Attempts        int64                     // sent by those instances; on sockets: received by the first tier
	RequestsSent    int64                     // number of requests with at least one attempt; in virtual time only
	OfferedWeight   float64                   // sum of the priority weights of all requests
	ServedWeight    float64                   // sum of the priority weights of requests served in time

	Reasons map[balancer.Reason]int64 // rejections and failures by instances of all tiers; in virtual time only
}

// Parameters of the latency histograms. The histogram of each second has a lower precision, to save
// memory.
const (
	maxLatencyMicros        = int64(time.Hour / time.Microsecond)
	significantDigits       = 3
	significantDigitsSecond = 2
)

// New returns counters for an experiment, all of them zero.
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

// recordInTotals counts a request in everything except the counts by second.
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

// recordLatency adds a latency to a histogram. A latency outside the histogram's range is counted
// as the nearest bound.
func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	micros := min(max(latency.Microseconds(), 1), maxLatencyMicros)
	_ = h.RecordValue(micros) // fails only for a value out of range
}

// growTo extends the counts by second so that they include an instant, and returns the index of its
// second.
func (c *Counters) growTo(at time.Duration) int {
	second := int(at / time.Second)
	for len(c.Seconds) <= second {
		c.Seconds = append(c.Seconds, Counts{})
		c.latencyBySecond = append(c.latencyBySecond, nil)
	}
	return second
}

// Quantile returns the q-quantile of the latency of served requests, with q from 0 to 1.
func (c *Counters) Quantile(q float64) time.Duration {
	return time.Duration(c.Latency.ValueAtQuantile(100*q)) * time.Microsecond
}

// P99OfSecond returns the 99th percentile of the latency of the served requests whose intended time
// of sending is within a second, or 0 if there were none.
func (c *Counters) P99OfSecond(second int) time.Duration {
	if second >= len(c.latencyBySecond) || c.latencyBySecond[second] == nil {
		return 0
	}
	return time.Duration(c.latencyBySecond[second].ValueAtQuantile(99)) * time.Microsecond
}
