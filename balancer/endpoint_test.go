package balancer

import (
	"math"
	"testing"
	"time"
)

func TestEndpointStartedAt(t *testing.T) {
	for _, c := range []struct {
		name                     string
		started, enabledAt, want time.Duration
	}{
		{"listed without a start", 0, 0, 0},
		{"started", time.Minute, 0, time.Minute},
		{"enabled after its start", time.Minute, time.Hour, time.Hour},
		{"restarted after it was enabled", time.Hour, time.Minute, time.Hour},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := &endpoint{slowStart: slowStart{enabledAt: c.enabledAt}}
			e.Started = c.started
			if got := e.startedAt(); got != c.want {
				t.Errorf("started at %v, want %v", got, c.want)
			}
		})
	}
}

// Without samples, the weight is the kind's weight. With many, it is the kind's weight times their
// mean.
func TestSampleMeanWeight(t *testing.T) {
	var m sampleMean
	if got := m.weight(1.5); got != 1.5 {
		t.Errorf("weight %v without samples, want the kind's 1.5", got)
	}
	now := time.Hour
	m.add(now, 3)
	if got, want := m.weight(1.5), 1.5*(priorSamples+3)/(priorSamples+1); got != want {
		t.Errorf("weight %v after one sample, want %v", got, want)
	}
	for range 2000 {
		now += 10 * time.Millisecond
		m.add(now, 3)
	}
	if got := m.weight(1.5); !near(got, 1.5*3, 0.05) {
		t.Errorf("weight %v after 2000 samples of 3, want about 4.5", got)
	}
}

// A sample counts less with time and with each later sample.
func TestSampleMeanDecays(t *testing.T) {
	for _, c := range []struct {
		name string
		gap  time.Duration
		want float64 // count after two samples
	}{
		{"at once, as in minSampleMemory", 0, 2},
		{"after 10 ms", 10 * time.Millisecond, 1 + decay(10*time.Millisecond, minSampleMemory)},
		{"after 100 ms, by the number of samples", 100 * time.Millisecond, 1 + maxSampleRetention},
		{"after sampleMemory", sampleMemory, 1 + 1/math.E},
	} {
		t.Run(c.name, func(t *testing.T) {
			var m sampleMean
			m.restart(time.Hour, 1)
			m.add(time.Hour+c.gap, 1)
			if !near(m.count, c.want, 1e-12) || m.sum != m.count || m.updatedAt != time.Hour+c.gap {
				t.Errorf("mean %+v, want the count %v, an equal sum and the time of the second sample", m, c.want)
			}
		})
	}
}

func TestSampleMeanRestart(t *testing.T) {
	m := sampleMean{sum: 40, count: 20, updatedAt: time.Minute}
	m.restart(time.Hour, 2.5)
	if m != (sampleMean{sum: 2.5, count: 1, updatedAt: time.Hour}) {
		t.Errorf("mean %+v after restart, want only the one sample", m)
	}
}

func TestTrialSchedule(t *testing.T) {
	const at = time.Minute
	for _, c := range []struct {
		name      string
		schedule  trialSchedule
		now       time.Duration
		isDue     bool
		remaining time.Duration
	}{
		{"before its time", trialSchedule{nextAt: at}, at - time.Second, false, time.Second},
		{"at its time", trialSchedule{nextAt: at}, at, true, 0},
		{"after its time", trialSchedule{nextAt: at}, at + time.Second, true, 0},
		{"in flight", trialSchedule{nextAt: at, inFlight: true}, at + time.Second, false, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.schedule.isDue(c.now); got != c.isDue {
				t.Errorf("due: %v, want %v", got, c.isDue)
			}
			if got := c.schedule.remaining(c.now); got != c.remaining {
				t.Errorf("remaining: %v, want %v", got, c.remaining)
			}
		})
	}
}

func TestConnectionHistoryIsDown(t *testing.T) {
	for _, c := range []struct {
		name    string
		history connectionHistory
		want    bool
	}{
		{"neither response nor reset", connectionHistory{}, false},
		{"responded", connectionHistory{respondedAt: time.Second}, false},
		{"reset before any response", connectionHistory{resetAt: time.Second}, true},
		{"responded since", connectionHistory{resetAt: time.Second, respondedAt: time.Minute}, false},
		{"reset since", connectionHistory{resetAt: time.Minute, respondedAt: time.Second}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.history.isDown(); got != c.want {
				t.Errorf("down: %v, want %v", got, c.want)
			}
		})
	}
}
