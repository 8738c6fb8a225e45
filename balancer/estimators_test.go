package balancer

import (
	"math"
	"testing"
	"time"
)

// near reports whether two numbers differ by no more than a share of the second.
func near(got, want, share float64) bool { return math.Abs(got-want) <= share*math.Abs(want) }

func TestDecayLeavesOneOverEAfterItsMemory(t *testing.T) {
	for elapsed, want := range map[time.Duration]float64{0: 1, 10 * time.Second: 1 / math.E,
		20 * time.Second: 1 / (math.E * math.E)} {
		if got := decay(elapsed, 10*time.Second); !near(got, want, 1e-12) {
			t.Errorf("after %v: %v, want %v", elapsed, got, want)
		}
	}
}

// TestRateEstimatorFollowsTheRate checks both rates on requests that come evenly, and after they
// end.
func TestRateEstimatorFollowsTheRate(t *testing.T) {
	start := time.Hour
	rate := rateEstimator{startedAt: start, updatedAt: start}
	if got := rate.perSecond(start); got != 0 {
		t.Errorf("%v requests a second before the first", got)
	}
	if got := rate.longTermPerSecond(start); got <= 0 {
		t.Errorf("the slow rate is %v before the first request; it is never 0", got)
	}
	now := start
	for range 1200 { // four a second for five minutes
		now += 250 * time.Millisecond
		rate.observe(now)
	}
	if recent, slow := rate.perSecond(now), rate.longTermPerSecond(now); !near(recent, 4, 0.05) || !near(slow, 4, 0.05) {
		t.Errorf("rates %v and %v, want 4", recent, slow)
	}
	now += 30 * time.Second
	if recent, slow := rate.perSecond(now), rate.longTermPerSecond(now); recent > 0.3 || slow < 2 || slow > 3 {
		t.Errorf("rates %v and %v half a minute after the last request", recent, slow)
	}
}

// TestLatencyBaselineRisesByTimeAlone checks that the baseline follows quicker responses soon, and
// slower ones only over its rise time, however many come.
func TestLatencyBaselineRisesByTimeAlone(t *testing.T) {
	var l latencyEstimator
	now := time.Hour
	observe := func(n int, every time.Duration, latency float64) {
		for range n {
			now += every
			l.observe(now, latency)
		}
	}
	observe(200, 50*time.Millisecond, 0.1)
	if !near(l.mean, 0.1, 0.01) || !near(l.baseline, 0.1, 0.01) {
		t.Fatalf("mean %v and baseline %v after responses of 0.1 s", l.mean, l.baseline)
	}
	observe(2000, time.Millisecond, 1) // two seconds of overload
	if l.mean < 0.8 || l.baseline > 0.15 {
		t.Errorf("mean %v and baseline %v in an overload of two seconds", l.mean, l.baseline)
	}
	observe(3000, 100*time.Millisecond, 1) // five minutes
	if !near(l.baseline, 1, 0.05) {
		t.Errorf("baseline %v after five minutes of responses of 1 s", l.baseline)
	}
	observe(1000, 50*time.Millisecond, 0.1)
	if !near(l.baseline, 0.1, 0.1) || l.deviation < 0 {
		t.Errorf("baseline %v after responses of 0.1 s again", l.baseline)
	}
}

// TestQuantileEstimatorFindsTheQuantile checks that the share of responses within the estimate is
// that of the quantile.
func TestQuantileEstimatorFindsTheQuantile(t *testing.T) {
	for _, quantile := range []float64{0.75, 0.95} {
		var q quantileEstimator
		within, total := 0, 0
		for i := range 20000 {
			latency := float64(i*7919%1000) / 1000 // even over a second, so that the mean is half of it
			if q.observe(latency, 0.5, quantile); i >= 10000 {
				total++
				if latency <= q.latency {
					within++
				}
			}
		}
		if got := float64(within) / float64(total); math.Abs(got-quantile) > 0.03 {
			t.Errorf("%v of the responses come within the estimate for %v", got, quantile)
		}
	}
	var q quantileEstimator
	for range 100 {
		q.observe(0.1, 0.5, 0.5)
	}
	if q.latency < 0.5 {
		t.Errorf("the estimate %v is below the mean", q.latency)
	}
}

func TestOutcomeCountsAddAndDecay(t *testing.T) {
	o := outcomeCounts{}.times(1).plus(errorOutcome).times(0.5).plus(successOutcome)
	if o != (outcomeCounts{errors: 0.5, total: 1.5}) {
		t.Errorf("counts %+v", o)
	}
	if d := o.minus(errorOutcome); d != (outcomeCounts{errors: -0.5, total: 0.5}) {
		t.Errorf("difference %+v", d)
	} else if d.atLeastZero() != (outcomeCounts{total: 0.5}) {
		t.Errorf("difference %+v of at least 0", d.atLeastZero())
	}
	if got := o.errorShare(); got != 0.5/1.5 {
		t.Errorf("share of errors %v", got)
	}
	if got := (outcomeCounts{errors: 0.5, total: 0.5}).errorShare(); got != 0.5 {
		t.Errorf("share of errors %v of less than one outcome", got)
	}
}

func TestKindWeightIsTheMeanOfItsSamples(t *testing.T) {
	k := endpointKind{weight: 1}
	for range 500 {
		k.observe(1.5)
	}
	if !near(k.weight, 1.5, 0.01) || k.samples != 500 {
		t.Errorf("weight %v of %v samples of 1.5", k.weight, k.samples)
	}
}
