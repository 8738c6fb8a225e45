package balancer

// What a Balancer keeps by the names in its settings. No decision is made in this file.

import (
	"cmp"
	"slices"
	"time"
)

// class is how requests of one class are treated, and what their latency is.
type class struct {
	Class
	latency  *latencyEstimator // shared by the classes of one kind of work
	quantile quantileEstimator // of the share HedgeQuantile
}

// observe adds the latency of a response, in seconds.
func (c *class) observe(now time.Duration, latency float64) {
	if c.latency.mean > 0 {
		latency = min(latency, maxLatencyRatio*c.latency.mean)
	}
	c.quantile.observe(latency, c.latency.mean, c.HedgeQuantile)
	c.latency.observe(now, latency)
}

// classSet is the classes in the settings, and the latencies of the kinds of work that they share.
type classSet struct {
	classes       map[string]*class
	latencies     []*latencyEstimator // one for each kind of work
	meanObjective float64             // mean latency objective of the classes, in seconds
}

// tenant is a tenant with what it may still send within its quota.
type tenant struct {
	Tenant
	tokenBucket
}

// applySettings replaces the settings and keeps what was learned of classes and tenants, by their
// names.
func (b *Balancer) applySettings(now time.Duration, s Settings) {
	b.settings = s
	b.retryTokens.RetryBudget = s.RetryBudget
	b.applyClasses(s.Classes)
	tenants := b.tenants
	b.tenants, b.tenantQuota = map[string]*tenant{}, 0
	for _, t := range s.Tenants {
		quota := t.Quota / float64(max(s.Instances, 1))
		b.tenantQuota += quota
		bucket := tokenBucket{tokens: quota, refilledAt: now}
		if old := tenants[t.Name]; old != nil {
			bucket = tokenBucket{tokens: min(old.tokens, quota), refilledAt: old.refilledAt}
		}
		b.tenants[t.Name] = &tenant{Tenant: t, tokenBucket: bucket}
	}
}

// applyClasses replaces the classes and keeps what was learned of them and of their work.
func (s *classSet) applyClasses(settings []Class) {
	classes, latencies := s.classes, s.latencies
	s.classes, s.latencies, s.meanObjective = map[string]*class{}, nil, 0
	for _, c := range settings {
		s.meanObjective += c.LatencyObjective.Seconds() / float64(len(settings))
		work := cmp.Or(c.Work, c.Name)
		latency := findLatency(s.latencies, work)
		if latency == nil {
			if latency = findLatency(latencies, work); latency == nil {
				latency = &latencyEstimator{work: work}
			}
			s.latencies = append(s.latencies, latency)
		}
		s.classes[c.Name] = &class{Class: c, latency: latency}
		if old := classes[c.Name]; old != nil {
			s.classes[c.Name].quantile = old.quantile
		}
	}
}

// findLatency returns the estimator for a kind of work, nil if there is none.
func findLatency(latencies []*latencyEstimator, work string) *latencyEstimator {
	i := slices.IndexFunc(latencies, func(l *latencyEstimator) bool { return l.work == work })
	if i < 0 {
		return nil
	}
	return latencies[i]
}

// typicalLatency returns what a request takes without load, in seconds, over the work seen; 1
// before any was.
func (s *classSet) typicalLatency() float64 {
	sum, samples := 0.0, 0.0
	for _, l := range s.latencies {
		sum, samples = sum+l.baseline*l.samples, samples+l.samples
	}
	if sum <= 0 {
		return 1
	}
	return sum / samples
}
