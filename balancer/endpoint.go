package balancer

// The state of one endpoint. This file makes no load-balancing decisions.

import "time"

// endpoint is a known endpoint: its entry in the endpoint list, and its state at this Balancer.
type endpoint struct {
	Endpoint
	kind    *endpointKind
	listing listing

	active         bool // selected by deficit; inactive endpoints get only trials
	inactiveReason InactiveReason
	trial          trialSchedule // while inactive
	deficit        float64       // charges for the requests sent to it, on top of endpointSet.deficitBaseFor
	inFlight       int           // attempts in flight

	samples    sampleMean
	outcomes   outcomeHistory
	connection connectionHistory
	slowStart  slowStart

	inSubset       bool           // this instance sends requests to it
	subsetIndex    int            // decides between endpoints that are otherwise equal: the lowest goes first
	countedFailing bool           // included in endpointSet.failingCount
	heapIndexes    [heapSlots]int // its position in each heap, from 1; 0: not in the heap
}

// weight returns the weight of the endpoint: the weight of its kind, adjusted by the endpoint's own
// samples. A low-traffic instance has so few of these that, by them alone, a slow endpoint
// would look like one that got a few expensive requests.
func (e *endpoint) weight() float64 { return e.samples.weight(e.kind.weight) }

// startedAt returns the instant at which the endpoint began to warm up: the later of its latest
// start and its latest Enable, since it may have restarted while it was disabled.
func (e *endpoint) startedAt() time.Duration { return max(e.Started, e.slowStart.enabledAt) }

// listing is what the endpoint lists contained about an endpoint.
type listing struct {
	state            State // latest listed state, regardless of Disable
	index            int   // sequence number, in the order of listing
	listedInVersion  int   // latest list version that had an entry for it
	changedInVersion int   // latest list version that changed its entry or removed it
}

// sampleMean is a decaying mean of an endpoint's samples. A sample is a latency ratio divided by
// the weight of the endpoint's kind.
type sampleMean struct {
	sum       float64       // decayed sum of the samples
	count     float64       // decayed number of the samples
	updatedAt time.Duration // latest sample
}

// add decays the earlier samples and adds a new one.
func (m *sampleMean) add(now time.Duration, sample float64) {
	gap := now - m.updatedAt
	retained := max(min(decay(gap, sampleMemory), maxSampleRetention), decay(gap, minSampleMemory))
	m.sum = m.sum*retained + sample
	m.count = m.count*retained + 1
	m.updatedAt = now
}

// restart replaces all samples with a single one.
func (m *sampleMean) restart(now time.Duration, sample float64) {
	*m = sampleMean{sum: sample, count: 1, updatedAt: now}
}

// weight returns the mean of the samples times the kind's weight. The mean includes priorSamples
// samples of 1, which stand for the kind's weight.
func (m sampleMean) weight(kindWeight float64) float64 {
	return kindWeight * (priorSamples + m.sum) / (priorSamples + m.count)
}

// outcomeHistory counts the recent responses of an endpoint and the errors among them.
type outcomeHistory struct {
	outcomeCounts
	updatedAt time.Duration // latest outcome
}

// trialSchedule determines when an inactive endpoint gets its next trial.
type trialSchedule struct {
	backoff  time.Duration // wait before the next trial, without jitter
	nextAt   time.Duration
	inFlight bool // a trial is in flight, so that none is due
}

// isDue reports whether the next request may be sent as a trial.
func (s trialSchedule) isDue(now time.Duration) bool { return !s.inFlight && now >= s.nextAt }

// remaining returns the time until the next trial: 0 once it is due, and -1 while a trial is in
// flight.
func (s trialSchedule) remaining(now time.Duration) time.Duration {
	if s.inFlight {
		return -1
	}
	return max(s.nextAt-now, 0)
}

// connectionHistory shows whether an endpoint is up, by its latest response and connection reset.
type connectionHistory struct {
	respondedAt time.Duration // latest response; 0: none
	resetAt     time.Duration // latest connection reset; 0: none
}

// isDown reports whether the endpoint has not responded since its latest reset.
func (h connectionHistory) isDown() bool { return h.resetAt > h.respondedAt }

// slowStart paces the requests to a warming endpoint.
type slowStart struct {
	enabledAt  time.Duration // latest Enable
	nextSendAt time.Duration // earliest instant of the next send
	speedUp    float64       // factor by which sends are more frequent than its capacity alone allows
}
