package config

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"

	"rowancart/balancer"
	"rowancart/internal/hcldecode"
	"rowancart/internal/ratelimit"
)

// policyBlock is a block that sets some or all attributes of a policy.
type policyBlock struct {
	Policy
	rate, tenantRate   hcldecode.Rate
	burst, tenantBurst int
	ranges             map[string]hcl.Range // where each attribute is set, by attribute name
	title              string               // identifies the block in messages
	valid              bool                 // false after an error that would cause further errors in a merged policy
}

// attribute is one attribute of a policy.
type attribute struct {
	name   string
	copy   func(to, from *policyBlock)
	format func(p Policy) string // nil: the value is shown as part of another attribute
}

// attributes lists all attributes of a policy in the order in which Show prints them.
var attributes = []attribute{
	{
		name:   "client_waits",
		copy:   func(to, from *policyBlock) { to.ClientTimeout = from.ClientTimeout },
		format: func(p Policy) string { return p.ClientTimeout.String() },
	},
	{
		name:   "request_timeout",
		copy:   func(to, from *policyBlock) { to.RequestTimeout = from.RequestTimeout },
		format: func(p Policy) string { return p.RequestTimeout.String() },
	},
	{
		name:   "attempt_timeout",
		copy:   func(to, from *policyBlock) { to.AttemptTimeout = from.AttemptTimeout },
		format: func(p Policy) string { return formatLimit(p.AttemptTimeout != 0, p.AttemptTimeout) },
	},
	{
		name:   "attempts",
		copy:   func(to, from *policyBlock) { to.MaxAttempts = from.MaxAttempts },
		format: func(p Policy) string { return fmt.Sprint(p.MaxAttempts) },
	},
	{
		name:   "retry",
		copy:   func(to, from *policyBlock) { to.Retry = from.Retry },
		format: func(p Policy) string { return string(p.Retry) },
	},
	{
		name: "second_copy",
		copy: func(to, from *policyBlock) {
			to.HedgeAfter, to.HedgePercentile = from.HedgeAfter, from.HedgePercentile
		},
		format: formatHedging,
	},
	{
		name:   "queue",
		copy:   func(to, from *policyBlock) { to.QueueLimit = from.QueueLimit },
		format: func(p Policy) string { return formatLimit(p.QueueLimit >= 0, p.QueueLimit) },
	},
	{
		name:   "rate",
		copy:   func(to, from *policyBlock) { to.rate = from.rate },
		format: func(p Policy) string { return formatRate(p.Rate) },
	},
	{
		name: "burst",
		copy: func(to, from *policyBlock) { to.burst = from.burst },
	},
	{
		name:   "concurrency",
		copy:   func(to, from *policyBlock) { to.Concurrency = from.Concurrency },
		format: func(p Policy) string { return formatLimit(p.Concurrency != 0, p.Concurrency) },
	},
	{
		name:   "tenant_rate",
		copy:   func(to, from *policyBlock) { to.tenantRate = from.tenantRate },
		format: func(p Policy) string { return formatRate(p.TenantRate) },
	},
	{
		name: "tenant_burst",
		copy: func(to, from *policyBlock) { to.tenantBurst = from.tenantBurst },
	},
	{
		name:   "tenant_concurrency",
		copy:   func(to, from *policyBlock) { to.TenantConcurrency = from.TenantConcurrency },
		format: func(p Policy) string { return formatLimit(p.TenantConcurrency != 0, p.TenantConcurrency) },
	},
}

func formatLimit(limited bool, value any) string {
	if !limited {
		return "no limit"
	}
	return fmt.Sprint(value)
}

func formatRate(r ratelimit.Rate) string {
	if r.PerSecond == 0 {
		return "no limit"
	}
	return fmt.Sprintf("%g/s, burst %d", r.PerSecond, r.Burst)
}

func formatHedging(p Policy) string {
	var parts []string
	if p.HedgeAfter > 0 {
		parts = append(parts, "after "+p.HedgeAfter.String())
	}
	if p.HedgePercentile > 0 {
		parts = append(parts, fmt.Sprintf("after percentile %g", p.HedgePercentile))
	}
	return cmp.Or(strings.Join(parts, ", "), "none")
}

func (d *decoder) namedPolicy(b *hcl.Block) {
	if name := b.Labels[0]; d.define(b, name) {
		d.policies[name] = d.policy(b, fmt.Sprintf("policy %q", name))
	}
}

// policy decodes and validates a block that sets attributes of a policy.
func (d *decoder) policy(b *hcl.Block, title string) *policyBlock {
	p := &policyBlock{title: title, ranges: map[string]hcl.Range{}}
	fields := hcldecode.Fields{
		"client_waits":       &p.ClientTimeout,
		"request_timeout":    &p.RequestTimeout,
		"attempt_timeout":    &p.AttemptTimeout,
		"attempts":           &p.MaxAttempts,
		"retry":              (*string)(&p.Retry),
		"queue":              &p.QueueLimit,
		"rate":               &p.rate,
		"burst":              &p.burst,
		"concurrency":        &p.Concurrency,
		"tenant_rate":        &p.tenantRate,
		"tenant_burst":       &p.tenantBurst,
		"tenant_concurrency": &p.TenantConcurrency,
	}
	p.valid = d.Body(b.Body, fields, hcldecode.Blocks{"second_copy": func(b *hcl.Block) { d.hedging(b, p) }})
	if !p.valid {
		return p // most further errors would be caused by the first
	}
	for name, field := range fields {
		if at, ok := d.Ranges[field]; ok {
			p.ranges[name] = at
		}
	}
	d.checkPolicyBlock(p)
	return p
}

