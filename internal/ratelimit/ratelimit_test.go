package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func TestEachLimitTurnsAwayAndSaysWhen(t *testing.T) {
	for why, rules := range map[Limit]Limits{
		RouteRate:         {Rate: Rate{PerSecond: 10, Burst: 2}},
		RouteConcurrency:  {Concurrency: 2},
		TenantRate:        {TenantRate: Rate{PerSecond: 10, Burst: 2}},
		TenantConcurrency: {TenantConcurrency: 2},
	} {
		l := New(rules)
		var first Permit
		for i := range 2 {
			p, got, _ := l.Acquire(start, "a")
			if got != None {
				t.Fatalf("%s: request %d is turned away for the %s", why, i, got)
			}
			first = p
		}
		_, got, wait := l.Acquire(start, "a")
		if got != why || (wait > 0) != (why == RouteRate || why == TenantRate) {
			t.Errorf("%s: turned away for %q, back in %v", why, got, wait)
		}
		if _, got, _ := l.Acquire(start, "b"); (got != None) != (why == RouteRate || why == RouteConcurrency) {
			t.Errorf("%s: another tenant meets %q", why, got)
		}
		if wait > 0 {
			_, got, _ = l.Acquire(start.Add(wait), "a")
		} else {
			l.Release(first)
			_, got, _ = l.Acquire(start, "a")
			if why == RouteConcurrency && got == RouteConcurrency { // b took the place
				t.Errorf("%s: a place that was given back is not there", why)
			}
		}
		if got != None {
			t.Errorf("%s: still %q once it is over", why, got)
		}
	}
}

// What is turned away by the route's limit must not use up the tenant's.
func TestBeingTurnedAwayCostsNothing(t *testing.T) {
	l := New(Limits{Rate: Rate{PerSecond: 1, Burst: 1}, TenantRate: Rate{PerSecond: 0.001, Burst: 2}})
	l.Acquire(start, "a")
	for range 5 {
		if _, why, _ := l.Acquire(start, "a"); why != RouteRate {
			t.Fatalf("turned away for the %s", why)
		}
	}
	if _, why, _ := l.Acquire(start.Add(time.Second), "a"); why != None {
		t.Errorf("turned away for the %s", why)
	}
}

func TestTenantsThatComeOnceCostNoMemory(t *testing.T) {
	l := New(Limits{TenantRate: Rate{PerSecond: 100, Burst: 1}, TenantConcurrency: 5, Tenants: 50})
	busy, _, _ := l.Acquire(start, "busy")
	now := start
	for i := range 10000 {
		now = now.Add(time.Millisecond)
		if p, why, _ := l.Acquire(now, fmt.Sprint("t", i)); why == None {
			l.Release(p)
		}
		if _, n := l.Usage(); n > 50 {
			t.Fatalf("%d tenants have places", n)
		}
	}
	if out, _ := l.Usage(); out != 1 || busy.tenant.out != 1 {
		t.Errorf("%d requests are under way", out)
	}
	l.Release(busy)
	// One that nobody may forget leaves newcomers one place together.
	l = New(Limits{TenantConcurrency: 1, Tenants: 1})
	l.Acquire(start, "first")
	_, second, _ := l.Acquire(start, "second")
	_, third, _ := l.Acquire(start, "third")
	if second != None || third != TenantConcurrency {
		t.Errorf("second: %q, third: %q", second, third)
	}
}

func TestConfigureKeepsWhatIsUnderWay(t *testing.T) {
	l := New(Limits{Concurrency: 5, TenantRate: Rate{PerSecond: 10, Burst: 10}})
	var passes []Permit
	for range 3 {
		p, _, _ := l.Acquire(start, "a")
		passes = append(passes, p)
	}
	l.Configure(start, Limits{Concurrency: 3, TenantRate: Rate{PerSecond: 1, Burst: 4}})
	if _, why, _ := l.Acquire(start, "a"); why != RouteConcurrency {
		t.Errorf("three of three under way: %q", why)
	}
	for _, p := range passes {
		l.Release(p)
	}
	let := 0
	for range 10 {
		if p, why, _ := l.Acquire(start, "a"); why == None {
			l.Release(p)
			let++
		}
	}
	if let != 4 {
		t.Errorf("%d let in, where 4 may be saved up", let)
	}
	l.Configure(start, Limits{})
	if _, why, _ := l.Acquire(start, "a"); why != None {
		t.Errorf("without rules: %q", why)
	}
}

// Whatever comes and goes: never more at once than allowed, never more in any stretch of time than rate and burst give.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Limits{Concurrency: rapid.IntRange(1, 5).Draw(t, "concurrency"), TenantConcurrency: rapid.IntRange(1, 3).Draw(t, "each"),
			TenantRate: Rate{PerSecond: float64(rapid.IntRange(1, 50).Draw(t, "rate")), Burst: rapid.IntRange(1, 5).Draw(t, "burst")},
			Tenants:    rapid.IntRange(1, 3).Draw(t, "tenants")}
		l := New(r)
		type let struct {
			Permit
			tenant string
		}
		var under []let
		out, came := map[string]int{}, map[string]int{}
		now := start
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			if len(under) > 0 && rapid.Bool().Draw(t, "ends") {
				l.Release(under[0].Permit)
				out[under[0].tenant]--
				under = under[1:]
				continue
			}
			tenant := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "tenant")
			p, why, _ := l.Acquire(now, tenant)
			if why != None {
				continue
			}
			under = append(under, let{p, tenant})
			out[tenant]++
			came[tenant]++
			if len(under) > r.Concurrency || out[tenant] > 2*r.TenantConcurrency { // a place of its own, and the common one
				t.Fatalf("%d under way, %d of %s", len(under), out[tenant], tenant)
			}
			if most := float64(r.TenantRate.Burst) + r.TenantRate.PerSecond*now.Sub(start).Seconds() + 1e-6; float64(came[tenant]) > 2*most {
				t.Fatalf("%d of %s in %v", came[tenant], tenant, now.Sub(start))
			}
		}
		if n, _ := l.Usage(); n != len(under) {
			t.Fatalf("%d counted under way, %d are", n, len(under))
		}
	})
}
