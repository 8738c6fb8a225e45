package supervisor

import (
	"testing"
	"time"
)

// An instance that ends as soon as it starts is restarted with growing pauses: not 50 times in a
// minute.
func TestBackoffGrowsWhileAnInstanceFailsAtOnce(t *testing.T) {
	p, err := NewRestartPolicy(0, RestartSettings{Instances: 1})
	if err != nil {
		t.Fatal(err)
	}
	starts := 0
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond { // a bound of 6,000 steps
		for _, a := range p.DueActions(now) {
			if a.Kind == ActionStart {
				starts++
				p.OnStarted(now, a.Instance)
				p.OnExited(now, a.Instance)
			}
		}
	}
	// 0.2 s doubled: 0.2 + 0.4 + ... + 25.6 is 51 s; with a quarter of jitter, 8 to 10 starts.
	if starts < 7 || starts > 10 {
		t.Errorf("%d starts in a minute", starts)
	}
	if in := p.Instances()[0]; in.StartAt-in.Since > 30*time.Second*5/4 {
		t.Errorf("a backoff of %v, over the maximum", in.StartAt-in.Since)
	}
}

// Forty instances killed in the same moment are started at forty different moments, within a
// quarter of the backoff either way.
func TestJitterSpreadsInstancesThatFailTogether(t *testing.T) {
	const n = 40
	p, _ := NewRestartPolicy(0, RestartSettings{Instances: n, Seed: 7, InitialBackoff: time.Second})
	for i := range n {
		p.OnStarted(0, i)
		p.OnHealthy(time.Millisecond, i)
		p.OnExited(5*time.Second, i)
	}
	seen := map[time.Duration]bool{}
	for _, in := range p.Instances() {
		wait := in.StartAt - 5*time.Second
		if wait < 750*time.Millisecond || wait > 1250*time.Millisecond {
			t.Errorf("a backoff of %v for a first failure of 1 s", wait)
		}
		seen[in.StartAt] = true
	}
	if len(seen) != n {
		t.Errorf("%d different starts for %d instances", len(seen), n)
	}
}

func TestInstanceNotHealthyInTimeIsKilledOnce(t *testing.T) {
	p, _ := NewRestartPolicy(0, RestartSettings{Instances: 2, ReadyTimeout: time.Second})
	p.DueActions(0)
	p.OnStarted(0, 0)
	p.OnStarted(0, 1)
	p.OnHealthy(500*time.Millisecond, 1)
	if next, ok := p.NextDeadline(); !ok || next != time.Second {
		t.Fatalf("next: %v %v", next, ok)
	}
	got := p.DueActions(time.Second)
	if len(got) != 1 || got[0].Kind != ActionKill || got[0].Instance != 0 {
		t.Fatalf("due after a second: %+v", got)
	}
	if again := p.DueActions(2 * time.Second); len(again) != 0 {
		t.Errorf("killed twice: %+v", again)
	}
}

// An instance that crashes once a day does not wait for the longest backoff.
func TestFailuresOfAStableInstanceAreForgotten(t *testing.T) {
	p, _ := NewRestartPolicy(0, RestartSettings{Instances: 1, InitialBackoff: time.Second, StableAfter: time.Minute})
	for k := range 5 {
		at := time.Duration(k) * time.Hour
		p.OnStarted(at, 0)
		p.OnHealthy(at+time.Second, 0)
		p.OnExited(at+2*time.Hour/3, 0)
	}
	if in := p.Instances()[0]; in.Failures != 1 || in.StartAt-in.Since > 1250*time.Millisecond {
		t.Errorf("after five crashes hours apart: %+v", in)
	}
}
