package report

import (
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rowancart/internal/experiment"
	"rowancart/internal/experiment/counters"
)

// newTestRun returns the counters of a run with one class and one recorded latency.
func newTestRun(latency time.Duration, attempts, sent int64) *counters.Counters {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	if err := h.RecordValue(latency.Microseconds()); err != nil {
		panic(err)
	}
	var outcomes counters.Counts
	outcomes[counters.ServedInTime] = 1
	return &counters.Counters{
		Total:    outcomes,
		Classes:  []counters.Counts{outcomes},
		Requests: 2, Attempts: attempts, RequestsSent: sent,
		OfferedWeight: 4, ServedWeight: 3,
		Latency: h,
	}
}

func TestTotalsOfNoRun(t *testing.T) {
	sum := newTotals(&experiment.Site{})
	if sum.attemptsPerRequest() != 0 || sum.retriesPerRequest() != 0 || sum.medianTimeToFullLoad() != 0 ||
		sum.latencyPercentiles() != (Latency{}) {
		t.Errorf("without a run: got %+v, want all results 0", sum)
	}
}

func TestTotalsAddRuns(t *testing.T) {
	sum := newTotals(&experiment.Site{Classes: make([]experiment.Class, 1)})
	sum.add(newTestRun(10*time.Millisecond, 3, 2))
	sum.add(newTestRun(30*time.Millisecond, 5, 2))
	if got := sum.outcomes.Offered(); got != 2 {
		t.Errorf("%d requests offered, want 2", got)
	}
	if got := sum.classes[0].Offered(); got != 2 {
		t.Errorf("%d requests of the class, want 2", got)
	}
	if got := sum.attemptsPerRequest(); got != 2 { // 8 attempts / 4 requests
		t.Errorf("%g attempts for each request, want 2", got)
	}
	if got := sum.retriesPerRequest(); got != 1 { // 4 attempts beyond the first / 4 requests
		t.Errorf("%g retries for each request, want 1", got)
	}
	if sum.offeredWeight != 8 || sum.servedWeight != 6 {
		t.Errorf("weights %g and %g, want 8 and 6", sum.offeredWeight, sum.servedWeight)
	}
	p := sum.latencyPercentiles()
	if p.P50 < 9.9 || p.P50 > 10.1 || p.P999 < 29.9 || p.P999 > 30.1 {
		t.Errorf("percentiles %+v, want 10 and 30 ms", p)
	}
}

// On sockets the number of requests with an attempt is not counted.
func TestRetriesAreUnknownWithoutSentRequests(t *testing.T) {
	sum := newTotals(&experiment.Site{Classes: make([]experiment.Class, 1)})
	sum.add(newTestRun(time.Millisecond, 3, 0))
	if got := sum.retriesPerRequest(); got != 0 {
		t.Errorf("%g retries for each request, want 0", got)
	}
}

func TestMedianTimeToFullLoad(t *testing.T) {
	var sum totals
	for _, step := range []struct{ seconds, median float64 }{{5, 5}, {1, 5}, {3, 3}, {2, 3}, {1, 2}} {
		sum.addTimeToFullLoad(step.seconds)
		if got := sum.medianTimeToFullLoad(); got != step.median {
			t.Errorf("after %g: median %g, want %g", step.seconds, got, step.median)
		}
	}
}
