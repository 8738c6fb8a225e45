package balancer

// Exponentially decaying means, and the estimators built from them. This file makes no
// load-balancing decisions.
//
// The memory of a decaying value is the time constant of its decay. The gain of an estimate is the
// weight of a new sample in it.

import (
	"math"
	"time"
)

const (
	longTermRateMemory   = time.Minute      // memory of the long-term request rate
	minLongTermRequests  = 0.5              // lowest count for the long-term rate, so that it is never 0
	minKindWeightGain    = 0.03             // lowest gain of a kind's weight per response
	meanGain             = 0.05             // highest gain of the mean latency after 1/meanGain samples, and quantile step
	minMeanMemory        = 0.5              // lowest memory of the mean latency and of a falling baseline, in seconds
	baselineFallGain     = 0.02             // highest gain of the baseline per response while the mean is below it
	baselineRiseTime     = 60 * time.Second // memory of the baseline while the mean is above it
	baselineLearningTime = 1.5              // seconds for which the baseline equals the mean: fast responses arrive first
	baselineSamples      = 10               // responses for which the baseline equals the mean, if they take longer
)

// decay returns the share of a sample that is retained after the elapsed time: 1/e after memory.
func decay(elapsed, memory time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / memory.Seconds())
}

// rateEstimator estimates the request rate from two decaying counts.
type rateEstimator struct {
	startedAt time.Duration // start of counting
	updatedAt time.Duration // time of the latest request
	recent    float64       // count of requests as of updatedAt, decayed with sampleMemory
	longTerm  float64       // count of requests as of updatedAt, decayed with longTermRateMemory
}

// observe counts a request.
func (r *rateEstimator) observe(now time.Duration) {
	r.longTerm = r.longTerm*decay(now-r.updatedAt, longTermRateMemory) + 1
	r.recent = r.recent*decay(now-r.updatedAt, sampleMemory) + 1
	r.updatedAt = now
}

// perSecond returns the recent rate in requests per second. It averages over no more than the time
// since the start plus one second, so that the estimate is not too low soon after the start.
func (r *rateEstimator) perSecond(now time.Duration) float64 {
	covered := 1 - decay(now-r.startedAt+time.Second, sampleMemory)
	return r.recent * decay(now-r.updatedAt, sampleMemory) / (covered * sampleMemory.Seconds())
}

// longTermPerSecond returns the long-term rate in requests per second. It is never 0.
func (r *rateEstimator) longTermPerSecond(now time.Duration) float64 {
	covered := 1 - decay(now-r.startedAt+time.Second, longTermRateMemory)
	requests := max(r.longTerm*decay(now-r.updatedAt, longTermRateMemory), minLongTermRequests)
	return requests / (covered * longTermRateMemory.Seconds())
}

// latencyEstimator estimates the latency of one kind of work, in seconds, from a number of
// responses (samples).
type latencyEstimator struct {
	work      string
	firstAt   time.Duration // time of the first response
	updatedAt time.Duration // time of the latest response
	samples   float64
	baseline  float64 // latency without load
	mean      float64 // recent mean latency
	deviation float64 // recent mean absolute deviation from the mean
}

// observe adds the latency of a response. The baseline follows a lower mean with each response,
// but a higher mean only with time, however many responses there are: the latency under overload
// must not be taken for the latency without load.
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

// observe adds the latency of a response. A slower response raises the estimate in proportion to
// quantile, any other lowers it in proportion to 1-quantile, so that the estimate settles at the
// quantile. It starts at twice the mean and never falls below the mean.
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

// outcomeCounts holds decayed counts of responses and of the errors among them.
type outcomeCounts struct{ errors, total float64 }

// The counts of a single response.
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

// times returns the counts multiplied by the share that is retained of them.
func (o outcomeCounts) times(retained float64) outcomeCounts {
	return outcomeCounts{errors: o.errors * retained, total: o.total * retained}
}

// atLeastZero returns the counts with negative ones replaced by 0. Rounding can make the difference
// of two sums negative.
func (o outcomeCounts) atLeastZero() outcomeCounts {
	return outcomeCounts{errors: max(o.errors, 0), total: max(o.total, 0)}
}

// errorShare returns the share of errors among the responses. A total below 1 counts as 1.
func (o outcomeCounts) errorShare() float64 { return o.errors / max(o.total, 1) }

// endpointKind holds the weight estimated from the responses of all endpoints of one kind, and the
// number of those responses (samples).
type endpointKind struct {
	weight         float64 // recent mean latency ratio of the responses of its endpoints
	samples        float64
	activeByWeight endpointHeap // its active endpoints in the subset, by weight
}

// observe adds the latency ratio of a response.
func (k *endpointKind) observe(latencyRatio float64) {
	k.samples++
	k.weight += (latencyRatio - k.weight) * max(1/(k.samples+2), minKindWeightGain)
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
