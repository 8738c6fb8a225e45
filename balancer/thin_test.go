package balancer_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"rowancart/balancer"
)

// thin is one of many callers that share their endpoints and have little to send each.
func thin(t *testing.T, callers, endpoints int) *rig {
	s := basic()
	s.Instances = callers
	return newRig(t, s, named(endpoints)...)
}

// named gives the names of so many endpoints.
func named(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("e%02d", i)
	}
	return ids
}

// A thirteenth of the room for sixteen endpoints is seven calls. A caller whose mean is five has more than that out at times by
// chance alone, when the others have less: what it may hold grows by that, and not where it holds the whole room.
func TestChanceAloneFindsRoomAtOneOfManyCallers(t *testing.T) {
	for _, of := range []struct{ callers, endpoints, fits, over int }{{13, 16, 12, 16}, {1, 2, 12, 13}} {
		r := thin(t, of.callers, of.endpoints)
		for range of.over {
			r.call("read")
		}
		if n := r.count("send "); n < of.fits || n >= of.over {
			t.Errorf("%d callers of %d endpoints: one has %d calls out, want %d and fewer than %d", of.callers, of.endpoints, n, of.fits, of.over)
		}
	}
}

// A caller that sends to each endpoint every four seconds sends next to a cold one when it is half warm. By the warmth of its start
// alone, that would be when it is warm. All together stay within one and a half times its warmth's part.
func TestAColdEndpointsPartGrowsBetweenTheSendsOfQuietCallers(t *testing.T) {
	const callers, warmUp = 13, 9
	early, all := 0, 0
	for seed := range uint64(callers) {
		s := basic()
		s.Instances, s.Index = callers, int(seed)
		ids := append([]string{"fresh"}, named(15)...)
		r := newRigSeeded(t, s, seed, ids...)
		call := func() bool {
			id, ep := r.call("read")
			r.wait(200 * ms)
			r.end(id, balancer.OK)
			r.wait(50 * ms)
			return ep == "fresh"
		}
		for range 80 {
			call()
		}
		r.b.EndpointList(r.now, balancer.EndpointList{Entries: []balancer.Endpoint{{ID: "fresh", Started: r.now}}})
		for start := r.now; r.now < start+warmUp*time.Second; {
			if call() {
				all++
				if r.now < start+warmUp*time.Second/3 {
					early++
				}
			}
		}
	}
	// A turn comes every 4 s: 29 for all callers in nine seconds, and the area under the warmth is 0.65 of that, times 1.5.
	if all < 20 || all > 32 {
		t.Errorf("%d calls to an endpoint that warms up in 9 s, want about 28", all)
	}
	if early > 9 {
		t.Errorf("%d of them in the first third, in which it can do a quarter of all", early)
	}
}

// The small tenant sends at its whole quota, a caller's part of which chance passes now and then. While answers take what they always
// do, ten calls out at one of thirteen callers is no shortage, and nobody is refused; once they stretch it is.
func TestAnOverfullPartOfAQuotaIsNoShortageWhileAnswersAreQuick(t *testing.T) {
	s := basic()
	s.Instances, s.Tenants = 13, []balancer.Tenant{{Name: "large", Quota: 400}, {Name: "small", Quota: 25}}
	ids := named(16)
	for latency, fewest := range map[time.Duration]int{time.Second: 0, 4 * time.Second: 10} {
		r := newRig(t, s, ids...)
		due := map[string]time.Duration{}
		play := func(latency time.Duration, steps int) {
			for range steps {
				tenant := "large"
				if r.n%4 == 0 {
					tenant = "small"
				}
				if id := r.ask("read", tenant); len(r.to[id]) > 0 {
					due[id] = r.now + latency
				}
				r.wait(100 * ms)
				for _, id := range slices.Sorted(maps.Keys(due)) {
					if r.now >= due[id] {
						r.end(id, balancer.OK)
						delete(due, id)
					}
				}
			}
		}
		play(time.Second, 100)
		before := r.count("refuse")
		play(latency, 100)
		if n := r.count("refuse") - before; n < fewest || fewest == 0 && n > 0 {
			t.Errorf("answers in %v: %d of 100 refused", latency, n)
		}
	}
}

// Sixteen callers with one call a second each could spread over all of 32 endpoints, and meet each twice a minute. With twelve each they
// know them, and every endpoint still has as many callers as the others, so that none hangs on one caller's luck.
func TestQuietCallersMeetFewerEndpointsMoreOften(t *testing.T) {
	met, fewest, most := tables(t, 16, 32)
	if fewest < 10 || most > 13 {
		t.Errorf("callers meet %d to %d of 32 endpoints", fewest, most)
	}
	for ep, n := range met {
		if n < 4 || n > 8 {
			t.Errorf("%d callers meet %s", n, ep)
		}
	}
	if len(met) < 32 {
		t.Errorf("only %d endpoints are met", len(met))
	}
}

// A caller that meets an endpoint every few seconds cannot wait for three errors in fifteen answers. Where the others have shown none,
// the second is the endpoint's own, after eight good answers; where all fail alike, no number of them is.
func TestErrorsAreLaidAtAnEndpointByTheOdds(t *testing.T) {
	for _, below := range []bool{false, true} {
		s := basic()
		s.TiersBelow, s.MaxAttempts = 2, 1
		names := []string{"a", "b", "c", "d", "e", "f"}
		r := newRig(t, s, names...)
		errors, toBad := 0, 0
		for i := range 90 {
			id, ep := r.call("read")
			r.wait(200 * ms)
			switch {
			case i < 48, !below && ep != "a", below && i%3 > 0:
				r.end(id, balancer.OK)
			default:
				errors++
				r.end(id, balancer.Errored)
			}
			if i >= 48 && ep == "a" {
				toBad++
			}
		}
		if !below && errors > 4 {
			t.Errorf("an endpoint that fails all got %d of 42 calls", errors)
		}
		if below && toBad < 4 {
			t.Errorf("a third of all calls fails below, and one of six endpoints got %d of 42", toBad)
		}
	}
}

