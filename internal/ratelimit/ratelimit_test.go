package ratelimit

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// A request that exceeds a limit must be rejected. A request after RetryAfter, or after a release,
// must be admitted.
func TestEachLimitRejects(t *testing.T) {
	for limit, limits := range map[Limit]Limits{
		RouteRate:         {Rate: Rate{PerSecond: 10, Burst: 2}},
		RouteConcurrency:  {Concurrency: 2},
		TenantRate:        {TenantRate: Rate{PerSecond: 10, Burst: 2}},
		TenantConcurrency: {TenantConcurrency: 2},
	} {
		l := New(limits)
		var permit Permit
		for i := range 2 {
			p, exceeded := l.Acquire(start, "a")
			if exceeded.Limit != None {
				t.Fatalf("%s: request %d is rejected for exceeding the %s", limit, i, exceeded.Limit)
			}
			permit = p
		}
		isRate := limit == RouteRate || limit == TenantRate
		isOfRoute := limit == RouteRate || limit == RouteConcurrency
		_, exceeded := l.Acquire(start, "a")
		if exceeded.Limit != limit || (exceeded.RetryAfter > 0) != isRate {
			t.Errorf("%s: request over the limit: %+v", limit, exceeded)
		}
		if _, other := l.Acquire(start, "b"); (other.Limit != None) != isOfRoute {
			t.Errorf("%s: request of another tenant exceeds %q", limit, other.Limit)
		}
		if exceeded.RetryAfter == 0 {
			l.Release(permit)
		}
		if _, exceeded := l.Acquire(start.Add(exceeded.RetryAfter), "a"); exceeded.Limit != None {
			t.Errorf("%s: request after the delay or a release still exceeds %q", limit, exceeded.Limit)
		}
	}
}

// A request that exceeds the rate of the route must not take a token of its tenant.
func TestRejectedRequestUsesNoToken(t *testing.T) {
	l := New(Limits{Rate: Rate{PerSecond: 1, Burst: 1}, TenantRate: Rate{PerSecond: 0.001, Burst: 2}})
	l.Acquire(start, "a")
	for range 5 {
		if _, exceeded := l.Acquire(start, "a"); exceeded.Limit != RouteRate {
			t.Fatalf("request over the rate of the route exceeds the %s", exceeded.Limit)
		}
	}
	if _, exceeded := l.Acquire(start.Add(time.Second), "a"); exceeded.Limit != None {
		t.Errorf("request with tokens available exceeds the %s", exceeded.Limit)
	}
}

func TestUnusedTenantsAreDropped(t *testing.T) {
	l := New(Limits{TenantRate: Rate{PerSecond: 100, Burst: 1}, TenantConcurrency: 5, Tenants: 50})
	permit, _ := l.Acquire(start, "in flight")
	now := start
	for i := range 10000 {
		now = now.Add(time.Millisecond)
		if p, exceeded := l.Acquire(now, fmt.Sprint("t", i)); exceeded.Limit == None {
			l.Release(p)
		}
		if _, n := l.Usage(); n > 50 {
			t.Fatalf("%d tenants are tracked", n)
		}
	}
	if inFlight, _ := l.Usage(); inFlight != 1 || permit.tenant.inFlight != 1 {
		t.Errorf("%d requests are in flight", inFlight)
	}
	l.Release(permit)
}

// While the only tenant that can be tracked has a request in flight, all other tenants share one
// quota.
func TestUntrackedTenantsHaveOneQuota(t *testing.T) {
	l := New(Limits{TenantConcurrency: 1, Tenants: 1})
	l.Acquire(start, "first")
	_, second := l.Acquire(start, "second")
	_, third := l.Acquire(start, "third")
	if second.Limit != None || third.Limit != TenantConcurrency {
		t.Errorf("second: %q, third: %q", second.Limit, third.Limit)
	}
}

