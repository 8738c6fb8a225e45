package balancer_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rowancart/balancer"
)

// under gives a rig whose class "read" is treated as told, warmed up on answers of 10 ms.
func under(t *testing.T, change func(c *balancer.Class)) *rig {
	t.Helper()
	s := basic()
	s.RetryBudget = balancer.RetryBudget{PerRequest: 1, Burst: 100}
	change(&s.Classes[0])
	r := newRig(t, s, "a", "b", "c")
	for range 60 {
		id, _ := r.call("read")
		r.wait(10 * ms)
		r.answer(id)
	}
	r.did = nil
	return r
}

// answer ends all attempts of a request, the latest with success.
func (r *rig) answer(id string) {
	for n, ep := range r.to[id] {
		o := balancer.Outcome{ID: id, Attempt: n, Endpoint: ep, Result: balancer.Canceled, Latency: r.now - r.sentAt[id], Final: true}
		if n == len(r.to[id])-1 {
			o.Result = balancer.OK
		}
		r.b.Outcome(r.now, o)
	}
}

func TestASecondCopyGoesOutOnceTheFirstIsLate(t *testing.T) {
	for name, change := range map[string]func(*balancer.Class){
		"after a time":    func(c *balancer.Class) { c.HedgeAfter = 30 * ms },
		"after a share":   func(c *balancer.Class) { c.HedgeAfter, c.HedgeQuantile = time.Second, 0.95 },
		"two in all":      func(c *balancer.Class) { c.HedgeAfter, c.MaxAttempts = 30*ms, 2 },
		"not for a queue": func(c *balancer.Class) { c.HedgeAfter, c.QueueLimit = 30*ms, -1 },
	} {
		r := under(t, change)
		id, first := r.call("read")
		r.wait(8 * ms)
		if n := len(r.to[id]); n != 1 {
			t.Errorf("%s: %d sent before it was due", name, n)
		}
		r.wait(100 * ms)
		if to := r.to[id]; len(to) != 2 || to[1] == first {
			t.Fatalf("%s: sent to %v", name, to)
		}
		// The copy fails: the first still counts, and is not given up.
		r.end(id, balancer.Reset)
		if n := r.count("refuse") + r.count("fail"); n != 0 {
			t.Errorf("%s: given up with an attempt out: %v", name, r.did)
		}
		r.b.Outcome(r.now, balancer.Outcome{ID: id, Endpoint: first, Result: balancer.OK, Latency: 100 * ms, Final: true})
		if r.count("send") != 2 || r.count("cancel") != 0 {
			t.Errorf("%s: %v", name, r.did)
		}
	}
}

func TestTheSlowerOfTwoCopiesIsCalledOffAndLosesTurns(t *testing.T) {
	r := under(t, func(c *balancer.Class) { c.HedgeAfter = 15 * ms })
	turns := map[string]int{}
	for range 200 {
		id, first := r.call("read")
		turns[first]++
		r.wait(10 * ms)
		if first == "a" {
			r.wait(15 * ms)
			last := len(r.to[id]) - 1
			r.b.Outcome(r.now, balancer.Outcome{ID: id, Attempt: last, Endpoint: r.to[id][last], Result: balancer.OK, Latency: 10 * ms})
			if last != 1 || r.count("cancel "+id+" 0") != 1 {
				t.Fatalf("the slow one is still out: %v", r.did)
			}
			r.b.Outcome(r.now, balancer.Outcome{ID: id, Endpoint: "a", Result: balancer.Canceled, Latency: 25 * ms, Final: true})
			continue
		}
		r.answer(id)
	}
	if 4*turns["a"] > 3*min(turns["b"], turns["c"]) {
		t.Errorf("copies hide that a is slow: %v", turns)
	}
}

