package proxy

import (
	"fmt"
	"testing"
	"time"

	"rowancart/balancer"
)

// If the wall clock is wrong, the start time of an endpoint may be in the future, or an endpoint
// that has just restarted may seem to have started long ago. In both cases, the window of slow
// start begins when the start time is first listed.
func TestSlowStartLastsARealTimeSpan(t *testing.T) {
	const window = 500 * time.Millisecond
	settings := func(window time.Duration) balancer.Settings {
		return balancer.Settings{SlowStartWindow: window, SlowStartCapacity: 0.3}
	}
	capacityShare := func(p testPool, id string) float64 {
		for _, e := range p.Endpoints() {
			if e.ID == id {
				return e.CapacityShare
			}
		}
		return -1
	}
	start := func(p testPool, started time.Time) {
		p.UpdateEndpoints(EndpointList{Endpoints: []Endpoint{{ID: "a", Addr: "127.0.0.1:9", StartedMs: started.UnixMilli()}}})
	}
	now := time.Now()

	ahead := newTestPool(t, settings(window))
	start(ahead, now.Add(time.Hour))
	if share := capacityShare(ahead, "a"); share >= 1 {
		t.Errorf("start time in the future: capacity share %v, want less than 1", share)
	}
	time.Sleep(2 * window) // slow start ends
	if share := capacityShare(ahead, "a"); share != 1 {
		t.Errorf("after the window of slow start: capacity share %v, want 1", share)
	}

	back := newTestPool(t, settings(time.Minute))
	start(back, now)
	start(back, now.Add(-time.Hour)) // a restart, after the wall clock was set back
	if share := capacityShare(back, "a"); share >= 1 {
		t.Errorf("restart after the wall clock was set back: capacity share %v, want less than 1", share)
	}
}

// The wall clock is stepped while this process runs, on this machine only or on all machines. An
// endpoint that has just started must not count as one that started long ago.
func TestWallClockStepMakesNoEndpointOld(t *testing.T) {
	steps := map[string]time.Duration{"forward": time.Hour, "back": -time.Hour, "by seconds": 3 * time.Second}
	for name, step := range steps {
		for where, listedBy := range map[string]time.Duration{"here": 0, "everywhere": step} {
			c := clock{started: time.Now(), wall: func() time.Time { return time.Now().Add(step) }}
			starts := startTimes{clock: c, byID: map[string]listedStart{}}
			now := c.now()
			listed := time.Now().Add(listedBy).UnixMilli()
			at := starts.instant(now, "a", listed)
			if age := now - at; age < 0 || age > time.Second {
				t.Errorf("clock stepped %s, %s: a new endpoint counts as started %v ago", name, where, age)
			}
			if again := starts.instant(now+time.Minute, "a", listed); again != at {
				t.Errorf("clock stepped %s, %s: the instant of an unchanged start time moved by %v", name, where, again-at)
			}
		}
	}
}

// If the wall clock was wrong when this process started, a new endpoint may seem to have started an
// hour ago. That cannot be true if the list was confirmed a moment ago and did not contain the
// endpoint, so the endpoint counts as just started. It can be true of an endpoint in the first
// list.
func TestNewlyListedEndpointIsNotOld(t *testing.T) {
	c := clock{started: time.Now().Add(-time.Minute)}
	starts := startTimes{clock: c, byID: map[string]listedStart{}}
	now := c.now()
	hourAgo := time.Now().Add(-time.Hour).UnixMilli()
	if age := now - starts.instant(now, "first", hourAgo); age < time.Minute {
		t.Errorf("an endpoint in the first list counts as started %v ago, want at least 1m", age)
	}
	starts.listCurrentAt = now
	if age := now - starts.instant(now, "new", hourAgo); age != 0 {
		t.Errorf("a new endpoint counts as started %v ago, want 0", age)
	}
	if age := now - starts.instant(now, "first", hourAgo); age < time.Minute {
		t.Errorf("an endpoint that was listed before counts as started %v ago, want at least 1m", age)
	}
	for i := range 500 {
		starts.instant(now, fmt.Sprint(i), hourAgo)
	}
	if starts.prune(map[string]Endpoint{"first": {}}); len(starts.byID) != 1 {
		t.Errorf("%d start times are kept for one listed endpoint, want 1", len(starts.byID))
	}
}
