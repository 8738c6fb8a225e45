package balancer_test

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"rowancart/balancer"
)

// A single endpoint of a few that fails must cost next to nothing: the others serve all that comes, whichever of them were
// in favour before. Seeds, answer times and pauses vary, so that now the dead one was the only one active.
func TestWhatOneEndpointCannotTheOthersServe(t *testing.T) {
	for _, way := range []struct {
		name   string
		result balancer.Result
		after  time.Duration
		lost   map[string]int // requests that each day may lose, by class
	}{
		{"refuses connections", balancer.ConnectFailed, ms / 10, map[string]int{"read": 0, "bill": 0}},
		{"takes no connections", balancer.ConnectFailed, 250 * ms, map[string]int{"read": 0, "bill": 0}},
		{"turns away", balancer.Rejected, ms, map[string]int{"read": 0, "bill": 0}},
		{"resets after accept", balancer.Reset, ms, map[string]int{"read": 0}},
		{"fails fast", balancer.Errored, ms, map[string]int{"read": 0}},
	} {
		for class, most := range way.lost {
			for seed := range uint64(30) {
				r := newRigSeeded(t, basic(), 7+seed, "a", "b")
				for n := range 6 + int(seed) {
					r.warm(1, map[string]time.Duration{"a": time.Duration(1+n%3) * ms, "b": time.Duration(1+(n+int(seed))%5) * ms})
					r.wait(30 * ms)
				}
				dead := []string{"a", "b"}[seed%2]
				lost := 0
				for range 60 {
					id, ep := r.call(class)
					for tries := 0; ep == dead; tries++ {
						r.wait(way.after)
						r.end(id, way.result)
						if ep = ""; len(r.to[id]) > tries+1 {
							ep = r.to[id][tries+1]
						}
					}
					if ep == "" {
						lost++
					} else {
						r.wait(2 * ms)
						r.end(id, balancer.OK)
					}
					r.wait(30 * ms)
				}
				if lost > most {
					t.Errorf("%s, %s, seed %d: %d of 60 requests were lost, at most %d may be", way.name, class, seed, lost, most)
				}
			}
		}
	}
}

// With all connections refused, a request is answered at once after few attempts, and the first to be there again is used.
func TestAWholeOutageCostsFewAttemptsAndEndsWithIt(t *testing.T) {
	s := basic()
	s.MaxAttempts = 0
	r := newRig(t, s, "a", "b", "c", "d", "e", "f")
	for range 100 {
		id, ep := r.call("read")
		for ep != "" {
			before := len(r.to[id])
			r.end(id, balancer.ConnectFailed)
			if ep = ""; len(r.to[id]) > before {
				ep = r.to[id][before]
			}
		}
		if !slices.Contains(r.did, "refuse "+id) {
			t.Fatalf("%s has no answer", id)
		}
		r.wait(30 * ms)
	}
	if sends := r.count("send"); sends > 100*5 {
		t.Errorf("100 requests brought %d attempts", sends)
	}
	id, ep := r.call("read")
	r.wait(ms)
	r.end(id, balancer.OK)
	for range 5 {
		r.wait(30 * ms)
		id, again := r.call("read")
		if len(r.to[id]) != 1 {
			t.Fatalf("after %s has answered, a request is not sent", ep)
		}
		r.wait(ms)
		if again == ep {
			r.end(id, balancer.OK)
			continue
		}
		r.end(id, balancer.ConnectFailed)
		if to := r.to[id]; len(to) != 2 || to[1] != ep {
			t.Errorf("after a failed trial the request goes to %v, and %s answers", to, ep)
		} else {
			r.end(id, balancer.OK)
		}
	}
}

// A class of quick and slow answers is no fault of the endpoint that gives a slow one, nor are three quick answers a promise.
func TestASlowAnswerAmongQuickOnesIsNoSilence(t *testing.T) {
	for seed := range uint64(20) {
		r := newRigSeeded(t, basic(), seed, "a", "b")
		for n := range 200 {
			id, ep := r.call("read")
			if n%10 < 9 {
				r.wait(ms)
			} else {
				r.wait(42 * ms)
			}
			for _, s := range r.b.EndpointStatuses(r.now) {
				if s.Inactive == balancer.InactiveUnresponsive {
					t.Fatalf("seed %d, call %d: %s passes for silent after %v at %s", seed, n, s.ID, 42*ms, ep)
				}
			}
			r.end(id, balancer.OK)
			r.wait(20 * ms)
		}
	}
}

