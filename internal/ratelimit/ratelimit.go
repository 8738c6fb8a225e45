// Package ratelimit admits or rejects the requests of a route by their rate and their concurrency,
// for the route and for each of its tenants. It has no clock and no goroutine: the time is passed
// in, always from the same clock.
package ratelimit

import (
	"container/list"
	"time"

	"golang.org/x/time/rate"
)

// Rate is the rate and the burst of a token bucket. Zero: no limit.
type Rate struct {
	PerSecond float64
	Burst     int // 0: the requests of one second, and at least 1
}

// Limits are the limits of a route's traffic. Zero: no limit.
type Limits struct {
	Rate              Rate
	Concurrency       int
	TenantRate        Rate
	TenantConcurrency int
	Tenants           int // tracked separately; all others have one common quota. 0: DefaultTenants
}

// hasTenantLimits reports whether tenants have limits of their own.
func (l Limits) hasTenantLimits() bool {
	return l.TenantRate.PerSecond > 0 || l.TenantConcurrency > 0
}

// DefaultTenants is how many tenants are tracked if Limits.Tenants is 0.
const DefaultTenants = 10000

// Limit names a limit of a route's traffic.
type Limit string

// The limits.
const (
	None              Limit = ""
	RouteRate         Limit = "route rate"
	RouteConcurrency  Limit = "route concurrency"
	TenantRate        Limit = "tenant rate"
	TenantConcurrency Limit = "tenant concurrency"
)

// Exceeded is the limit for which a request was rejected. It is zero, with the limit None, for a
// request that was admitted.
type Exceeded struct {
	Limit      Limit
	RetryAfter time.Duration // until the rate admits a request again; 0 if the limit is not a rate
}

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

// Configure changes the limits. Requests in flight still count, and unused tokens remain up to the
// new burst.
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

// Acquire admits a request, or returns the limit that it exceeds. A rejected request counts for no
// limit. A request without a tenant counts for the route alone.
func (l *Limiter) Acquire(now time.Time, tenant string) (Permit, Exceeded) {
	var t *flow
	if tenant != "" && l.limits.hasTenantLimits() {
		t = l.tenantFlow(now, tenant)
	}
	if t != nil && t.isFull(l.limits.TenantConcurrency) {
		return Permit{}, Exceeded{Limit: TenantConcurrency}
	}
	if l.route.isFull(l.limits.Concurrency) {
		return Permit{}, Exceeded{Limit: RouteConcurrency}
	}
	if exceeded := l.takeTokens(now, t); exceeded.Limit != None {
		return Permit{}, exceeded
	}
	l.route.inFlight++
	if t != nil {
		t.inFlight++
	}
	return Permit{t}, Exceeded{}
}

// takeTokens takes a token of the tenant, unless nil, and of the route. If one of them has none, it
// takes neither and returns the rate that is exceeded.
func (l *Limiter) takeTokens(now time.Time, tenant *flow) Exceeded {
	var tenantToken *rate.Reservation
	if tenant != nil {
		var delay time.Duration
		if tenantToken, delay = tenant.takeToken(now); delay > 0 {
			return Exceeded{TenantRate, delay}
		}
	}
	if _, delay := l.route.takeToken(now); delay > 0 {
		if tenantToken != nil {
			tenantToken.CancelAt(now)
		}
		return Exceeded{RouteRate, delay}
	}
	return Exceeded{}
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
// nothing for it: it has no request in flight and all its tokens. Otherwise the new tenant uses one
// flow with all others that are not tracked. So a client that invents tenant names gets one quota
// for all of them, and uses no memory.
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
