package balancer

// What a Balancer learns and counts by the names in its settings. No decision is made in this file.

import (
	"cmp"
	"slices"
	"time"
)

// class is the policy of a class of requests, and the latency of its requests.
type class struct {
	Class
	latency  *latencyEstimator // shared by the classes of one kind of work
	quantile quantileEstimator // of HedgeQuantile
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

// tenantSet is the tenants in the settings.
type tenantSet struct {
	byName map[string]*tenant
	quota  float64 // requests a second, of all tenants, for this instance alone
}

// tenant is a tenant with the requests that it may still send within its quota.
type tenant struct {
	Tenant
	tokenBucket
}

// apply replaces the tenants. A tenant that stays keeps its tokens, up to its new quota for this
// instance alone.
func (s *tenantSet) apply(now time.Duration, settings []Tenant, instances int) {
	earlier := s.byName
	s.byName = map[string]*tenant{}
	s.quota = 0
	for _, t := range settings {
		quota := t.Quota / float64(max(instances, 1))
		s.quota += quota
		bucket := tokenBucket{tokens: quota, refilledAt: now}
		if known := earlier[t.Name]; known != nil {
			bucket = tokenBucket{tokens: min(known.tokens, quota), refilledAt: known.refilledAt}
		}
		s.byName[t.Name] = &tenant{Tenant: t, tokenBucket: bucket}
	}
}

// applySettings replaces the settings and keeps what was learned of classes and tenants with the
// same names.
func (b *Balancer) applySettings(now time.Duration, s Settings) {
	b.settings = s
	b.retryTokens.RetryBudget = s.RetryBudget
	b.applyClasses(s.Classes)
	b.tenants.apply(now, s.Tenants, s.Instances)
}

// applyClasses replaces the classes and keeps what was learned of them and of their work.
func (s *classSet) applyClasses(settings []Class) {
	earlier := *s
	*s = classSet{classes: map[string]*class{}}
	for _, c := range settings {
		s.meanObjective += c.LatencyObjective.Seconds() / float64(len(settings))
		added := &class{Class: c, latency: s.latencyFor(cmp.Or(c.Work, c.Name), earlier.latencies)}
		if known := earlier.classes[c.Name]; known != nil {
			added.quantile = known.quantile
		}
		s.classes[c.Name] = added
	}
}

// latencyFor returns the estimator for a kind of work: that of another class, or else the earlier
// one, or else a new one.
func (s *classSet) latencyFor(work string, earlier []*latencyEstimator) *latencyEstimator {
	if shared := findLatency(s.latencies, work); shared != nil {
		return shared
	}
	latency := findLatency(earlier, work)
	if latency == nil {
		latency = &latencyEstimator{work: work}
	}
	s.latencies = append(s.latencies, latency)
	return latency
}

// findLatency returns the estimator for a kind of work, nil if there is none.
func findLatency(latencies []*latencyEstimator, work string) *latencyEstimator {
	i := slices.IndexFunc(latencies, func(l *latencyEstimator) bool { return l.work == work })
	if i < 0 {
		return nil
	}
	return latencies[i]
}

// typicalLatency returns the mean baseline latency over the responses so far, in seconds; 1 before
// the first.
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
