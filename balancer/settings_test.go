package balancer

import (
	"testing"
	"time"
)

// Classes of one kind of work share what it takes. A change of the classes keeps what was learned
// of the work and of classes that stay.
func TestClassSetApply(t *testing.T) {
	var s classSet
	s.applyClasses([]Class{
		{Name: "look", Work: "lookup", LatencyObjective: time.Second},
		{Name: "browse", Work: "lookup", LatencyObjective: 3 * time.Second},
		{Name: "pay", LatencyObjective: 2 * time.Second},
	})
	if len(s.classes) != 3 || len(s.latencies) != 2 || !near(s.meanObjective, 2, 1e-12) {
		t.Fatalf("%d classes, %d kinds of work, mean objective %v", len(s.classes), len(s.latencies), s.meanObjective)
	}
	lookup, pay := s.classes["look"].latency, s.classes["pay"].latency
	if s.classes["browse"].latency != lookup || pay == lookup || pay.work != "pay" {
		t.Error("classes do not share the latency of their work, and of that alone")
	}
	s.classes["pay"].quantile.latency = 0.25

	s.applyClasses([]Class{
		{Name: "pay", LatencyObjective: time.Second},
		{Name: "search", Work: "lookup", LatencyObjective: time.Second},
		{Name: "new", LatencyObjective: time.Second},
	})
	if s.classes["pay"].latency != pay || s.classes["pay"].quantile.latency != 0.25 {
		t.Error("what was learned of a class that stays is lost")
	}
	if s.classes["search"].latency != lookup {
		t.Error("what was learned of a kind of work is lost")
	}
	if added := s.classes["new"]; added.latency.samples != 0 || added.latency == lookup || added.latency == pay {
		t.Error("a new class begins with another's latency")
	}
	if s.classes["look"] != nil || s.classes["browse"] != nil || len(s.latencies) != 3 ||
		!near(s.meanObjective, 1, 1e-12) {
		t.Errorf("%d classes, %d kinds of work, mean objective %v", len(s.classes), len(s.latencies), s.meanObjective)
	}
}

func TestTypicalLatencyIsWeightedBySamples(t *testing.T) {
	s := classSet{}
	if got := s.typicalLatency(); got != 1 {
		t.Errorf("typical latency %v before any response, want 1", got)
	}
	s.latencies = []*latencyEstimator{{baseline: 0.1, samples: 30}, {baseline: 0.5, samples: 10}, {}}
	if got := s.typicalLatency(); !near(got, 0.2, 1e-12) {
		t.Errorf("typical latency %v, want 0.2", got)
	}
}

// One slow response moves the estimates of a class no further than maxLatencyRatio times the mean.
func TestClassObserveLimitsOutliers(t *testing.T) {
	c := &class{latency: &latencyEstimator{}}
	now := time.Duration(0)
	for range 100 {
		now += 100 * time.Millisecond
		c.observe(now, 0.1)
	}
	limited := *c.latency
	now += 100 * time.Millisecond
	limited.observe(now, maxLatencyRatio*c.latency.mean)
	c.observe(now, 1000)
	if *c.latency != limited {
		t.Errorf("latency %+v after a response of 1000 s, want %+v", *c.latency, limited)
	}
}

// A change of the settings leaves a tenant what it may still send, within its new quota.
func TestTenantSetApply(t *testing.T) {
	var s tenantSet
	s.apply(time.Second, []Tenant{{Name: "large", Quota: 40}, {Name: "small", Quota: 8}}, 4)
	if s.quota != 12 {
		t.Errorf("quota of this instance %v, want a quarter of 48", s.quota)
	}
	large := s.byName["large"]
	if large.tokens != 10 || large.refilledAt != time.Second {
		t.Errorf("a new tenant has %v tokens as of %v, want 10 as of 1s", large.tokens, large.refilledAt)
	}
	large.tokens = 6

	s.apply(time.Minute, []Tenant{{Name: "large", Quota: 80}, {Name: "new", Quota: 4}}, 4)
	if large := s.byName["large"]; large.tokens != 6 || large.refilledAt != time.Second {
		t.Errorf("a tenant that stays has %v tokens as of %v, want 6 as of 1s", large.tokens, large.refilledAt)
	}
	if s.byName["small"] != nil || s.byName["new"].tokens != 1 || s.quota != 21 {
		t.Errorf("tenants %v, quota %v", s.byName, s.quota)
	}

	s.apply(time.Hour, []Tenant{{Name: "large", Quota: 8}}, 0)
	if got := s.byName["large"].tokens; got != 6 {
		t.Errorf("%v tokens with a quota of 8 for one instance, want 6", got)
	}
	s.apply(time.Hour, []Tenant{{Name: "large", Quota: 4}}, 1)
	if got := s.byName["large"].tokens; got != 4 {
		t.Errorf("%v tokens with a quota of 4, want 4", got)
	}
}
