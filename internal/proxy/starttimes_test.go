package proxy

import (
	"fmt"
	"testing"
	"time"

	"rowancart/balancer"
)

// The wall clock is wrong: an endpoint's start lies in the future, and one that has restarted seems
// to have started long ago. The window of slow start begins when the start is first listed.
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
	if w := capacityShare(ahead, "a"); w >= 1 {
		t.Errorf("a start in the future was listed: capacity share %v", w)
	}
	time.Sleep(2 * window) // its window passes
	if w := capacityShare(ahead, "a"); w != 1 {
		t.Errorf("after its window: capacity share %v", w)
	}

	back := newTestPool(t, settings(time.Minute))
	start(back, now)
	start(back, now.Add(-time.Hour)) // restarted, after the clock was set back
	if w := capacityShare(back, "a"); w >= 1 {
		t.Errorf("a restart was listed by a clock that was set back: capacity share %v", w)
	}
}

// The wall clock is stepped by an hour while this process runs, here alone or everywhere: an
// endpoint that has just started never counts as one that started long ago.
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
				t.Errorf("%s, %s: it counts as %v old", name, where, age)
			}
			if again := starts.instant(now+time.Minute, "a", listed); again != at {
				t.Errorf("%s, %s: the same start became another instant, %v later", name, where, again-at)
			}
		}
	}
}

// The clock was wrong when this process started: an endpoint that discovery did not list a moment
// ago has not started an hour ago. An endpoint of the first list may have.
func TestNewlyListedEndpointIsNotOld(t *testing.T) {
	c := clock{started: time.Now().Add(-time.Minute)}
	starts := startTimes{clock: c, byID: map[string]listedStart{}}
	now := c.now()
	hourAgo := time.Now().Add(-time.Hour).UnixMilli()
	if age := now - starts.instant(now, "first", hourAgo); age < time.Minute {
		t.Errorf("an endpoint of the first list counts as %v old", age)
	}
	starts.listCurrentAt = now
	if age := now - starts.instant(now, "new", hourAgo); age != 0 {
		t.Errorf("a new endpoint counts as %v old", age)
	}
	if age := now - starts.instant(now, "first", hourAgo); age < time.Minute {
		t.Errorf("an endpoint that was listed before counts as %v old", age)
	}
	for i := range 500 {
		starts.instant(now, fmt.Sprint(i), hourAgo)
	}
	if starts.prune(map[string]Endpoint{"first": {}}); len(starts.byID) != 1 {
		t.Errorf("%d starts are kept, and one endpoint is listed", len(starts.byID))
	}
}