func TestNoSecondCopyOfWhatIsNotSafeOrBeyondTheBudget(t *testing.T) {
	s := basic()
	for i := range s.Classes {
		s.Classes[i].HedgeAfter = 5 * ms
	}
	s.Classes = append(s.Classes, balancer.Class{Name: "keyed", Repeat: balancer.IdempotencyKeyed, KeyWindow: time.Hour, LatencyObjective: time.Second, HedgeAfter: 5 * ms})
	r := newRig(t, s, "a", "b", "c")
	for _, class := range []string{"bill", "keyed"} {
		id, _ := r.call(class)
		r.wait(100 * ms)
		if n := len(r.to[id]); n != 1 {
			t.Errorf("%s: %d attempts", class, n)
		}
	}
	s.RetryBudget = balancer.RetryBudget{PerRequest: 0.01, Burst: 2}
	r = newRig(t, s, "a", "b", "c", "d", "e", "f")
	for range 10 {
		r.call("read")
		r.wait(50 * ms)
	}
	if n := r.count("send"); n != 11 {
		t.Errorf("%d sends of 10 requests with a budget for one copy", n)
	}
}

func TestAttemptsAndQueueAreAClassesOwn(t *testing.T) {
	once := under(t, func(c *balancer.Class) { c.NeverRerun = true })
	ran, _ := once.call("read")
	once.end(ran, balancer.Reset)
	unrun, _ := once.call("read")
	once.end(unrun, balancer.ConnectFailed)
	if len(once.to[ran]) != 1 || once.count("refuse "+ran) != 1 || len(once.to[unrun]) != 2 {
		t.Errorf("not to run again: sent to %v after a run, to %v after none: %v", once.to[ran], once.to[unrun], once.did)
	}
	r := under(t, func(c *balancer.Class) { c.MaxAttempts = 2 })
	id, _ := r.call("read")
	r.end(id, balancer.Reset)
	r.end(id, balancer.Reset)
	if n := len(r.to[id]); n != 2 || r.count("refuse "+id) != 1 {
		t.Errorf("%d attempts where 2 are allowed: %v", n, r.did)
	}
	for queue, want := range map[int]int{-1: 20, 3: 17} {
		s := basic()
		s.Classes[0].QueueLimit = queue
		r := newRig(t, s, "a")
		for range 26 { // room for 6 to begin with
			r.call("read")
		}
		if n := r.count("refuse"); n != want {
			t.Errorf("with a queue of %d, %d of 20 refused at once", queue, n)
		}
	}
}

// timeouts is a rig that also keeps how long attempts may take.
type timeouts struct {
	rig
	got []time.Duration
}

func (h *timeouts) Send(id, ep string, timeout time.Duration) {
	h.got = append(h.got, timeout)
	h.rig.Send(id, ep, timeout)
}

func TestAnAttemptEndsByItsOwnTimeOut(t *testing.T) {
	h := &timeouts{rig: rig{t: t, now: time.Hour, to: map[string][]string{}, sentAt: map[string]time.Duration{}}}
	s := basic()
	s.Classes[0].AttemptTimeout = time.Second
	h.b = balancer.New(h.now, s, h)
	h.b.EndpointList(h.now, balancer.EndpointList{Complete: true, Entries: []balancer.Endpoint{{ID: "a"}, {ID: "b"}}})
	h.call("read")
	h.call("bill")
	h.b.Request(h.now, balancer.Request{ID: "short", Class: "read", Deadline: h.now + 300*ms})
	if want := []time.Duration{time.Second, 5 * time.Second, 300 * ms}; !slices.Equal(h.got, want) {
		t.Errorf("time-outs %v, want %v", h.got, want)
	}
}

