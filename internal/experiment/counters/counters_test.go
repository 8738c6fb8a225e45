package counters

import (
	"testing"
	"time"

	"rowancart/internal/experiment"
)

const ms = time.Millisecond

// newTestCounters returns the counters of an experiment with a warm-up of one second, two classes
// with priority weights 1 and 4, and one tenant.
func newTestCounters() *Counters {
	return New(&experiment.Experiment{
		Warmup: time.Second,
		Site: experiment.Site{
			Classes: []experiment.Class{{Name: "light", PriorityWeight: 1}, {Name: "heavy", PriorityWeight: 4}},
			Tenants: []experiment.Tenant{{Name: "t"}},
		},
	})
}

func TestRecordCountsByClassTenantAndWeight(t *testing.T) {
	c := newTestCounters()
	c.Record(Request{Class: 0, Tenant: 0, At: 1100 * ms, Latency: 10 * ms, Outcome: ServedInTime})
	c.Record(Request{Class: 1, Tenant: -1, At: 1200 * ms, Latency: 20 * ms, Outcome: ServedLate})
	c.Record(Request{Class: 1, Tenant: 0, At: 2100 * ms, Latency: 30 * ms, Outcome: Rejected})
	c.Record(Request{Class: 1, Tenant: -1, At: 2200 * ms, Latency: 40 * ms, Outcome: Failed})
	if want := (Counts{1, 1, 1, 1}); c.Total != want {
		t.Errorf("total counts %v, want %v", c.Total, want)
	}
	if want := (Counts{0, 1, 1, 1}); c.Classes[1] != want {
		t.Errorf("counts of class heavy %v, want %v", c.Classes[1], want)
	}
	if want := (Counts{1, 0, 1, 0}); c.Tenants[0] != want {
		t.Errorf("counts of the tenant %v, want %v", c.Tenants[0], want)
	}
	if c.OfferedWeight != 13 || c.ServedWeight != 1 {
		t.Errorf("priority weights: offered %g and served in time %g, want 13 and 1", c.OfferedWeight, c.ServedWeight)
	}
	if n := c.Latency.TotalCount(); n != 2 {
		t.Errorf("latencies of %d requests are recorded, want those of the 2 served", n)
	}
}

func TestWarmupIsCountedBySecondOnly(t *testing.T) {
	c := newTestCounters()
	c.Record(Request{Tenant: -1, At: 999 * ms, Latency: 10 * ms, Outcome: ServedInTime})
	c.Record(Request{Tenant: -1, At: 1000 * ms, Latency: 10 * ms, Outcome: ServedInTime})
	if n := c.Total.Offered(); n != 1 {
		t.Errorf("%d requests in total, want 1", n)
	}
	for second := range 2 {
		if n := c.Seconds[second].Offered(); n != 1 {
			t.Errorf("%d requests in second %d, want 1", n, second)
		}
	}
}

func TestLatencyBySecond(t *testing.T) {
	c := newTestCounters()
	c.Record(Request{Tenant: -1, At: 2500 * ms, Latency: 50 * ms, Outcome: ServedLate})
	c.Record(Request{Tenant: -1, At: 3500 * ms, Latency: 50 * ms, Outcome: Failed})
	for second, want := range []time.Duration{0, 0, 50 * ms, 0, 0} { // the last second is after the last request
		got := c.P99OfSecond(second)
		if got < want || got > want*101/100 {
			t.Errorf("second %d: p99 %v, want %v", second, got, want)
		}
	}
}

func TestLatencyOutOfRangeIsMovedToBound(t *testing.T) {
	c := newTestCounters()
	c.Record(Request{Tenant: -1, At: 2 * time.Second, Latency: 0, Outcome: ServedInTime})
	if got := c.Quantile(1); got != time.Microsecond {
		t.Errorf("latency 0 is counted as %v, want 1µs", got)
	}
	c.Record(Request{Tenant: -1, At: 2 * time.Second, Latency: 2 * time.Hour, Outcome: ServedLate})
	if got := c.Quantile(1); got < time.Hour || got > time.Hour*1001/1000 {
		t.Errorf("a latency of 2 h is counted as %v, want 1 h", got)
	}
}

func TestFractionOfNoRequests(t *testing.T) {
	var c Counts
	if got := c.Fraction(Failed); got != 0 {
		t.Errorf("fraction of no requests: got %g, want 0", got)
	}
	c.Add(Counts{3, 0, 0, 1})
	if got := c.Fraction(Failed); got != 0.25 {
		t.Errorf("1 of 4 failed: got %g, want 0.25", got)
	}
}
