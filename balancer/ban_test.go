package balancer_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"rowancart/balancer"
)

// Whatever the list says meanwhile, nothing new goes to what the operators have taken out: no first send, no trial, no resend.
func TestABanOutlastsWhateverTheListSays(t *testing.T) {
	ready := func(id string) balancer.Endpoint { return balancer.Endpoint{ID: id} }
	for name, told := range map[string][]balancer.EndpointList{
		"nothing":            nil,
		"a full list":        {{Complete: true, Entries: []balancer.Endpoint{ready("a"), ready("b")}}},
		"a restart":          {{Entries: []balancer.Endpoint{{ID: "a", Started: 101 * time.Second}}}},
		"drained, then back": {{Entries: []balancer.Endpoint{{ID: "a", State: balancer.Draining}}}, {Entries: []balancer.Endpoint{ready("a")}}},
		"gone, then back":    {{Entries: []balancer.Endpoint{{ID: "a", State: balancer.Gone}}}, {Entries: []balancer.Endpoint{ready("a")}}},
		"a failed ask":       {{Failed: true}},
	} {
		r := newRig(t, basic(), "a", "b")
		r.warm(20, map[string]time.Duration{"a": 10 * ms, "b": 10 * ms})
		r.b.Disable(r.now, "a")
		r.b.Disable(r.now, "a") // said twice is said once
		for _, l := range told {
			r.wait(10 * ms)
			r.b.EndpointList(r.now, l)
		}
		for i := range 20 {
			id, _ := r.call("read")
			r.wait(10 * ms)
			if i%4 == 0 { // b fails: the resend and b's trial come later
				r.end(id, balancer.Reset)
				r.wait(3 * time.Second)
			}
			r.end(id, balancer.OK)
			if slices.Contains(r.to[id], "a") {
				t.Fatalf("%s: a banned endpoint was sent %s", name, id)
			}
			if err := r.b.CheckIndex(); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
		if listed, avoided := r.b.Counts(); listed != 2 || avoided < 1 {
			t.Errorf("%s: %d listed, %d avoided", name, listed, avoided)
		}
		r.did = nil
		r.b.Enable(r.now, "a")
		r.call("read") // or one that waits is sent there
		if !slices.ContainsFunc(r.did, func(did string) bool { return strings.HasSuffix(did, " a") }) {
			t.Errorf("%s: put back, it is not tried at once: %v", name, r.did)
		}
	}
}

// A quiet caller must not keep what was put back waiting for its turn of a minute, and must not crowd it: it may have restarted.
func TestWhatIsPutBackIsTriedAtOnceAndTakenForCold(t *testing.T) {
	s := basic()
	s.Instances = 8
	r := newRig(t, s, "a", "b", "c", "d")
	quiet := map[string]time.Duration{"a": 10 * ms, "b": 10 * ms, "c": 10 * ms, "d": 10 * ms}
	for range 30 {
		r.warm(1, quiet)
		r.wait(2 * time.Second)
	}
	r.b.Disable(r.now, "a")
	r.wait(20 * time.Second)
	r.b.Enable(r.now, "a")
	first, ep := r.call("bill")
	if ep != "a" {
		t.Fatalf("the first call went to %s", ep)
	}
	r.wait(10 * ms)
	r.end(first, balancer.OK)
	for range 10 { // a crowd, all at once
		if _, ep := r.call("read"); ep == "a" {
			t.Error("a cold endpoint was sent a second call right behind its first")
		}
	}
	for _, standing := range r.b.EndpointStatuses(r.now) {
		if standing.ID == "a" && standing.Warmth > 0.5 {
			t.Errorf("it passes for warm: %+v", standing)
		}
	}
}

func TestWithAllTakenOutRequestsAreRefusedAtOnce(t *testing.T) {
	r := newRig(t, basic(), "a", "b")
	out, _ := r.call("read")
	r.b.Disable(r.now, "a")
	r.b.Disable(r.now, "b")
	held, ep := r.call("bill")
	if ep != "" || r.count("refuse "+held) != 1 {
		t.Errorf("a new request: sent to %q, %v", ep, r.did)
	}
	r.end(out, balancer.OK) // what was out goes on to its end
	if n := r.count("cancel"); n != 0 {
		t.Errorf("%d attempts called off", n)
	}
	r.b.Enable(r.now, "a")
	if _, ep := r.call("read"); ep != "a" {
		t.Errorf("with one put back, a call goes to %q", ep)
	}

	empty := newRig(t, basic()) // nobody listed is no ban: whoever comes may still answer in time
	if id, _ := empty.call("read"); empty.count("refuse "+id) != 0 {
		t.Error("refused without a ban")
	}
}