func TestConfigureCountsRequestsInFlight(t *testing.T) {
	l := New(Limits{Concurrency: 5, TenantRate: Rate{PerSecond: 10, Burst: 10}})
	var permits []Permit
	for range 3 {
		p, _ := l.Acquire(start, "a")
		permits = append(permits, p)
	}
	l.Configure(start, Limits{Concurrency: 3, TenantRate: Rate{PerSecond: 1, Burst: 4}})
	if _, exceeded := l.Acquire(start, "a"); exceeded.Limit != RouteConcurrency {
		t.Errorf("request with three of three in flight exceeds %q", exceeded.Limit)
	}
	for _, p := range permits {
		l.Release(p)
	}
	admitted := 0
	for range 10 {
		if p, exceeded := l.Acquire(start, "a"); exceeded.Limit == None {
			l.Release(p)
			admitted++
		}
	}
	if admitted != 4 {
		t.Errorf("%d requests admitted, with a burst of 4", admitted)
	}
	l.Configure(start, Limits{})
	if _, exceeded := l.Acquire(start, "a"); exceeded.Limit != None {
		t.Errorf("request without limits exceeds %q", exceeded.Limit)
	}
}

// drawLimits draws the limits of each tenant and the concurrency limit of the route.
func drawLimits(t *rapid.T) Limits {
	return Limits{
		Concurrency:       rapid.IntRange(1, 5).Draw(t, "concurrency"),
		TenantConcurrency: rapid.IntRange(1, 3).Draw(t, "tenant concurrency"),
		TenantRate: Rate{
			PerSecond: float64(rapid.IntRange(1, 50).Draw(t, "rate")),
			Burst:     rapid.IntRange(1, 5).Draw(t, "burst"),
		},
		Tenants: rapid.IntRange(1, 3).Draw(t, "tenants"),
	}
}

// Whatever the order in which requests arrive and end, the number in flight must never exceed the
// concurrency limits, and the number admitted since the start must never exceed what the rate and
// the burst allow in that time.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := drawLimits(t)
		l := New(limits)
		type request struct {
			Permit
			tenant string
		}
		var inFlight []request
		tenantInFlight, admitted := map[string]int{}, map[string]int{}
		now := start
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			if len(inFlight) > 0 && rapid.Bool().Draw(t, "ends") {
				l.Release(inFlight[0].Permit)
				tenantInFlight[inFlight[0].tenant]--
				inFlight = inFlight[1:]
				continue
			}
			tenant := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "tenant")
			p, exceeded := l.Acquire(now, tenant)
			if exceeded.Limit != None {
				continue
			}
			inFlight = append(inFlight, request{p, tenant})
			tenantInFlight[tenant]++
			admitted[tenant]++
			// A tenant may have requests in its own flow and in that of the untracked tenants, so each limit
			// may be used twice.
			if len(inFlight) > limits.Concurrency || tenantInFlight[tenant] > 2*limits.TenantConcurrency {
				t.Fatalf("%d requests in flight, %d of tenant %s", len(inFlight), tenantInFlight[tenant], tenant)
			}
			elapsed := now.Sub(start)
			allowed := float64(limits.TenantRate.Burst) + limits.TenantRate.PerSecond*elapsed.Seconds() + 1e-6
			if float64(admitted[tenant]) > 2*allowed {
				t.Fatalf("%d requests of tenant %s admitted in %v", admitted[tenant], tenant, elapsed)
			}
		}
		if n, _ := l.Usage(); n != len(inFlight) {
			t.Fatalf("Usage returns %d requests in flight, want %d", n, len(inFlight))
		}
	})
}

// Guards against tenants whose long names, and the heads that they are cut from, stay in memory: a
// client that invents names could end the process.
func TestTrackedTenantsKeepNoNames(t *testing.T) {
	const nameSize, maxBytesPerTenant = 8 << 10, 1 << 10
	l := New(Limits{TenantRate: Rate{PerSecond: 5}})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range DefaultTenants {
		l.Acquire(start, strings.Repeat("x", nameSize)+fmt.Sprint(i))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	growth := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	if _, tenants := l.Usage(); tenants != DefaultTenants || growth > maxBytesPerTenant*DefaultTenants {
		t.Errorf("%d tenants hold %d bytes, want %d and at most %d bytes each",
			tenants, growth, DefaultTenants, maxBytesPerTenant)
	}
}
