package report

import (
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rowancart/internal/experiment"
	"rowancart/internal/experiment/counters"
)

// totals are the sums over all runs of a variant that are not void. The figures of a report are
// derived from them.
type totals struct {
	latency         *hdrhistogram.Histogram // nil until the first run is added
	timesToFullLoad []float64               // of added servers, in seconds, sorted
	requests        int64                   // received by the instances in front of the first tier
	attempts        int64
	requestsSent    int64 // requests with at least one attempt, in virtual time
	offeredWeight   float64
	servedWeight    float64
	outcomes        counters.Counts
	classes         []counters.Counts // in the order of the site's classes
	tenants         []counters.Counts // in the order of the site's tenants
}

// newTotals returns empty totals for the classes and tenants of a site.
func newTotals(site *experiment.Site) totals {
	return totals{
		classes: make([]counters.Counts, len(site.Classes)),
		tenants: make([]counters.Counts, len(site.Tenants)),
	}
}

// add adds the counters of one run.
func (t *totals) add(c *counters.Counters) {
	t.outcomes.Add(c.Total)
	for i := range t.classes {
		t.classes[i].Add(c.Classes[i])
	}
	for i := range t.tenants {
		t.tenants[i].Add(c.Tenants[i])
	}
	t.requests += c.Requests
	t.attempts += c.Attempts
	t.requestsSent += c.RequestsSent
	t.offeredWeight += c.OfferedWeight
	t.servedWeight += c.ServedWeight
	t.addLatency(c.Latency)
}

// addLatency adds a histogram of latencies. The histograms of all runs have the same bounds.
func (t *totals) addLatency(latency *hdrhistogram.Histogram) {
	if t.latency == nil {
		const significantFigures = 3
		t.latency = hdrhistogram.New(latency.LowestTrackableValue(), latency.HighestTrackableValue(), significantFigures)
	}
	t.latency.Merge(latency)
}

// addTimeToFullLoad adds the time until an added server received as many requests as the others.
func (t *totals) addTimeToFullLoad(seconds float64) {
	i, _ := slices.BinarySearch(t.timesToFullLoad, seconds)
	t.timesToFullLoad = slices.Insert(t.timesToFullLoad, i, seconds)
}

// medianTimeToFullLoad returns the median time to full load in seconds, or 0 if no time was added.
func (t *totals) medianTimeToFullLoad() float64 {
	if len(t.timesToFullLoad) == 0 {
		return 0
	}
	return t.timesToFullLoad[len(t.timesToFullLoad)/2]
}

// attemptsPerRequest returns the number of attempts divided by the number of received requests.
func (t *totals) attemptsPerRequest() float64 { return ratio(float64(t.attempts), float64(t.requests)) }

// retriesPerRequest returns the number of attempts beyond the first divided by the number of
// received requests. It returns 0 if requests with an attempt were not counted, as on sockets.
func (t *totals) retriesPerRequest() float64 {
	if t.requestsSent == 0 {
		return 0
	}
	return ratio(float64(t.attempts-t.requestsSent), float64(t.requests))
}

// latencyPercentiles returns percentiles of the latency. All are 0 if no run was added.
func (t *totals) latencyPercentiles() Latency {
	if t.latency == nil {
		return Latency{}
	}
	return Latency{
		P50:  percentile(t.latency, 50),
		P90:  percentile(t.latency, 90),
		P99:  percentile(t.latency, 99),
		P999: percentile(t.latency, 99.9),
	}
}

// percentile returns a percentile of a histogram of microseconds, in milliseconds.
func percentile(h *hdrhistogram.Histogram, p float64) float64 {
	return float64(h.ValueAtQuantile(p)) / 1000
}
