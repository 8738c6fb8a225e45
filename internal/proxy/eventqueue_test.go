package proxy

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"rowancart/balancer"
)

// Events that are deferred while another event is handled, which may itself be a deferred one, are
// handled before handleEvent returns, in the order in which they were deferred.
func TestDeferredEventsAreHandledInOrder(t *testing.T) {
	p := New(balancer.Settings{}, EndpointList{}, Options{Log: slog.New(slog.DiscardHandler)})
	var handled []string
	record := func(name string) func(time.Duration) {
		return func(time.Duration) { handled = append(handled, name) }
	}
	p.handleEvent(func(now time.Duration) {
		p.deferred.push(func(now time.Duration) {
			record("first deferred")(now)
			p.deferred.push(record("deferred by the first"))
		})
		p.deferred.push(record("second deferred"))
		record("event")(now)
	})
	want := []string{"event", "first deferred", "second deferred", "deferred by the first"}
	if !slices.Equal(handled, want) {
		t.Errorf("handled %q, want %q", handled, want)
	}
	if p.deferred.pop() != nil {
		t.Error("a deferred event was not handled")
	}
}
