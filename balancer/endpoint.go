package balancer

// What is known of one endpoint. No decision is made in this file.

import "time"

// endpoint is all that is known of one endpoint.
type endpoint struct {
	Endpoint
	kind    *endpointKind
	listing listing

	active         bool // in the ordinary selection
	inactiveReason InactiveReason
	trial          trialSchedule // while not active
	deficit        float64       // charges for the requests that it got
	inFlight       int           // attempts in flight

	samples    sampleMean
	outcomes   outcomeHistory
	connection connectionHistory
	slowStart  slowStart

	inSubset       bool           // this instance sends to it
	subsetIndex    int            // the lower one is selected first among equals
	countedFailing bool           // counted in endpointSet.failingCount
	heapIndexes    [heapSlots]int // in the heaps that it is in, from 1
}

// weight returns the endpoint's weight: that of its kind, moved by the endpoint's own samples. A
// quiet instance has so few samples of an endpoint that by these alone a slow machine would look
// like one that got a few heavy requests.
func (e *endpoint) weight() float64 { return e.samples.weight(e.kind.weight) }

// startedAt returns when the endpoint began to warm up: at its latest start, or when the operators
// enabled it, since it may have restarted while it was disabled.
func (e *endpoint) startedAt() time.Duration { return max(e.Started, e.slowStart.enabledAt) }

// listing is what the endpoint lists have said of an endpoint.
type listing struct {
	state     State // whatever the operators do
	index     int   // among all endpoints that were ever listed
	namedIn   int   // latest list version that named it
	changedIn int   // latest list version that changed it
}

// sampleMean is a decaying mean of an endpoint's latency ratios, each over the weight of its kind.
type sampleMean struct {
	sum       float64       // of the samples, decayed
	count     float64       // how many samples the sum is worth
	updatedAt time.Duration // latest sample
}

// add adds a sample to the older ones, which decay.
func (m *sampleMean) add(now time.Duration, sample float64) {
	gap := now - m.updatedAt
	retained := max(min(decay(gap, sampleMemory), maxSampleRetention), decay(gap, minSampleMemory))
	m.sum = m.sum*retained + sample
	m.count = m.count*retained + 1
	m.updatedAt = now
}

// restart replaces the samples by a single one.
func (m *sampleMean) restart(now time.Duration, sample float64) {
	*m = sampleMean{sum: sample, count: 1, updatedAt: now}
}

// weight returns the mean as a multiple of the kind's weight, which counts as priorSamples samples.
func (m sampleMean) weight(kindWeight float64) float64 {
	return kindWeight * (priorSamples + m.sum) / (priorSamples + m.count)
}

// outcomeHistory is the recent responses of an endpoint and the errors among them.
type outcomeHistory struct {
	outcomeCounts
	updatedAt time.Duration // latest outcome
}

// trialSchedule is when an inactive endpoint gets its next trial.
type trialSchedule struct {
	backoff  time.Duration // wait between trials
	nextAt   time.Duration
	inFlight bool // the single trial is in flight
}

// isDue reports whether the next request may be the trial.
func (s trialSchedule) isDue(now time.Duration) bool { return !s.inFlight && now >= s.nextAt }

// remaining returns the time until the next trial, 0 once it is due, and -1 while one is in flight.
func (s trialSchedule) remaining(now time.Duration) time.Duration {
	if s.inFlight {
		return -1
	}
	return max(s.nextAt-now, 0)
}

// connectionHistory is what an endpoint's connections have shown of its being up.
type connectionHistory struct {
	respondedAt time.Duration // latest response; 0: none
	resetAt     time.Duration // latest connection reset; 0: none
}

// isDown reports whether the endpoint has not responded since its latest reset.
func (h connectionHistory) isDown() bool { return h.resetAt > h.respondedAt }

// slowStart is the pace of the sends to an endpoint that warms up.
type slowStart struct {
	enabledAt  time.Duration // latest Enable
	nextSendAt time.Duration // next send
	speedUp    float64       // times as often as the endpoint's capacity alone would allow
}
