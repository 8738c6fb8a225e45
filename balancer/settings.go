package balancer

// The state that a Balancer keeps for each class, kind of work and tenant named in its settings.
// This file makes no load-balancing decisions.

import (
	"cmp"
	"slices"
	"time"
)

// class holds the settings of a class of requests and the estimates of their latency.
type class struct {
	Class
	latency  *latencyEstimator // shared by all classes of one kind of work
	quantile quantileEstimator // estimates the latency at HedgeQuantile
}

// observe adds the latency of a response, in seconds. It limits outliers to maxLatencyRatio times
// the mean.
func (c *class) observe(now time.Duration, latency float64) {
	if c.latency.mean > 0 {
		latency = min(latency, maxLatencyRatio*c.latency.mean)
	}
	c.quantile.observe(latency, c.latency.mean, c.HedgeQuantile)
	c.latency.observe(now, latency)
}

// classSet holds the classes in the settings, by name, and the latency estimators that they share.
type classSet struct {
	classes       map[string]*class
	latencies     []*latencyEstimator // one for each kind of work
	meanObjective float64             // mean latency objective of the classes, in seconds
}

// tenantSet holds the tenants in the settings.
type tenantSet struct {
	byName map[string]*tenant
	quota  float64 // this instance's share of all tenants' quotas, in requests per second
}

// tenant is a tenant and the token bucket that enforces its quota.
type tenant struct {
	Tenant
	tokenBucket
}

// apply replaces the tenants. Each instance gets an equal share of a tenant's quota. A tenant that
// was there before keeps its tokens, up to this instance's share of its new quota.
func (s *tenantSet) apply(now time.Duration, settings []Tenant, instances int) {
	previous := s.byName
	s.byName = map[string]*tenant{}
	s.quota = 0
	for _, t := range settings {
		quota := t.Quota / float64(max(instances, 1))
		s.quota += quota
		bucket := tokenBucket{tokens: quota, refilledAt: now}
		if old := previous[t.Name]; old != nil {
			bucket = tokenBucket{tokens: min(old.tokens, quota), refilledAt: old.refilledAt}
		}
		s.byName[t.Name] = &tenant{Tenant: t, tokenBucket: bucket}
	}
}

// applySettings replaces the settings. Classes, kinds of work and tenants whose names stay keep
// their state.
func (b *Balancer) applySettings(now time.Duration, s Settings) {
	b.settings = s
	b.retryTokens.RetryBudget = s.RetryBudget
	b.applyClasses(s.Classes)
	b.tenants.apply(now, s.Tenants, s.Instances)
}

// applyClasses replaces the classes. Classes and kinds of work whose names stay keep their
// estimates.
func (s *classSet) applyClasses(settings []Class) {
	previous := *s
	*s = classSet{classes: map[string]*class{}}
	for _, c := range settings {
		s.meanObjective += c.LatencyObjective.Seconds() / float64(len(settings))
		added := &class{Class: c, latency: s.latencyFor(cmp.Or(c.Work, c.Name), previous.latencies)}
		if old := previous.classes[c.Name]; old != nil {
			added.quantile = old.quantile
		}
		s.classes[c.Name] = added
	}
}

// latencyFor returns the estimator for a kind of work: the one that another class already uses,
// else the one among the previous estimators, else a new one.
func (s *classSet) latencyFor(work string, previous []*latencyEstimator) *latencyEstimator {
	if shared := findLatency(s.latencies, work); shared != nil {
		return shared
	}
	latency := findLatency(previous, work)
	if latency == nil {
		latency = &latencyEstimator{work: work}
	}
	s.latencies = append(s.latencies, latency)
	return latency
}

// findLatency returns the estimator for a kind of work, or nil if there is none.
func findLatency(latencies []*latencyEstimator, work string) *latencyEstimator {
	i := slices.IndexFunc(latencies, func(l *latencyEstimator) bool { return l.work == work })
	if i < 0 {
		return nil
	}
	return latencies[i]
}

// typicalLatency returns the mean baseline latency in seconds, with each kind of work weighted by
// its number of responses. It is 1 before the first response.
func (s *classSet) typicalLatency() float64 {
	sum, samples := 0.0, 0.0
	for _, l := range s.latencies {
		sum += l.baseline * l.samples
		samples += l.samples
	}
	if sum <= 0 {
		return 1
	}
	return sum / samples
}