// What discovery may say of a large fleet: each list is followed by calls at one of thirteen callers, and every call that an endpoint
// could serve is served.
func TestOddListsOfALargeFleet(t *testing.T) {
	list := func(state balancer.State, ids ...string) (l balancer.EndpointList) {
		for _, id := range ids {
			l.Entries = append(l.Entries, balancer.Endpoint{ID: id, State: state})
		}
		return l
	}
	many := named(1000)
	for name, odd := range map[string]struct {
		lists  []balancer.EndpointList
		listed []string // in the end
	}{
		"nobody, then all again":     {[]balancer.EndpointList{{Complete: true}, list(balancer.Ready, named(16)...)}, named(16)},
		"a thousand":                 {[]balancer.EndpointList{list(balancer.Ready, many...)}, many},
		"a thousand, then one":       {[]balancer.EndpointList{list(balancer.Ready, many...), {Complete: true, Entries: list(balancer.Ready, "e03").Entries}}, []string{"e03"}},
		"all that are active drain":  {[]balancer.EndpointList{list(balancer.Draining, named(16)...), list(balancer.Ready, "new")}, []string{"new"}},
		"gone that were never known": {[]balancer.EndpointList{list(balancer.Gone, "x", "y")}, named(16)},
		"the same list once more":    {[]balancer.EndpointList{list(balancer.Ready, named(16)...)}, named(16)},
	} {
		for _, gap := range []time.Duration{100 * ms, 10 * time.Second} { // and a caller with one call in ten seconds
			r := thin(t, 13, 16)
			play := func(n int) {
				for range n {
					id, ep := r.call("read")
					if r.wait(100 * ms); ep != "" {
						r.end(id, balancer.OK)
					}
					r.wait(gap)
				}
			}
			play(20)
			for _, l := range odd.lists {
				r.b.EndpointList(r.now, l)
			}
			refused := r.count("refuse")
			before := r.n
			play(20)
			for n := before + 1; n <= r.n; n++ {
				if to := r.to[fmt.Sprint("r", n)]; len(to) == 0 || !slices.Contains(odd.listed, to[0]) {
					t.Errorf("%s, a call each %v: call %d went to %v", name, gap, n-before, to)
				}
			}
			if r.count("refuse") > refused {
				t.Errorf("%s, a call each %v: some were refused", name, gap)
			}
			if err := r.b.CheckIndex(); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
	}
}

// What a successor is told of errors must count beyond its first answer.
func TestErrorsOutliveARestart(t *testing.T) {
	r := thin(t, 1, 2)
	r.b.Restore(r.now, balancer.LearnedState{Endpoints: []balancer.LearnedEndpoint{{ID: "e00", Sum: 4, Samples: 4, Errors: 2, Outcomes: 4, Active: true}}}, 0)
	for range 4 {
		id, _ := r.call("read")
		r.wait(10 * ms)
		r.end(id, balancer.OK)
	}
	for _, e := range r.b.LearnedState(r.now).Endpoints {
		if e.ID == "e00" && e.Errors < 1 {
			t.Errorf("of two errors in four, %v are left after a moment", e.Errors)
		}
	}
}

// Callers with one seed and the same traffic draw alike: where each drew its first call to a fresh endpoint at random alone, all
// would call it in the same instant. By their numbers they spread over the turn; also where all begin at once, as after a mass
// restart, and hear of it in their first list, before they know their own rate.
func TestCallersOfOneSeedMeetAFreshEndpointAtTheirOwnMoments(t *testing.T) {
	const callers = 20
	for _, together := range []bool{false, true} {
		first := map[time.Duration]int{} // callers by the tenth of a second of their first call to it
		for i := range callers {
			s := basic()
			s.Instances, s.Index = callers, i
			r := newRigSeeded(t, s, 7)
			call := func() string {
				id, ep := r.call("read")
				r.wait(50 * ms)
				r.end(id, balancer.OK)
				r.wait(150 * ms)
				return ep
			}
			fresh := balancer.Endpoint{ID: "fresh", Started: r.now - time.Second}
			l := balancer.EndpointList{Complete: true, Entries: []balancer.Endpoint{fresh}}
			for _, id := range named(4) {
				l.Entries = append(l.Entries, balancer.Endpoint{ID: id})
			}
			if !together {
				r.b.EndpointList(r.now, balancer.EndpointList{Complete: true, Entries: l.Entries[1:]})
				for range 40 {
					call()
				}
				l = balancer.EndpointList{Entries: []balancer.Endpoint{{ID: "fresh", Started: r.now}}}
			}
			r.b.EndpointList(r.now, l)
			for start := r.now; r.now < start+30*time.Second; {
				if call() == "fresh" {
					first[(r.now-start).Truncate(100*ms)]++
					break
				}
			}
		}
		most, all := 0, 0
		for _, n := range first {
			most, all = max(most, n), all+n
		}
		if all != callers || most > 3 {
			t.Errorf("together %v: %d of %d callers called the fresh endpoint, at most %d in one tenth of a second: %v",
				together, all, callers, most, first)
		}
	}
}
