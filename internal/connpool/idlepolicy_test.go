package connpool

import (
	"testing"
	"time"
)

func TestIdlePolicyAllowsReuseBeforeEndpointTimeout(t *testing.T) {
	var p idlePolicy
	p.configure(10*time.Second, 0)
	for idleFor, want := range map[time.Duration]bool{
		0: true, 9*time.Second - 1: true, 9 * time.Second: false, 10 * time.Second: false,
	} {
		if got := p.allowsReuse(idleFor); got != want {
			t.Errorf("idle for %v: allows reuse %v, want %v", idleFor, got, want)
		}
	}
}

func TestIdlePolicyLearnsFromCloses(t *testing.T) {
	const timeout, quarantine = 30 * time.Second, 20 * time.Millisecond
	const ignoredUpTo = quarantine + sweepInterval // a close found this early may have come during the quarantine
	for name, row := range map[string]struct {
		closes []time.Duration
		want   time.Duration
	}{
		"none":                  {nil, 27 * time.Second},
		"during the quarantine": {[]time.Duration{ignoredUpTo}, 27 * time.Second},
		"early":                 {[]time.Duration{time.Second}, 500 * time.Millisecond},
		"earlier and later":     {[]time.Duration{time.Second, ignoredUpTo * 5, time.Minute}, 300 * time.Millisecond},
		"very early":            {[]time.Duration{ignoredUpTo + 1}, minMaxIdle},
		"late":                  {[]time.Duration{time.Minute}, 27 * time.Second},
	} {
		var p idlePolicy
		p.configure(timeout, quarantine)
		for _, idleFor := range row.closes {
			p.observeClose(idleFor)
		}
		if p.maxIdle != row.want {
			t.Errorf("closes %s: connections are reused for %v, want %v", name, p.maxIdle, row.want)
		}
	}
}

// A reload of the configuration keeps the learned maximum idle time unless the endpoints' timeout
// changes.
func TestIdlePolicyKeepsLearnedMaximumUntilTimeoutChanges(t *testing.T) {
	var p idlePolicy
	p.configure(30*time.Second, 0)
	p.observeClose(time.Second)
	p.configure(30*time.Second, time.Millisecond)
	if p.maxIdle != 500*time.Millisecond || p.quarantine != time.Millisecond {
		t.Errorf("same timeout: policy %+v, want maxIdle 500ms and quarantine 1ms", p)
	}
	if p.configure(20*time.Second, 0); p.maxIdle != 18*time.Second {
		t.Errorf("new timeout: connections are reused for %v, want 18s", p.maxIdle)
	}
}
