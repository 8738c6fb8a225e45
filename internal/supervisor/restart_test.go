package supervisor

import (
	"testing"
	"time"
)

// An instance that ends as soon as it starts is started again ever later: not 50 times in a minute.
func TestAnInstanceThatFailsAtOnceIsStartedEverLater(t *testing.T) {
	v, err := NewRestartPolicy(0, RestartSettings{Instances: 1})
	if err != nil {
		t.Fatal(err)
	}
	starts := 0
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond { // a bound of 6,000 steps
		for _, a := range v.Due(now) {
			if a.Kind == ActionStart {
				starts++
				v.Started(now, a.Instance)
				v.Ended(now, a.Instance)
			}
		}
	}
	// 0.2 s doubled: 0.2 + 0.4 + ... + 25.6 is 51 s; with a quarter of jitter, 8 to 10 starts.
	if starts < 7 || starts > 10 {
		t.Errorf("%d starts in a minute", starts)
	}
	if in := v.Instances()[0]; in.StartAt-in.Since > 30*time.Second*5/4 {
		t.Errorf("a back-off of %v, over the most", in.StartAt-in.Since)
	}
}

// Forty instances killed in the same moment come back at forty moments, within a quarter of the back-off either way.
func TestInstancesThatFailTogetherComeBackApart(t *testing.T) {
	const n = 40
	v, _ := NewRestartPolicy(0, RestartSettings{Instances: n, Seed: 7, First: time.Second})
	for i := range n {
		v.Started(0, i)
		v.Healthy(time.Millisecond, i)
		v.Ended(5*time.Second, i)
	}
	seen := map[time.Duration]bool{}
	for _, in := range v.Instances() {
		wait := in.StartAt - 5*time.Second
		if wait < 750*time.Millisecond || wait > 1250*time.Millisecond {
			t.Errorf("a back-off of %v for a first failure of 1 s", wait)
		}
		seen[in.StartAt] = true
	}
	if len(seen) != n {
		t.Errorf("%d moments for %d instances", len(seen), n)
	}
}

func TestAnInstanceNotHealthyInTimeIsKilled(t *testing.T) {
	v, _ := NewRestartPolicy(0, RestartSettings{Instances: 2, ReadyWithin: time.Second})
	v.Due(0)
	v.Started(0, 0)
	v.Started(0, 1)
	v.Healthy(500*time.Millisecond, 1)
	if next, ok := v.Next(); !ok || next != time.Second {
		t.Fatalf("next: %v %v", next, ok)
	}
	got := v.Due(time.Second)
	if len(got) != 1 || got[0].Kind != ActionKill || got[0].Instance != 0 {
		t.Fatalf("due after a second: %+v", got)
	}
	if again := v.Due(2 * time.Second); len(again) != 0 {
		t.Errorf("killed twice: %+v", again)
	}
}

// Failures are forgotten after a steady while: a crash a day is not met with the longest back-off.
func TestASteadyInstanceStartsOverWithTheFirstBackOff(t *testing.T) {
	v, _ := NewRestartPolicy(0, RestartSettings{Instances: 1, First: time.Second, Steady: time.Minute})
	for k := range 5 {
		at := time.Duration(k) * time.Hour
		v.Started(at, 0)
		v.Healthy(at+time.Second, 0)
		v.Ended(at+2*time.Hour/3, 0)
	}
	if in := v.Instances()[0]; in.Failures != 1 || in.StartAt-in.Since > 1250*time.Millisecond {
		t.Errorf("after five crashes hours apart: %+v", in)
	}
}
