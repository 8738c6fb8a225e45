package balancer

// Decaying means and the estimators built of them. No decision is made in this file.

import (
	"math"
	"time"
)

const (
	longTermRateMemory   = time.Minute      // memory of the slow rate of requests
	minLongTermRequests  = 0.5              // requests that the slow rate counts at least
	kindWeightGain       = 0.03             // gain of a kind's weight per response
	meanGain             = 0.05             // gain of the mean latency per response
	minMeanMemory        = 0.5              // seconds that the mean goes back at least
	baselineFallGain     = 0.02             // gain of the baseline per response while the mean is below it
	baselineRiseTime     = 60 * time.Second // over which the baseline follows a higher mean
	baselineLearningTime = 1.5              // seconds until the baseline is known: the first responses are the quick ones
	baselineSamples      = 10               // responses that it takes as well
)

// decay returns the share of a sample that is retained after some time: 1/e after the memory.
func decay(elapsed, memory time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / memory.Seconds())
}

// rateEstimator estimates the rate of requests from two decaying counts.
type rateEstimator struct {
	startedAt time.Duration // nothing was counted before
	updatedAt time.Duration // latest request
	recent    float64       // requests as of updatedAt, decayed with sampleMemory
	longTerm  float64       // the same, decayed with longTermRateMemory
}

// observe counts a request.
func (r *rateEstimator) observe(now time.Duration) {
	r.longTerm = r.longTerm*decay(now-r.updatedAt, longTermRateMemory) + 1
	r.recent = r.recent*decay(now-r.updatedAt, sampleMemory) + 1
	r.updatedAt = now
}

// perSecond returns the recent rate. The time before the start, without requests, does not count.
func (r *rateEstimator) perSecond(now time.Duration) float64 {
	covered := 1 - decay(now-r.startedAt+time.Second, sampleMemory)
	return r.recent * decay(now-r.updatedAt, sampleMemory) / (covered * sampleMemory.Seconds())
}

// longTermPerSecond returns the rate over a longer time. It is never 0.
func (r *rateEstimator) longTermPerSecond(now time.Duration) float64 {
	covered := 1 - decay(now-r.startedAt+time.Second, longTermRateMemory)
	requests := max(r.longTerm*decay(now-r.updatedAt, longTermRateMemory), minLongTermRequests)
	return requests / (covered * longTermRateMemory.Seconds())
}

// latencyEstimator estimates what requests of one kind of work take. Latencies are in seconds.
type latencyEstimator struct {
	work      string
	firstAt   time.Duration // first response
	updatedAt time.Duration // latest response
	samples   float64
	baseline  float64 // without load
	mean      float64 // recently
	deviation float64 // mean deviation from the mean, recently
}

// observe adds the latency of a response. The baseline rises by time alone: an overload must not
// pass for what requests take without load.
func (l *latencyEstimator) observe(now time.Duration, latency float64) {
	if l.samples++; l.samples == 1 {
		l.firstAt = now
	}
	gap := now - l.updatedAt
	l.updatedAt = now
	gain := max(1/l.samples, min(meanGain, gap.Seconds()/minMeanMemory))
	l.deviation += (math.Abs(latency-l.mean) - l.deviation) * gain
	l.mean += (latency - l.mean) * gain
	switch {
	case l.samples < baselineSamples || (now-l.firstAt).Seconds() < baselineLearningTime:
		l.baseline = l.mean
	case l.mean < l.baseline:
		l.baseline += (l.mean - l.baseline) * min(baselineFallGain, gap.Seconds()/minMeanMemory)
	default:
		l.baseline += (l.mean - l.baseline) * min(gap.Seconds()/baselineRiseTime.Seconds(), 1)
	}
}

// quantileEstimator estimates a quantile of the latencies of responses, in seconds.
type quantileEstimator struct{ latency float64 }

// observe adds the latency of a response. The estimate begins at twice the mean and is never below
// the mean.
func (q *quantileEstimator) observe(latency, mean, quantile float64) {
	step := meanGain * mean
	switch {
	case q.latency == 0:
		q.latency = 2 * mean
	case latency > q.latency:
		q.latency += step * quantile
	default:
		q.latency = max(q.latency-step*(1-quantile), mean)
	}
}

// outcomeCounts are decayed counts of responses and of the errors among them.
type outcomeCounts struct{ errors, total float64 }

// The outcomes of single attempts.
var (
	errorOutcome   = outcomeCounts{errors: 1, total: 1}
	successOutcome = outcomeCounts{total: 1}
)

// plus returns the sum of the counts.
func (o outcomeCounts) plus(other outcomeCounts) outcomeCounts {
	return outcomeCounts{errors: o.errors + other.errors, total: o.total + other.total}
}

// minus returns the difference of the counts.
func (o outcomeCounts) minus(other outcomeCounts) outcomeCounts {
	return outcomeCounts{errors: o.errors - other.errors, total: o.total - other.total}
}

// times returns the counts times the share of them that is retained.
func (o outcomeCounts) times(retained float64) outcomeCounts {
	return outcomeCounts{errors: o.errors * retained, total: o.total * retained}
}

// atLeastZero returns the counts with 0 for those below it. Differences of sums may be, by
// rounding.
func (o outcomeCounts) atLeastZero() outcomeCounts {
	return outcomeCounts{errors: max(o.errors, 0), total: max(o.total, 0)}
}

// errorShare returns the share of errors, 0 while there is less than one outcome.
func (o outcomeCounts) errorShare() float64 { return o.errors / max(o.total, 1) }

// endpointKind pools the samples of the endpoints of one kind.
type endpointKind struct {
	weight         float64 // latency ratio, mean over its endpoints
	samples        float64
	activeByWeight endpointHeap // its active endpoints in the subset, by weight
}

// observe adds the latency ratio of a response.
func (k *endpointKind) observe(latencyRatio float64) {
	k.samples++
	k.weight += (latencyRatio - k.weight) * max(1/(k.samples+2), kindWeightGain)
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
