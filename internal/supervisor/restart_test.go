package supervisor

import (
	"testing"
	"time"
)

// An instance that exits as soon as it starts is restarted after growing backoffs, not 50 times
// in a minute.
func TestBackoffGrowsWhileAnInstanceFailsAtOnce(t *testing.T) {
	p, err := NewRestartPolicy(0, RestartSettings{Instances: 1})
	if err != nil {
		t.Fatal(err)
	}
	starts := 0
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond { // 6,000 steps
		for _, a := range p.DueActions(now) {
			if a.Kind == ActionStart {
				starts++
				p.OnStarted(now, a.Instance)
				p.OnExited(now, a.Instance)
			}
		}
	}
	// Without jitter, the backoffs 0.2 + 0.4 + ... + 25.6 s add up to 51 s. With jitter of a
	// quarter, there are 8 or 9 starts; the check allows one fewer or one more.
	if starts < 7 || starts > 10 {
		t.Errorf("%d starts in a minute, want 7 to 10", starts)
	}
	if in := p.Instances()[0]; in.StartAt-in.Since > 30*time.Second*5/4 {
		t.Errorf("a backoff of %v, more than the maximum with jitter", in.StartAt-in.Since)
	}
}

// Forty instances that are killed at the same time are restarted at forty different times, each
// after a backoff that jitter changes by at most a quarter.
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
			t.Errorf("a backoff of %v after a first failure, want 1 s ± 25%%", wait)
		}
		seen[in.StartAt] = true
	}
	if len(seen) != n {
		t.Errorf("%d different start times for %d instances", len(seen), n)
	}
}

func TestInstanceNotHealthyInTimeIsKilledOnce(t *testing.T) {
	p, _ := NewRestartPolicy(0, RestartSettings{Instances: 2, ReadyTimeout: time.Second})
	p.DueActions(0)
	p.OnStarted(0, 0)
	p.OnStarted(0, 1)
	p.OnHealthy(500*time.Millisecond, 1)
	if next, ok := p.NextDeadline(); !ok || next != time.Second {
		t.Fatalf("next deadline: %v %v, want 1s true", next, ok)
	}
	got := p.DueActions(time.Second)
	if len(got) != 1 || got[0].Kind != ActionKill || got[0].Instance != 0 {
		t.Fatalf("actions due after a second: %+v, want a kill of instance 0", got)
	}
	if again := p.DueActions(2 * time.Second); len(again) != 0 {
		t.Errorf("actions after the kill: %+v, want none", again)
	}
}

// An instance that crashes only after long stable periods, such as once a day, is restarted after
// the initial backoff and not after the longest one.
func TestStableInstanceRestartsAfterInitialBackoff(t *testing.T) {
	p, _ := NewRestartPolicy(0, RestartSettings{Instances: 1, InitialBackoff: time.Second, StableAfter: time.Minute})
	for k := range 5 {
		at := time.Duration(k) * time.Hour
		p.OnStarted(at, 0)
		p.OnHealthy(at+time.Second, 0)
		p.OnExited(at+2*time.Hour/3, 0)
	}
	if in := p.Instances()[0]; in.Failures != 1 || in.StartAt-in.Since > 1250*time.Millisecond {
		t.Errorf("after five crashes an hour apart: %+v, want 1 failure and the initial backoff", in)
	}
}
