package proxy

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"rowancart/balancer"
)

// The same start must always be the same instant, or an old one would pass for a restart.
func TestStartTimesBecomeInstants(t *testing.T) {
	c := clock{started: time.Now()}
	at := c.started.UnixMilli()
	if c.instant(0) != 0 {
		t.Errorf("long ago: %v", c.instant(0))
	}
	if got := c.instant(at - 2000); got != clockEpoch-2*time.Second {
		t.Errorf("two seconds before the start: %v", got)
	}
	if got := c.instant(1); got != 0 {
		t.Errorf("years ago: %v", got)
	}
	if now := c.now(); now < clockEpoch {
		t.Errorf("now: %v", now)
	}
}

// rearmingEvents asks for a timer that is due at once, each time one fires.
type rearmingEvents struct {
	balancer.Events
	host  balancer.Host
	fired int
}

func (r *rearmingEvents) Timer(now time.Duration) {
	r.fired++
	r.host.Timer(now)
}

// A timer that is asked for while another one fires must wait for the next event, or other events
// are never handled.
func TestTimerDueAtOnceDoesNotBlockOtherEvents(t *testing.T) {
	p := New(balancer.Settings{}, EndpointList{}, Options{Log: slog.New(slog.DiscardHandler)})
	r := &rearmingEvents{host: host{p}}
	p.events, p.timerInstants = r, nil
	r.host.Timer(clockEpoch)
	r.host.Timer(clockEpoch + 1)
	p.fireDueTimers(p.clock.now())
	if r.fired != 2 || len(p.timerInstants) != 2 {
		t.Errorf("%d timers fired, %d wait", r.fired, len(p.timerInstants))
	}
}

func TestRecentIDsAreBounded(t *testing.T) {
	var r recentIDs
	for i := range 10 * idsPerGeneration {
		if !r.add(fmt.Sprint(i)) {
			t.Fatalf("id %d is taken for a known one", i)
		}
		if i >= idsPerGeneration && r.add(fmt.Sprint(i-idsPerGeneration+1)) {
			t.Fatalf("of %d ids, number %d is forgotten", i, i-idsPerGeneration+1)
		}
	}
	if n := len(r.current) + len(r.previous); n > 2*idsPerGeneration {
		t.Errorf("%d ids are held", n)
	}
}
