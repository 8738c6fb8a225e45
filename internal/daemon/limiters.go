package daemon

import (
	"sync"
	"time"

	"rowancart/internal/config"
	"rowancart/internal/ratelimit"
)

// routeLimiter enforces the limits of a route. A reload may change the limits, but keeps the
// limiter and its state as long as there is a route of that name. It is safe for concurrent use.
type routeLimiter struct {
	mu      sync.Mutex
	limiter *ratelimit.Limiter
}

func (l *routeLimiter) acquire(now time.Time, tenant string) (ratelimit.Permit, ratelimit.Exceeded) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Acquire(now, tenant)
}

func (l *routeLimiter) release(permit ratelimit.Permit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Release(permit)
}

func (l *routeLimiter) configure(now time.Time, limits ratelimit.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Configure(now, limits)
}

// usage returns the numbers of requests in flight and of tracked tenants.
func (l *routeLimiter) usage() (inFlight, tenants int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Usage()
}

// limiterSet maps the name of each route to its limiter. A route keeps its limiter across reloads.
type limiterSet map[string]*routeLimiter

// update applies the limits of the given routes, adds limiters for new routes, and deletes those of
// routes that no longer exist. It returns the names of the deleted ones.
func (s limiterSet) update(now time.Time, routes []config.Route) (removed []string) {
	configured := map[string]bool{}
	for _, r := range routes {
		configured[r.Name] = true
		limits := r.Policy.Limits()
		limiter := s[r.Name]
		if limiter == nil {
			limiter = &routeLimiter{limiter: ratelimit.New(limits)}
			s[r.Name] = limiter
		}
		limiter.configure(now, limits)
	}
	for name := range s {
		if !configured[name] {
			delete(s, name)
			removed = append(removed, name)
		}
	}
	return removed
}
