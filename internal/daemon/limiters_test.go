package daemon

import (
	"slices"
	"testing"
	"time"

	"rowancart/internal/config"
	"rowancart/internal/ratelimit"
)

// routesWithConcurrency returns routes of these names, each with a concurrency limit.
func routesWithConcurrency(limit int, names ...string) (routes []config.Route) {
	for _, name := range names {
		routes = append(routes, config.Route{Name: name, Policy: config.Policy{Concurrency: limit}})
	}
	return routes
}

// A route that stays keeps its requests in flight, under its new limits; one that is removed starts
// anew if it returns.
func TestLimiterSetFollowsRoutes(t *testing.T) {
	now := time.Unix(1000, 0)
	limiters := limiterSet{}
	if removed := limiters.update(now, routesWithConcurrency(1, "a", "b")); len(removed) > 0 {
		t.Errorf("removed %v from none", removed)
	}
	first := limiters["a"]
	if _, exceeded := first.acquire(now, ""); exceeded.Limit != ratelimit.None {
		t.Fatalf("the first request is rejected for %q", exceeded.Limit)
	}
	if removed := limiters.update(now, routesWithConcurrency(2, "a")); !slices.Equal(removed, []string{"b"}) {
		t.Errorf("removed %v, want b", removed)
	}
	if limiters["a"] != first {
		t.Error("a route that stays has a new limiter")
	}
	permit, exceeded := first.acquire(now, "")
	if exceeded.Limit != ratelimit.None {
		t.Errorf("the second of two requests is rejected for %q", exceeded.Limit)
	}
	if _, exceeded := first.acquire(now, ""); exceeded.Limit != ratelimit.RouteConcurrency {
		t.Errorf("the third of two requests: %q", exceeded.Limit)
	}
	first.release(permit)
	if inFlight, _ := first.usage(); inFlight != 1 {
		t.Errorf("%d requests in flight, want 1", inFlight)
	}
	limiters.update(now, nil)
	limiters.update(now, routesWithConcurrency(1, "a"))
	if inFlight, _ := limiters["a"].usage(); inFlight != 0 {
		t.Errorf("a new route has %d requests in flight", inFlight)
	}
}
