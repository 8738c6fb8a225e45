// Package ratelimit decides how much of a route's traffic is let in: so many requests a second and so many at once, for all and
// for each tenant. It has no clock and no goroutine: instants are passed in, by any one clock.
package ratelimit

import (
	"container/list"
	"time"

	"golang.org/x/time/rate"
)

// Rate is requests a second, and how many may come at once. Zero: no limit.
type Rate struct {
	PerSecond float64
	Burst     int // 0: a second's worth, and at least 1
}

// Limits are what a route's traffic is held to. Zero: no limit.
type Limits struct {
	Rate              Rate
	Concurrency       int
	TenantRate        Rate
	TenantConcurrency int
	Tenants           int // that are told apart at once; those beyond share one place. 0: DefaultTenants
}

// DefaultTenants is how many tenants are told apart where the rules do not say.
const DefaultTenants = 10000

// Limit says which limit turned a request away.
type Limit string

// The limits.
const (
	None              Limit = ""
	RouteRate         Limit = "route rate"
	RouteConcurrency  Limit = "route concurrency"
	TenantRate        Limit = "tenant rate"
	TenantConcurrency Limit = "tenant concurrency"
)

// Limiter holds the traffic of one route to its rules. It is not safe for concurrent use.
type Limiter struct {
	rules   Limits
	all     party
	others  party // of tenants for whom there is no place
	tenants map[string]*list.Element
	used    *list.List // of *party: the one used last at the front
}

// party is one whose traffic is counted.
type party struct {
	name   string
	bucket *rate.Limiter
	out    int
}

// Permit is what a request that was let in must bring back at its end.
type Permit struct{ tenant *party }

// New returns a limiter at rest.
func New(r Limits) *Limiter {
	l := &Limiter{tenants: map[string]*list.Element{}, used: list.New()}
	l.Configure(time.Time{}, r)
	return l
}

// Configure changes the rules. What is under way goes on counting, and what was saved up stays, within the new limits.
func (l *Limiter) Configure(now time.Time, r Limits) {
	if r.Tenants == 0 {
		r.Tenants = DefaultTenants
	}
	l.rules = r
	l.all.limit(now, r.Rate)
	l.others.limit(now, r.TenantRate)
	for e := l.used.Front(); e != nil; e = e.Next() {
		e.Value.(*party).limit(now, r.TenantRate)
	}
}

// limit sets a party's rate.
func (p *party) limit(now time.Time, r Rate) {
	limit, burst := rate.Limit(r.PerSecond), r.Burst
	if r.PerSecond <= 0 {
		p.bucket = nil
		return
	}
	if burst <= 0 {
		burst = max(int(r.PerSecond), 1)
	}
	if p.bucket == nil {
		p.bucket = rate.NewLimiter(limit, burst)
		return
	}
	p.bucket.SetLimitAt(now, limit)
	p.bucket.SetBurstAt(now, burst)
}

// Acquire lets a request in, or says which limit is reached and when trying again makes sense. What is turned away costs
// nothing of any limit. A request without a tenant counts for the route alone.
func (l *Limiter) Acquire(now time.Time, tenant string) (Permit, Limit, time.Duration) {
	var t *party
	if tenant != "" && (l.rules.TenantRate.PerSecond > 0 || l.rules.TenantConcurrency > 0) {
		t = l.tenant(now, tenant)
	}
	switch {
	case t != nil && l.rules.TenantConcurrency > 0 && t.out >= l.rules.TenantConcurrency:
		return Permit{}, TenantConcurrency, 0
	case l.rules.Concurrency > 0 && l.all.out >= l.rules.Concurrency:
		return Permit{}, RouteConcurrency, 0
	}
	var paid *rate.Reservation
	if t != nil {
		var wait time.Duration
		if paid, wait = t.pay(now); wait > 0 {
			return Permit{}, TenantRate, wait
		}
	}
	if _, wait := l.all.pay(now); wait > 0 {
		if paid != nil {
			paid.CancelAt(now)
		}
		return Permit{}, RouteRate, wait
	}
	l.all.out++
	if t != nil {
		t.out++
	}
	return Permit{t}, None, 0
}

// pay takes a token, or says how long until there is one.
func (p *party) pay(now time.Time) (*rate.Reservation, time.Duration) {
	if p.bucket == nil {
		return nil, 0
	}
	r := p.bucket.ReserveN(now, 1)
	if wait := r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		return nil, wait
	}
	return r, 0
}

// Release reports the end of a request that was let in.
func (l *Limiter) Release(p Permit) {
	l.all.out--
	if p.tenant != nil {
		p.tenant.out--
	}
}

// tenant finds a tenant's place, or makes one. Where there is no more, the tenant that came longest ago gives way if
// forgetting it changes nothing: nothing of it is under way, and all that it may save up is there. Else the newcomer shares
// a place with all others who found none: names made up by the thousand get little, and cost no memory.
func (l *Limiter) tenant(now time.Time, name string) *party {
	if e := l.tenants[name]; e != nil {
		l.used.MoveToFront(e)
		return e.Value.(*party)
	}
	for l.used.Len() >= l.rules.Tenants {
		last := l.used.Back()
		p := last.Value.(*party)
		if p.out > 0 || p.bucket != nil && p.bucket.TokensAt(now) < float64(p.bucket.Burst()) {
			return &l.others
		}
		l.used.Remove(last)
		delete(l.tenants, p.name)
	}
	p := &party{name: name}
	p.limit(now, l.rules.TenantRate)
	l.tenants[name] = l.used.PushFront(p)
	return p
}

// Usage tells how many requests are under way, and how many tenants have places.
func (l *Limiter) Usage() (out, tenants int) { return l.all.out, l.used.Len() }