func (d *decoder) hedging(b *hcl.Block, p *policyBlock) {
	ok := d.Body(b.Body, hcldecode.Fields{"after": &p.HedgeAfter, "percentile": &p.HedgePercentile}, nil)
	if ok && p.HedgeAfter == 0 && p.HedgePercentile == 0 {
		d.Errorf(b.DefRange, "second_copy: must set after or percentile")
	}
	p.ranges["second_copy"] = b.DefRange
}

// Error messages for attributes that must not be zero.
const (
	zeroDuration = "0s is not a positive duration"
	zeroRate     = "0/s is not a positive rate"
	zeroCount    = "0 is not a positive number"
)

// checkPolicyBlock validates what does not depend on the route to which a policy applies.
func (d *decoder) checkPolicyBlock(p *policyBlock) {
	for _, required := range []struct {
		name     string
		positive bool
		message  string
	}{
		{"client_waits", p.ClientTimeout > 0, zeroDuration},
		{"request_timeout", p.RequestTimeout > 0, zeroDuration},
		{"attempt_timeout", p.AttemptTimeout > 0, zeroDuration},
		{"attempts", p.MaxAttempts > 0, zeroCount},
		{"rate", p.rate > 0, zeroRate},
		{"concurrency", p.Concurrency > 0, zeroCount},
		{"tenant_rate", p.tenantRate > 0, zeroRate},
	} {
		if at, ok := p.ranges[required.name]; ok && !required.positive {
			d.Errorf(at, "%s: %s", required.name, required.message)
			p.valid = false
		}
	}
	if at, ok := p.ranges["retry"]; ok {
		hcldecode.OneOf(&d.Decoder, at, "retry", p.Retry, RetryIfNotRun, RetryAfterRun)
	}
	at, ok := d.Ranges[&p.HedgePercentile]
	if ok && (p.HedgePercentile < minHedgePercentile || p.HedgePercentile >= maxHedgePercentile) {
		d.Errorf(at, "percentile: is %g, but must be at least %d and below %d",
			p.HedgePercentile, minHedgePercentile, maxHedgePercentile)
	}
}

// mergePolicy sets the policy of a route. The value of an attribute comes from the first layer that
// sets it, or is the default if no layer does. Errors about an attribute that no layer sets are
// reported at the range at. If a layer is not valid, r.Policy stays zero.
func (d *decoder) mergePolicy(r *Route, layers []*policyBlock, at hcl.Range) {
	if slices.ContainsFunc(layers, func(layer *policyBlock) bool { return !layer.valid }) {
		return
	}
	p := &policyBlock{ranges: map[string]hcl.Range{}}
	p.Policy = Policy{
		ClientTimeout: defaultClientTimeout,
		MaxAttempts:   defaultMaxAttempts,
		Retry:         RetryAfterRun,
		QueueLimit:    -1,
	}
	if r.Class.Idempotency == balancer.NonIdempotent {
		p.Retry = RetryIfNotRun
	}
	for _, a := range attributes {
		r.Origins[a.name] = originDefault
		p.ranges[a.name] = at
		for _, layer := range layers {
			if setAt, ok := layer.ranges[a.name]; ok {
				a.copy(p, layer)
				p.ranges[a.name] = setAt
				r.Origins[a.name] = fmt.Sprintf("%s, %s", hcldecode.PositionOf(setAt), layer.title)
				break
			}
		}
	}
	if p.RequestTimeout == 0 {
		p.RequestTimeout = p.ClientTimeout
	}
	p.Rate, p.TenantRate = newRate(p.rate, p.burst), newRate(p.tenantRate, p.tenantBurst)
	d.checkBurst(r, "burst", p.rate, p.ranges)
	d.checkBurst(r, "tenant_burst", p.tenantRate, p.ranges)
	r.Policy = p.Policy
	d.checkPolicy(r, p.ranges)
}

// originDefault is the origin of an attribute that no block sets.
const originDefault = "default"

// newRate returns a rate limit. The default burst is the number of requests in one second, and at
// least 1.
func newRate(perSecond hcldecode.Rate, burst int) ratelimit.Rate {
	if perSecond > 0 && burst == 0 {
		burst = max(int(math.Ceil(float64(perSecond))), 1)
	}
	return ratelimit.Rate{PerSecond: float64(perSecond), Burst: burst}
}

// checkBurst adds an error if a burst is set without a rate.
func (d *decoder) checkBurst(r *Route, name string, rate hcldecode.Rate, ranges map[string]hcl.Range) {
	if r.Origins[name] != originDefault && rate == 0 {
		d.Errorf(ranges[name], "%s: requires the corresponding rate, which the policy of route %q does not set", name, r.Name)
	}
}
