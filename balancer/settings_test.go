package balancer

import (
	"testing"
	"time"
)

// TestClassSetApply checks that classes of one kind of work share its latency estimator, and that
// new settings keep the estimates of kinds of work and classes that stay.
func TestClassSetApply(t *testing.T) {
	var s classSet
	s.applyClasses([]Class{
		{Name: "look", Work: "lookup", LatencyObjective: time.Second},
		{Name: "browse", Work: "lookup", LatencyObjective: 3 * time.Second},
		{Name: "pay", LatencyObjective: 2 * time.Second},
	})
	if len(s.classes) != 3 || len(s.latencies) != 2 || !near(s.meanObjective, 2, 1e-12) {
		t.Fatalf("%d classes, %d kinds of work, mean objective %v; want 3, 2 and 2",
			len(s.classes), len(s.latencies), s.meanObjective)
	}
	lookup, pay := s.classes["look"].latency, s.classes["pay"].latency
	if s.classes["browse"].latency != lookup || pay == lookup || pay.work != "pay" {
		t.Error("classes of one kind of work do not share a latency estimator, or those of different kinds do")
	}
	s.classes["pay"].quantile.latency = 0.25

	s.applyClasses([]Class{
		{Name: "pay", LatencyObjective: time.Second},
		{Name: "search", Work: "lookup", LatencyObjective: time.Second},
		{Name: "new", LatencyObjective: time.Second},
	})
	if s.classes["pay"].latency != pay || s.classes["pay"].quantile.latency != 0.25 {
		t.Error("class pay, which stays, has lost its latency or its quantile")
	}
	if s.classes["search"].latency != lookup {
		t.Error("the kind of work lookup, which stays, has lost its latency")
	}
	if added := s.classes["new"]; added.latency.samples != 0 || added.latency == lookup || added.latency == pay {
		t.Error("a new class starts with the latency of another")
	}
	if s.classes["look"] != nil || s.classes["browse"] != nil || len(s.latencies) != 3 ||
		!near(s.meanObjective, 1, 1e-12) {
		t.Errorf("%d classes, %d kinds of work, mean objective %v; want 3 without look and browse, 3 and 1",
			len(s.classes), len(s.latencies), s.meanObjective)
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

// TestClassObserveLimitsOutliers checks that a very slow response counts as no more than
// maxLatencyRatio times the mean.
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

// TestTenantSetApply checks that a tenant keeps its tokens when the settings change, up to this
// instance's share of its new quota.
func TestTenantSetApply(t *testing.T) {
	var s tenantSet
	s.apply(time.Second, []Tenant{{Name: "large", Quota: 40}, {Name: "small", Quota: 8}}, 4)
	if s.quota != 12 {
		t.Errorf("quota of this instance %v, want 12, a quarter of 48", s.quota)
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
		t.Errorf("tenants %v and quota %v, want no small, 1 token for new and a quota of 21", s.byName, s.quota)
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
