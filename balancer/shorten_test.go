package balancer_test

import (
	"slices"
	"testing"
	"time"

	"rowancart/balancer"
)

// Where the host has to end, what would wait for longer has its answer by then: refused if nothing can have run, else failed; what
// is out is called off, and what ends sooner by itself is left alone.
func TestWaitsAreShortened(t *testing.T) {
	r := newRig(t, wanted(20*time.Second), "a")
	safe, _ := r.call("read")
	unsafe, _ := r.call("bill")
	var held []string
	for range 8 {
		if id, at := r.call("bill"); at == "" {
			held = append(held, id)
		}
	}
	if len(held) == 0 {
		t.Fatal("nothing waits for room")
	}
	r.b.CapDeadlines(r.now, r.now+10*time.Second) // all of them wait for 5 s
	at := r.now + time.Second
	r.b.CapDeadlines(r.now, at)
	r.wait(at - 2*ms - r.now)
	if n := r.count("refuse") + r.count("fail"); n != 0 {
		t.Fatalf("%d were given up before it was time: %q", n, r.did)
	}
	r.wait(2 * ms)
	for _, want := range append([]string{"refuse " + safe, "cancel " + safe + " 0", "fail " + unsafe, "cancel " + unsafe + " 0"}, prefixed("refuse ", held)...) {
		if !slices.Contains(r.did, want) {
			t.Errorf("no %q in %q", want, r.did)
		}
	}
}

func prefixed(prefix string, all []string) []string {
	out := slices.Clone(all)
	for i := range out {
		out[i] = prefix + out[i]
	}
	return out
}

// An endpoint that could not be asked, since it was taken out while the connection came up, costs nobody anything: the next attempt
// is beside the budget.
func TestWhatWasNotSentIsBesideTheBudget(t *testing.T) {
	s := basic()
	s.MaxAttempts, s.RetryBudget.PerRequest, s.RetryBudget.Burst = 0, 1e-9, 1e-9
	r := newRig(t, s, "a", "b")
	for _, row := range []struct {
		result  balancer.Result
		resends int
	}{{balancer.NotSent, 1}, {balancer.ConnectFailed, 1}, {balancer.Rejected, 0}} {
		id, _ := r.call("bill")
		r.end(id, row.result)
		if n := len(r.to[id]) - 1; n != row.resends {
			t.Errorf("after %v: sent again %d times, want %d", row.result, n, row.resends)
		}
		if n := len(r.to[id]) - 1; n > 0 {
			r.end(id, balancer.OK)
		}
	}
}
