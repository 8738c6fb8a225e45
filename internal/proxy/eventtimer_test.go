package proxy

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"rowancart/balancer"
)

// newStoppedTimer returns an eventTimer whose time.Timer does not run until it is reset.
func newStoppedTimer(now time.Duration) eventTimer {
	timer := newEventTimer(now, func() {})
	timer.stop()
	return timer
}

func TestEventTimerTakesDueInstants(t *testing.T) {
	timer := newStoppedTimer(0)
	for _, at := range []time.Duration{5, 2, 9, 2} {
		timer.request(at)
	}
	if want := []time.Duration{2, 2, 5, 9}; !slices.Equal(timer.instants, want) {
		t.Errorf("requested instants are %v, want %v", timer.instants, want)
	}
	for _, row := range []struct {
		now  time.Duration
		want int
	}{{1, 0}, {2, 2}, {4, 0}, {9, 2}, {100, 0}} {
		if got := timer.takeDue(row.now); got != row.want {
			t.Errorf("at %d: %d instants taken, want %d", row.now, got, row.want)
		}
	}
}

func TestEventTimerIsSetToEarliestInstant(t *testing.T) {
	const hour = time.Hour
	timer := newStoppedTimer(0)
	defer timer.stop()
	for _, step := range []struct {
		name    string
		request time.Duration // 0: none
		now     time.Duration
		want    time.Duration
	}{
		{"no instant", 0, 0, idleTimerInterval},
		{"later than the idle interval", 30 * hour, 0, idleTimerInterval},
		{"earlier", idleTimerInterval - 1, 0, idleTimerInterval - 1},
		{"later than the deadline", 20 * hour, 0, idleTimerInterval - 1},
		{"the deadline has passed", 0, 10 * hour, idleTimerInterval - 1},
	} {
		if step.request > 0 {
			timer.request(step.request)
		}
		if timer.reset(step.now); timer.deadline != step.want {
			t.Errorf("%s: timer is set to %v, want %v", step.name, timer.deadline, step.want)
		}
	}
	timer.takeDue(10 * hour)
	if timer.reset(10 * hour); timer.deadline != 20*hour {
		t.Errorf("after the due instants were taken: timer is set to %v, want 20h", timer.deadline)
	}
}

// rearmingEvents requests a new Timer event that is due at once whenever it receives one.
type rearmingEvents struct {
	balancer.Events
	host  balancer.Host
	fired int
}

func (r *rearmingEvents) Timer(now time.Duration) {
	r.fired++
	r.host.Timer(now)
}

// An instant that is requested during a Timer event must be left for a later event, even if it is
// due at once. Otherwise other events would never be handled.
func TestTimerDueAtOnceDoesNotBlockOtherEvents(t *testing.T) {
	p := New(balancer.Settings{}, EndpointList{}, Options{Log: slog.New(slog.DiscardHandler)})
	r := &rearmingEvents{host: host{p}}
	p.events, p.timer.instants = r, nil
	r.host.Timer(clockEpoch)
	r.host.Timer(clockEpoch + 1)
	p.fireDueTimers(p.clock.now())
	if r.fired != 2 || len(p.timer.instants) != 2 {
		t.Errorf("%d Timer events, %d instants still requested; want 2 and 2", r.fired, len(p.timer.instants))
	}
}
