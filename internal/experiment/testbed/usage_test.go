package testbed

import (
	"testing"
	"time"
)

func TestCPUMeterAveragesOverIntervals(t *testing.T) {
	meter := cpuMeter{start: time.Second}
	for _, c := range []struct {
		now, cpuTime time.Duration
		want         float64
	}{
		{1900 * time.Millisecond, 450 * time.Millisecond, 0}, // the interval is shorter than cpuInterval
		{2 * time.Second, 500 * time.Millisecond, 0.5},
		{2500 * time.Millisecond, 2 * time.Second, 0},
		{4 * time.Second, 2500 * time.Millisecond, 1}, // 2 s of CPU time in 2 s
	} {
		if got := meter.cores(c.now, c.cpuTime); got != c.want {
			t.Errorf("at %v, with %v of CPU time: %g cores, want %g", c.now, c.cpuTime, got, c.want)
		}
	}
}

func TestCPUMeterBeginsWithFirstMeasurement(t *testing.T) {
	var meter cpuMeter
	if got := meter.cores(5*time.Second, 4*time.Second); got != 0 {
		t.Errorf("first measurement: %g cores, want 0", got)
	}
	if got := meter.cores(6*time.Second, 4250*time.Millisecond); got != 0.25 {
		t.Errorf("a second later: %g cores, want 0.25", got)
	}
}