// Where an answer is wanted within a long time, a wait is better than a refusal.
func TestARequestWithTimeIsNotRefusedForAShortCrowd(t *testing.T) {
	r := newRig(t, wanted(20*time.Second), "a", "b")
	r.crowd(30*ms, 20*ms, 3*time.Second, "a", "b")
	r.crowd(6*ms, 20*ms, 4*time.Second, "a", "b") // two thirds more than the two can do
	if n := r.count("refuse"); n > 0 {
		t.Errorf("%d were refused; the last of them would have waited for three seconds of 20", n)
	}
}

// Many quiet callers that hear of one new endpoint must not all make their next call there.
func TestQuietCallersDoNotMeetAtANewEndpoint(t *testing.T) {
	met := 0
	for caller := range 100 {
		s := basic()
		s.Instances, s.Index = 100, caller
		r := newRigSeeded(t, s, uint64(caller), "a", "b", "c")
		quiet := func(n int) {
			for range n {
				r.wait(time.Duration(25+(caller+n)%10) * time.Second)
				id, ep := r.call("read")
				if ep == "new" {
					met++
				}
				r.wait(200 * ms)
				r.end(id, balancer.OK)
			}
		}
		quiet(4)
		r.b.EndpointList(r.now, balancer.EndpointList{Entries: []balancer.Endpoint{{ID: "new"}}})
		quiet(1)
	}
	if met > 45 {
		t.Errorf("%d of 100 callers made their next call to the endpoint that had just come; a quarter is its part", met)
	}
}

// A cold endpoint that is alone and answers as one that is not busy gets what there is, and one that slows down does not.
func TestALoneColdEndpointIsNotLeftIdle(t *testing.T) {
	for _, c := range []struct {
		took        time.Duration
		least, most int // sent in the third second
	}{{ms, 45, 50}, {400 * ms, 0, 40}} {
		r := newRig(t, wanted(200*ms), "a")
		r.warm(50, map[string]time.Duration{"a": ms})
		for range 200 {
			id, _ := r.call("read")
			r.wait(ms)
			r.end(id, balancer.OK)
			r.wait(19 * ms)
		}
		r.b.EndpointList(r.now, balancer.EndpointList{Entries: []balancer.Endpoint{{ID: "a", Started: r.now}}})
		sent, begun := 0, r.now
		r.stream(20*ms, 3*time.Second, func(string) time.Duration { return c.took }, func(string) {
			if r.now >= begun+2*time.Second {
				sent++
			}
		})
		if sent < c.least || sent > c.most {
			t.Errorf("of 50 requests a second that take %v, %d were sent; %d to %d are right", c.took, sent, c.least, c.most)
		}
	}
}

// Seen at one instance at 90% load: the warm endpoints looked slow under the load and were dropped, the cold one was left the only
// active, and it was quickened to ten times its part as if there were none but cold ones. Their load is what it would get.
func TestWarmEndpointsDroppedAsSlowDoNotQuickenAColdOne(t *testing.T) {
	r := newRig(t, basic(), "a", "b", "c")
	r.warm(300, map[string]time.Duration{"a": 20 * ms, "b": 20 * ms, "c": 20 * ms})
	r.b.EndpointList(r.now, balancer.EndpointList{Entries: []balancer.Endpoint{{ID: "new", Started: r.now}}})
	latency := map[string]time.Duration{"a": 400 * ms, "b": 400 * ms, "c": 400 * ms, "new": 5 * ms}
	sent := map[string]int{}
	r.stream(10*ms, 3*time.Second, func(ep string) time.Duration { return latency[ep] }, func(ep string) { sent[ep]++ })
	// A quarter of 300 calls, times the share of 1.5 and a warmth that goes from 0.3 to 0.53: about 50.
	if sent["new"] == 0 || sent["new"] > 60 {
		t.Errorf("the cold endpoint was sent %d of 300 calls in 3 s: %v", sent["new"], sent)
	}
}

// stream calls every so often for a while, and ends each call that was sent after the time its endpoint takes; sent hears
// of each send as it is made.
func (r *rig) stream(every, lasting time.Duration, latency func(ep string) time.Duration, sent func(ep string)) {
	due, seen := map[string]time.Duration{}, len(r.did)
	for begun := r.now; r.now < begun+lasting; {
		if r.now%every == 0 {
			r.call("read")
		}
		r.wait(ms)
		for _, id := range slices.Sorted(maps.Keys(due)) {
			if r.now >= due[id] {
				delete(due, id)
				r.end(id, balancer.OK)
			}
		}
		for ; seen < len(r.did); seen++ {
			if f := strings.Fields(r.did[seen]); f[0] == "send" {
				due[f[1]] = r.now + latency(f[2])
				sent(f[2])
			}
		}
	}
}
