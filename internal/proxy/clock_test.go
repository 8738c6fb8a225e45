package proxy

import (
	"testing"
	"time"

	"rowancart/balancer"
)

// The wall clock is wrong: an endpoint's start lies in the future, and one that has restarted seems
// to have started long ago. The slow start takes its window from the moment at which the start was
// heard of.
func TestSlowStartIsASpanOfRealTime(t *testing.T) {
	const window = 500 * time.Millisecond
	settings := func(window time.Duration) balancer.Settings {
		return balancer.Settings{SlowStartWindow: window, SlowStartCapacity: 0.3}
	}
	warmth := func(p testPool, id string) float64 {
		for _, e := range p.Endpoints() {
			if e.ID == id {
				return e.Warmth
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
	if w := warmth(ahead, "a"); w >= 1 {
		t.Errorf("told of a start in the future: warmth %v", w)
	}
	time.Sleep(2 * window) // its window passes
	if w := warmth(ahead, "a"); w != 1 {
		t.Errorf("after its window: warmth %v", w)
	}

	back := newTestPool(t, settings(time.Minute))
	start(back, now)
	start(back, now.Add(-time.Hour)) // restarted, after the clock was set back
	if w := warmth(back, "a"); w >= 1 {
		t.Errorf("told of a restart by a clock that was set back: warmth %v", w)
	}
}