// A request that waits between two attempts is treated as its class was when it came; the next one as it is now.
func TestConfigureKeepsWhatWasLearnedAndWhatHasBegun(t *testing.T) {
	r := under(t, func(*balancer.Class) {})
	r.warm(60, map[string]time.Duration{"a": 60 * ms, "b": 10 * ms, "c": 10 * ms})
	r.b.Configure(r.now, basic())
	if share := r.warm(12, map[string]time.Duration{"a": ms, "b": ms, "c": ms}); share["a"] > 1 { // a trial may be due
		t.Errorf("of 12 calls right after, the slow endpoint gets %d", share["a"])
	}
	before, _ := r.call("read")
	s := basic()
	s.Classes[0].Repeat = balancer.NonIdempotent
	r.b.Configure(r.now, s)
	after, _ := r.call("read")
	r.end(before, balancer.Reset)
	r.end(after, balancer.Reset)
	if len(r.to[before]) != 2 || len(r.to[after]) != 1 || r.count("fail "+after) != 1 {
		t.Errorf("safe when it came: %v; unsafe when it came: %v", r.to[before], r.to[after])
	}
	r.end(before, balancer.OK)
	s.Classes = []balancer.Class{{Name: "other", Work: "read", Repeat: balancer.Idempotent, LatencyObjective: 2 * time.Second}}
	r.b.Configure(r.now, s)
	if id, to := r.call("other"); to == "" {
		t.Errorf("%s was not sent", id)
	}
	if id, _ := r.call("bill"); r.count("send "+id) != 1 { // no longer listed: sent once, as what may do harm
		t.Errorf("%v", r.did)
	}
}

// Whatever the policy, the outcomes and the reloads: what is unsafe runs at most once, attempts keep to their limit, and
// every request gets one answer.
func TestEveryPolicyKeepsTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() balancer.Settings {
			s := basic()
			for i := range s.Classes {
				c := &s.Classes[i]
				c.HedgeAfter = time.Duration(rapid.IntRange(0, 20).Draw(t, "copy")) * ms
				c.HedgeQuantile = rapid.SampledFrom([]float64{0, 0.5, 0.99}).Draw(t, "share")
				c.MaxAttempts = rapid.IntRange(1, 4).Draw(t, "attempts")
				c.QueueLimit = rapid.IntRange(-1, 3).Draw(t, "queue")
			}
			return s
		}
		s := draw()
		r := newRig(nil, s, "a", "b", "c")
		type call struct {
			class string
			most  int
			ran   int
			ended []bool
		}
		calls := map[string]*call{}
		var ids []string
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				i := rapid.IntRange(0, 1).Draw(t, "class")
				id, _ := r.call(s.Classes[i].Name)
				calls[id] = &call{class: s.Classes[i].Name, most: s.Classes[i].MaxAttempts}
				ids = append(ids, id)
			case 2:
				r.wait(time.Duration(rapid.IntRange(1, 40).Draw(t, "wait")) * ms)
			case 3:
				s = draw()
				r.b.Configure(r.now, s)
			default:
				if len(ids) == 0 {
					continue
				}
				id := rapid.SampledFrom(ids).Draw(t, "id")
				c := calls[id]
				for n := range r.to[id] {
					if n < len(c.ended) && c.ended[n] || rapid.Bool().Draw(t, "stays out") {
						continue
					}
					for len(c.ended) <= n {
						c.ended = append(c.ended, false)
					}
					c.ended[n] = true
					result := rapid.SampledFrom([]balancer.Result{balancer.OK, balancer.Errored, balancer.Rejected, balancer.TimedOut,
						balancer.ConnectFailed, balancer.Reset, balancer.NotSent}).Draw(t, "result")
					if result != balancer.Rejected && result != balancer.ConnectFailed && result != balancer.NotSent {
						c.ran++
					}
					r.b.Outcome(r.now, balancer.Outcome{ID: id, Attempt: n, Endpoint: r.to[id][n], Result: result, Latency: ms,
						Final: result == balancer.OK})
				}
			}
			for id, c := range calls {
				if c.class == "bill" && (c.ran > 1 || c.ran == 1 && len(c.ended) < len(r.to[id])) {
					t.Fatalf("%s is unsafe, ran %d times and was sent to %v", id, c.ran, r.to[id])
				}
				if len(r.to[id]) > c.most {
					t.Fatalf("%s: %d attempts where %d are allowed", id, len(r.to[id]), c.most)
				}
				if n := slices.Compact(r.of(id)); len(n) > 1 {
					t.Fatalf("%s: more than one answer: %v", id, n)
				}
			}
		}
	})
}

// of gives the final answers that a request got.
func (r *rig) of(id string) []string {
	var out []string
	for _, did := range r.did {
		if did == "refuse "+id || did == "fail "+id {
			out = append(out, fmt.Sprint(len(out), strings.Fields(did)[0]))
		}
	}
	return out
}
