package balancer

import (
	"testing"
	"time"
)

// An attempt is counted once, however often it is started or ended.
func TestConcurrencyLimiterCountsAnAttemptOnce(t *testing.T) {
	l := newConcurrencyLimiter()
	var first, second attempt
	for _, step := range []struct {
		name   string
		change func()
		want   int
	}{
		{"end an attempt that was not started", func() { l.end(&first) }, 0},
		{"start the first", func() { l.start(&first) }, 1},
		{"start the first again", func() { l.start(&first) }, 1},
		{"start the second", func() { l.start(&second) }, 2},
		{"end the first", func() { l.end(&first) }, 1},
		{"end the first again", func() { l.end(&first) }, 1},
		{"end the second", func() { l.end(&second) }, 0},
	} {
		step.change()
		if l.inFlight != step.want {
			t.Fatalf("%s: %d in flight, want %d", step.name, l.inFlight, step.want)
		}
	}
}

// A response after a pause has a higher weight than a response that follows another at once.
func TestConcurrencyLimiterSmoothsLatencyRatios(t *testing.T) {
	for _, c := range []struct {
		name string
		gap  time.Duration
		want float64
	}{
		{"without a pause", 0, 1 + minLatencyRatioGain},
		{"after latencyRatioMemory", latencyRatioMemory, 2 - decay(latencyRatioMemory, latencyRatioMemory)},
		{"after an hour", time.Hour, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newConcurrencyLimiter()
			l.updatedAt = time.Hour
			l.recordLatencyRatio(time.Hour+c.gap, 2)
			if !near(l.recentLatencyRatio, c.want, 1e-9) || l.updatedAt != time.Hour+c.gap {
				t.Errorf("ratio %v as of %v, want %v", l.recentLatencyRatio, l.updatedAt, c.want)
			}
		})
	}
}

func TestConcurrencyLimiterCut(t *testing.T) {
	for _, c := range []struct {
		name                            string
		limit, ratio, used, least, want float64
	}{
		{"by the threshold over the recent latency ratio", 20, 2.5, 20, 1, 16},
		{"by half at most", 20, 40, 20, 1, 10},
		{"relative to the attempts in flight", 20, 2.5, 10, 1, 8},
		{"not below the least", 20, 40, 20, 15, 15},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := concurrencyLimiter{limit: c.limit, recentLatencyRatio: c.ratio}
			l.cut(c.used, 2, c.least)
			if l.limit != c.want {
				t.Errorf("limit %v, want %v", l.limit, c.want)
			}
		})
	}
}

func TestConcurrencyLimiterGrow(t *testing.T) {
	for _, c := range []struct {
		name                   string
		ratio, tolerated, want float64
	}{
		{"quick responses", 1, 1, 10 + limitGrowthGain*0.5},
		{"responses at the threshold", limitGrowthThreshold, 1, 10},
		{"slow responses", 3, 1, 10},
		{"a long latency objective", 1, 2, 10 + limitGrowthGain*2*2},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := concurrencyLimiter{limit: 10, recentLatencyRatio: c.ratio}
			l.grow(c.tolerated)
			if !near(l.limit, c.want, 1e-12) {
				t.Errorf("limit %v, want %v", l.limit, c.want)
			}
		})
	}
}
