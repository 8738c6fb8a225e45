package config

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"

	"rowancart/balancer"
	"rowancart/internal/hcldecode"
	"rowancart/internal/netaddr"
)

// checkHostPort returns an error for an address that is not host:port.
func checkHostPort(address string) error {
	if err := netaddr.Check(address); err != nil {
		return fmt.Errorf("%q is not host:port: %w", address, err)
	}
	return nil
}

// checkListenAddress validates an address to listen on and records it. No two may be the same.
func (d *decoder) checkListenAddress(at hcl.Range, attribute, address string) {
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		if path == "" {
			d.Errorf(at, "%s: \"unix:\" must be followed by a path", attribute)
		}
	} else if err := checkHostPort(address); err != nil {
		d.Errorf(at, "%s: %v", attribute, err)
		return
	}
	if strings.HasSuffix(address, ":0") {
		return // the system chooses a free port, so this is not a conflict
	}
	if first, ok := d.addresses[address]; ok {
		d.Errorf(at, "%s: %s is already in use at %s", attribute, address, hcldecode.PositionOf(first))
		return
	}
	d.addresses[address] = at
}

// checkPolicy validates the merged policy of a route. At maps the name of each attribute to the
// range at which errors about it are reported.
func (d *decoder) checkPolicy(r *Route, at map[string]hcl.Range) {
	d.checkRepeatedRuns(r, at)
	d.checkTimeouts(r, at)
	p := r.Policy
	if p.TenantConcurrency > p.Concurrency && p.Concurrency > 0 {
		d.Errorf(at["tenant_concurrency"],
			"tenant_concurrency: %d is above the limit of route %q for all tenants together: %d",
			p.TenantConcurrency, r.Name, p.Concurrency)
	}
	if p.TenantRate.PerSecond > p.Rate.PerSecond && p.Rate.PerSecond > 0 {
		d.Errorf(at["tenant_rate"], "tenant_rate: %g/s is above the limit of route %q for all tenants together: %g/s",
			p.TenantRate.PerSecond, r.Name, p.Rate.PerSecond)
	}
}

// checkRepeatedRuns rejects what could run a request twice that must not: retries after a run for
// non-idempotent classes, and hedging for all classes that are not idempotent, keyed ones included.
// It also rejects hedging with a single attempt.
func (d *decoder) checkRepeatedRuns(r *Route, at map[string]hcl.Range) {
	p, c := r.Policy, r.Class
	if c.Idempotency == balancer.NonIdempotent && p.Retry == RetryAfterRun {
		d.Errorf(at["retry"], "retry: route %q is of class %q, which is %s: a retry after a run could run the request twice",
			r.Name, c.Name, nameNonIdempotent)
	}
	if p.HedgeAfter == 0 && p.HedgePercentile == 0 {
		return
	}
	if c.Idempotency != balancer.Idempotent {
		d.Errorf(at["second_copy"], "second_copy: route %q is of class %q, which is %s: a hedged request could run twice",
			r.Name, c.Name, idempotencyName(c.Idempotency))
	}
	if p.MaxAttempts < 2 {
		d.Errorf(at["second_copy"], "second_copy: needs at least 2 attempts, but route %q allows 1", r.Name)
	}
}

// checkTimeouts rejects a request timeout above the clients' timeout, attempt timeouts that
// together exceed the time of a request, and a hedge delay that is not shorter than the timeout of
// the first attempt.
func (d *decoder) checkTimeouts(r *Route, at map[string]hcl.Range) {
	p := r.Policy
	if p.RequestTimeout > p.ClientTimeout {
		d.Errorf(at["request_timeout"], "request_timeout: %v is longer than clients of route %q wait: %v",
			p.RequestTimeout, r.Name, p.ClientTimeout)
	}
	total := min(p.RequestTimeout, p.ClientTimeout)
	allAttempts := time.Duration(p.MaxAttempts) * p.AttemptTimeout
	switch {
	case p.AttemptTimeout > total:
		d.Errorf(at["attempt_timeout"],
			"attempt_timeout: %v is longer than a request of route %q may take: %v",
			p.AttemptTimeout, r.Name, total)
	case p.AttemptTimeout > 0 && allAttempts > total:
		d.Errorf(at["attempt_timeout"],
			"attempt_timeout: %d attempts of %v add up to %v, but a request of route %q may take %v",
			p.MaxAttempts, p.AttemptTimeout, allAttempts, r.Name, total)
	case p.HedgeAfter > 0 && p.HedgeAfter >= cmp.Or(p.AttemptTimeout, total):
		d.Errorf(at["second_copy"],
			"second_copy: after %v the first attempt of a request of route %q has already timed out", p.HedgeAfter, r.Name)
	}
}

// checkOverlaps rejects pairs of routes that one listener serves if both match some request and
// neither is more specific.
func (d *decoder) checkOverlaps() {
	byPattern := map[string][]Route{}
	for _, r := range d.Routes {
		pattern := r.Match.Host + " " + cmp.Or(r.Match.Path, "/*")
		for _, other := range byPattern[pattern] {
			if haveCommonListener(r, other) && r.Match.Overlaps(other.Match) {
				d.Errorf(d.defined[blockKey("route", r.Name)],
					"route %q overlaps route %q, defined at %s: some requests match both, and neither is more specific",
					r.Name, other.Name, hcldecode.PositionOf(d.defined[blockKey("route", other.Name)]))
			}
		}
		byPattern[pattern] = append(byPattern[pattern], r)
	}
}

// haveCommonListener reports whether a listener serves both routes.
func haveCommonListener(a, b Route) bool {
	return len(a.Listeners) == 0 || len(b.Listeners) == 0 ||
		slices.ContainsFunc(a.Listeners, func(name string) bool { return slices.Contains(b.Listeners, name) })
}

// warnUnused warns about pools, classes and policies that no block refers to, and about listeners
// that serve no route.
func (d *decoder) warnUnused() {
	for _, key := range slices.Sorted(maps.Keys(d.defined)) {
		kind, _, _ := strings.Cut(key, " ")
		if !d.used[key] && (kind == "pool" || kind == "class" || kind == "policy") {
			d.warn(key, "not used")
		}
	}
	for _, l := range d.Listeners {
		served := func(r Route) bool { return len(r.Listeners) == 0 || slices.Contains(r.Listeners, l.Name) }
		if !slices.ContainsFunc(d.Routes, served) {
			d.warn(fmt.Sprintf("listener %q", l.Name), "not used by any route")
		}
	}
}

// warn adds a warning about the block with this key.
func (d *decoder) warn(key, text string) {
	d.Warnings = append(d.Warnings, fmt.Sprintf("%s: %s: %s", hcldecode.PositionOf(d.defined[key]), key, text))
}
