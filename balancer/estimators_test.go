package balancer

import (
	"math"
	"testing"
	"time"
)

// near reports whether got differs from want by no more than the given share of want.
func near(got, want, share float64) bool { return math.Abs(got-want) <= share*math.Abs(want) }

func TestDecayLeavesOneOverEAfterItsMemory(t *testing.T) {
	for elapsed, want := range map[time.Duration]float64{0: 1, 10 * time.Second: 1 / math.E,
		20 * time.Second: 1 / (math.E * math.E)} {
		if got := decay(elapsed, 10*time.Second); !near(got, want, 1e-12) {
			t.Errorf("decay after %v is %v, want %v", elapsed, got, want)
		}
	}
}

// TestRateEstimatorFollowsTheRate checks the recent and the long-term rate while requests arrive at
// regular intervals, and after the last one.
func TestRateEstimatorFollowsTheRate(t *testing.T) {
	start := time.Hour
	rate := rateEstimator{startedAt: start, updatedAt: start}
	if got := rate.perSecond(start); got != 0 {
		t.Errorf("recent rate %v before the first request, want 0", got)
	}
	if got := rate.longTermPerSecond(start); got <= 0 {
		t.Errorf("long-term rate %v before the first request, want more than 0", got)
	}
	now := start
	for range 1200 { // 4 per second for 5 minutes
		now += 250 * time.Millisecond
		rate.observe(now)
	}
	if recent, long := rate.perSecond(now), rate.longTermPerSecond(now); !near(recent, 4, 0.05) || !near(long, 4, 0.05) {
		t.Errorf("recent rate %v and long-term rate %v, want 4", recent, long)
	}
	now += 30 * time.Second
	if recent, long := rate.perSecond(now), rate.longTermPerSecond(now); recent > 0.3 || long < 2 || long > 3 {
		t.Errorf("recent rate %v and long-term rate %v 30 s after the last request, want at most 0.3, and 2 to 3",
			recent, long)
	}
}

// TestLatencyBaselineRisesByTimeAlone checks that the baseline follows faster responses soon, and
// slower ones only over its rise time, however many there are.
func TestLatencyBaselineRisesByTimeAlone(t *testing.T) {
	var l latencyEstimator
	now := time.Hour
	observe := func(n int, interval time.Duration, latency float64) {
		for range n {
			now += interval
			l.observe(now, latency)
		}
	}
	observe(200, 50*time.Millisecond, 0.1)
	if !near(l.mean, 0.1, 0.01) || !near(l.baseline, 0.1, 0.01) {
		t.Fatalf("mean %v and baseline %v after responses of 0.1 s, want 0.1", l.mean, l.baseline)
	}
	observe(2000, time.Millisecond, 1) // 2 s of overload
	if l.mean < 0.8 || l.baseline > 0.15 {
		t.Errorf("mean %v and baseline %v after an overload of 2 s, want at least 0.8 and at most 0.15", l.mean, l.baseline)
	}
	observe(3000, 100*time.Millisecond, 1) // 5 minutes
	if !near(l.baseline, 1, 0.05) {
		t.Errorf("baseline %v after 5 minutes of responses of 1 s, want 1", l.baseline)
	}
	observe(1000, 50*time.Millisecond, 0.1)
	if !near(l.baseline, 0.1, 0.1) || l.deviation < 0 {
		t.Errorf("baseline %v after responses of 0.1 s again, want 0.1 and a deviation of at least 0", l.baseline)
	}
}

// TestQuantileEstimatorFindsTheQuantile checks that the share of responses that are no slower than
// the estimate equals the quantile, and that the estimate does not fall below the mean.
func TestQuantileEstimatorFindsTheQuantile(t *testing.T) {
	for _, quantile := range []float64{0.75, 0.95} {
		var q quantileEstimator
		within, total := 0, 0
		for i := range 20000 {
			latency := float64(i*7919%1000) / 1000 // uniform from 0 to 1 s, with a mean of 0.5 s
			if q.observe(latency, 0.5, quantile); i >= 10000 {
				total++
				if latency <= q.latency {
					within++
				}
			}
		}
		if got := float64(within) / float64(total); math.Abs(got-quantile) > 0.03 {
			t.Errorf("%v of the responses are within the estimate of quantile %v", got, quantile)
		}
	}
	var q quantileEstimator
	for range 100 {
		q.observe(0.1, 0.5, 0.5)
	}
	if q.latency < 0.5 {
		t.Errorf("the estimate %v is below the mean of 0.5", q.latency)
	}
}

func TestOutcomeCountsAddAndDecay(t *testing.T) {
	o := outcomeCounts{}.times(1).plus(errorOutcome).times(0.5).plus(successOutcome)
	if o != (outcomeCounts{errors: 0.5, total: 1.5}) {
		t.Errorf("counts %+v, want 0.5 errors of 1.5", o)
	}
	if d := o.minus(errorOutcome); d != (outcomeCounts{errors: -0.5, total: 0.5}) {
		t.Errorf("difference %+v, want -0.5 errors of 0.5", d)
	} else if d.atLeastZero() != (outcomeCounts{total: 0.5}) {
		t.Errorf("difference %+v without negative counts, want 0 errors of 0.5", d.atLeastZero())
	}
	if got := o.errorShare(); got != 0.5/1.5 {
		t.Errorf("error share %v, want a third", got)
	}
	if got := (outcomeCounts{errors: 0.5, total: 0.5}).errorShare(); got != 0.5 {
		t.Errorf("error share %v of half an outcome, want 0.5", got)
	}
}

func TestKindWeightIsTheMeanOfItsSamples(t *testing.T) {
	k := endpointKind{weight: 1}
	for range 500 {
		k.observe(1.5)
	}
	if !near(k.weight, 1.5, 0.01) || k.samples != 500 {
		t.Errorf("weight %v after %v samples of 1.5, want 1.5 after 500", k.weight, k.samples)
	}
}
