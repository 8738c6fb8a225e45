package tuliprock_test

import (
	"slices"
	"testing"
	"time"

	"tuliprock"
)

// A single endpoint of a few that fails must cost next to nothing: the others serve all that comes, whichever of them were
// in favour before. Seeds, answer times and pauses vary, so that now the dead one was the only one active.
func TestWhatOneEndpointCannotTheOthersServe(t *testing.T) {
	for _, way := range []struct {
		name   string
		result tuliprock.Result
		after  time.Duration
		lost   map[string]int // requests that each day may lose, by class
	}{
		{"refuses connections", tuliprock.ConnectFailed, ms / 10, map[string]int{"read": 0, "bill": 0}},
		{"takes no connections", tuliprock.ConnectFailed, 250 * ms, map[string]int{"read": 0, "bill": 0}},
		{"turns away", tuliprock.Full, ms, map[string]int{"read": 0, "bill": 0}},
		{"resets after accept", tuliprock.Reset, ms, map[string]int{"read": 0}},
		{"fails fast", tuliprock.Errored, ms, map[string]int{"read": 0}},
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
						r.end(id, tuliprock.OK)
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
			r.end(id, tuliprock.ConnectFailed)
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
	r.end(id, tuliprock.OK)
	for range 5 {
		r.wait(30 * ms)
		id, again := r.call("read")
		if len(r.to[id]) != 1 {
			t.Fatalf("after %s has answered, a request is not sent", ep)
		}
		r.wait(ms)
		if again == ep {
			r.end(id, tuliprock.OK)
			continue
		}
		r.end(id, tuliprock.ConnectFailed)
		if to := r.to[id]; len(to) != 2 || to[1] != ep {
			t.Errorf("after a failed trial the request goes to %v, and %s answers", to, ep)
		} else {
			r.end(id, tuliprock.OK)
		}
	}
}
