package daemon

import (
	"sync"
	"time"

	"rowancart/internal/config"
	"rowancart/internal/ratelimit"
)

// routeLimiter limits the traffic of a route, across generations.
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

// usage returns how many requests are in flight, and how many tenants are tracked.
func (l *routeLimiter) usage() (inFlight, tenants int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Usage()
}

// limiterSet has the limiters of all routes, by the route's name. A route that a reload leaves in
// place keeps its limiter.
type limiterSet map[string]*routeLimiter

// update makes the limiters those of the routes given, and returns the names of routes that are no
// longer among them.
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
