// Package ratelimit decides how much of a route's traffic is admitted: so many requests a second
// and so many at once, for the route and for each of its tenants. It has no clock and no goroutine:
// the caller passes instants, all from one clock.
package ratelimit

import (
	"container/list"
	"time"

	"golang.org/x/time/rate"
)

// Rate is a number of requests a second, and how many of them may arrive at once. Zero: no limit.
type Rate struct {
	PerSecond float64
	Burst     int // 0: a second's worth, and at least 1
}

// Limits are the limits of a route's traffic. Zero: no limit.
type Limits struct {
	Rate              Rate
	Concurrency       int
	TenantRate        Rate
	TenantConcurrency int
	Tenants           int // tracked separately; those beyond share one quota. 0: DefaultTenants
}

// hasTenantLimits reports whether tenants have limits of their own.
func (l Limits) hasTenantLimits() bool {
	return l.TenantRate.PerSecond > 0 || l.TenantConcurrency > 0
}

// DefaultTenants is how many tenants are tracked where the limits do not say.
const DefaultTenants = 10000

// Limit is the limit for which a request was rejected.
type Limit string

// The limits.
const (
	None              Limit = "" // the request was admitted
	RouteRate         Limit = "route rate"
	RouteConcurrency  Limit = "route concurrency"
	TenantRate        Limit = "tenant rate"
	TenantConcurrency Limit = "tenant concurrency"
)

// Limiter limits the traffic of one route. It is not safe for concurrent use.
type Limiter struct {
	limits    Limits
	route     flow
	untracked flow // of all tenants beyond Limits.Tenants
	tenants   map[string]*list.Element
	recent    *list.List // of *flow: the tenants, the most recently used first
}

// Permit is the admission of one request. It must be passed to Release when the request ends.
type Permit struct{ tenant *flow }

// New returns a limiter that has admitted nothing yet.
func New(limits Limits) *Limiter {
	l := &Limiter{tenants: map[string]*list.Element{}, recent: list.New()}
	l.Configure(time.Time{}, limits)
	return l
}

// Configure changes the limits. Requests in flight still count, and unused tokens are kept as far
// as the new burst allows.
func (l *Limiter) Configure(now time.Time, limits Limits) {
	if limits.Tenants == 0 {
		limits.Tenants = DefaultTenants
	}
	l.limits = limits
	l.route.setRate(now, limits.Rate)
	l.untracked.setRate(now, limits.TenantRate)
	for e := l.recent.Front(); e != nil; e = e.Next() {
		e.Value.(*flow).setRate(now, limits.TenantRate)
	}
}

// Acquire admits a request, or returns the limit that it exceeds and, for a rate, the time after
// which a retry makes sense. A rejected request uses up no limit. A request without a tenant counts
// for the route alone.
func (l *Limiter) Acquire(now time.Time, tenant string) (Permit, Limit, time.Duration) {
	var t *flow
	if tenant != "" && l.limits.hasTenantLimits() {
		t = l.tenantFlow(now, tenant)
	}
	if t != nil && t.isFull(l.limits.TenantConcurrency) {
		return Permit{}, TenantConcurrency, 0
	}
	if l.route.isFull(l.limits.Concurrency) {
		return Permit{}, RouteConcurrency, 0
	}
	if exceeded, retryAfter := l.takeTokens(now, t); exceeded != None {
		return Permit{}, exceeded, retryAfter
	}
	l.route.inFlight++
	if t != nil {
		t.inFlight++
	}
	return Permit{t}, None, 0
}

// takeTokens takes a token of the tenant, unless nil, and of the route. If one of them has none, it
// takes neither, and returns the rate that is exceeded and the time until there is a token.
func (l *Limiter) takeTokens(now time.Time, tenant *flow) (exceeded Limit, wait time.Duration) {
	var tenantToken *rate.Reservation
	if tenant != nil {
		if tenantToken, wait = tenant.takeToken(now); wait > 0 {
			return TenantRate, wait
		}
	}
	if _, wait = l.route.takeToken(now); wait > 0 {
		if tenantToken != nil {
			tenantToken.CancelAt(now)
		}
		return RouteRate, wait
	}
	return None, 0
}

// Release ends a request that was admitted.
func (l *Limiter) Release(p Permit) {
	l.route.inFlight--
	if p.tenant != nil {
		p.tenant.inFlight--
	}
}

// Usage returns how many requests are in flight, and how many tenants are tracked.
func (l *Limiter) Usage() (inFlight, tenants int) { return l.route.inFlight, l.recent.Len() }

// tenantFlow returns the flow of a tenant, and tracks the tenant from now on.
//
// If too many are tracked, the least recently used one is dropped, provided that this changes
// nothing for it: it has no request in flight and all its tokens. Otherwise the new tenant shares a
// flow with all others that are not tracked. So tenant names made up by the thousand are admitted
// little, and cost no memory.
func (l *Limiter) tenantFlow(now time.Time, tenant string) *flow {
	if e := l.tenants[tenant]; e != nil {
		l.recent.MoveToFront(e)
		return e.Value.(*flow)
	}
	for l.recent.Len() >= l.limits.Tenants {
		oldest := l.recent.Back()
		f := oldest.Value.(*flow)
		if !f.isUnused(now) {
			return &l.untracked
		}
		l.recent.Remove(oldest)
		delete(l.tenants, f.tenant)
	}
	f := &flow{tenant: tenant}
	f.setRate(now, l.limits.TenantRate)
	l.tenants[tenant] = l.recent.PushFront(f)
	return f
}
