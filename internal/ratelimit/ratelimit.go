// Package ratelimit admits or rejects the requests of a route. It limits their rate and their
// concurrency, for the route as a whole and for each of its tenants. It has no clock and starts no
// goroutine: callers pass in the time, always from the same clock.
package ratelimit

import (
	"container/list"
	"hash/maphash"
	"time"

	"golang.org/x/time/rate"
)

// Rate is the rate and the burst of a token bucket. A rate of zero means no limit.
type Rate struct {
	PerSecond float64
	Burst     int // 0: the number of requests in one second, and at least 1
}

// Limits are the limits of a route's requests. Zero means no limit.
type Limits struct {
	Rate              Rate
	Concurrency       int
	TenantRate        Rate
	TenantConcurrency int
	Tenants           int // maximum number that are tracked separately; all others share one quota. 0: DefaultTenants
}

// hasTenantLimits reports whether tenants have limits of their own.
func (l Limits) hasTenantLimits() bool {
	return l.TenantRate.PerSecond > 0 || l.TenantConcurrency > 0
}

// DefaultTenants is the maximum number of tenants that are tracked if Limits.Tenants is 0.
const DefaultTenants = 10000

// Limit names one of the limits of a route's requests.
type Limit string

// The values of Limit.
const (
	None              Limit = ""
	RouteRate         Limit = "route rate"
	RouteConcurrency  Limit = "route concurrency"
	TenantRate        Limit = "tenant rate"
	TenantConcurrency Limit = "tenant concurrency"
)

// Exceeded is the limit that a rejected request exceeds. For an admitted request it is the zero
// value, whose limit is None.
type Exceeded struct {
	Limit      Limit
	RetryAfter time.Duration // until the rate admits a request again; 0 if the limit is not a rate
}

// Limiter limits the requests of one route. It is not safe for concurrent use.
type Limiter struct {
	limits    Limits
	route     flow
	untracked flow // common to all tenants that are not tracked
	seed      maphash.Seed
	tenants   map[uint64]*list.Element // elements of lru, by the hash of the tenant's name
	lru       *list.List               // values of type *flow: the tracked tenants, the most recently used first
}

// Permit is the admission of one request. It must be passed to Release when the request ends.
type Permit struct{ tenant *flow }

// New returns a limiter that has admitted nothing yet.
func New(limits Limits) *Limiter {
	l := &Limiter{seed: maphash.MakeSeed(), tenants: map[uint64]*list.Element{}, lru: list.New()}
	l.Configure(time.Time{}, limits)
	return l
}

// Configure changes the limits. Requests in flight still count, and unused tokens are kept, up to
// the new burst.
func (l *Limiter) Configure(now time.Time, limits Limits) {
	if limits.Tenants == 0 {
		limits.Tenants = DefaultTenants
	}
	l.limits = limits
	l.route.setRate(now, limits.Rate)
	l.untracked.setRate(now, limits.TenantRate)
	for e := l.lru.Front(); e != nil; e = e.Next() {
		e.Value.(*flow).setRate(now, limits.TenantRate)
	}
}

// Acquire admits a request, or returns the limit that it exceeds. A rejected request does not
// count against any limit. A request without a tenant counts only against the limits of the route.
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

// takeTokens takes a token of the tenant, unless tenant is nil, and one of the route. If either
// has none, it takes neither and returns the rate that is exceeded.
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

// Release must be called when an admitted request ends.
func (l *Limiter) Release(p Permit) {
	l.route.inFlight--
	if p.tenant != nil {
		p.tenant.inFlight--
	}
}

// Usage returns how many requests are in flight, and how many tenants are tracked.
func (l *Limiter) Usage() (inFlight, tenants int) { return l.route.inFlight, l.lru.Len() }

// tenantFlow returns the flow of a tenant, and begins to track the tenant if it is not tracked
// yet.
//
// If the maximum number of tenants is tracked, the least recently used one is dropped, provided
// that its flow is unused (no request is in flight, and no token is missing), so that dropping it
// changes nothing for that tenant. Otherwise the new tenant is not tracked, and shares one flow
// with all other tenants that are not tracked. So a client that invents tenant names gets one
// quota for all of them, and uses no memory. A name is kept only as its hash: it may be long, and
// keep the whole head of its request in memory.
func (l *Limiter) tenantFlow(now time.Time, tenant string) *flow {
	key := maphash.String(l.seed, tenant)
	if e := l.tenants[key]; e != nil {
		l.lru.MoveToFront(e)
		return e.Value.(*flow)
	}
	for l.lru.Len() >= l.limits.Tenants {
		oldest := l.lru.Back()
		f := oldest.Value.(*flow)
		if !f.isUnused(now) {
			return &l.untracked
		}
		l.lru.Remove(oldest)
		delete(l.tenants, f.key)
	}
	f := &flow{key: key}
	f.setRate(now, l.limits.TenantRate)
	l.tenants[key] = l.lru.PushFront(f)
	return f
}
