package balancer

import (
	"testing"
	"time"
)

func TestSubscriptionBacksOff(t *testing.T) {
	const longest = 3 * minSubscribeBackoff
	var s subscription
	for i, want := range []time.Duration{minSubscribeBackoff, 2 * minSubscribeBackoff, longest, longest} {
		if s.backOff(longest); s.backoff != want {
			t.Errorf("backoff %d is %v, want %v", i+1, s.backoff, want)
		}
	}
	var short subscription
	if short.backOff(0); short.backoff != minSubscribeBackoff {
		t.Errorf("backoff is %v where the poll interval allows less, want %v", short.backoff, minSubscribeBackoff)
	}
}

func TestSubscriptionIsDue(t *testing.T) {
	if (subscription{}).isDue(time.Hour) {
		t.Error("Subscribe is due though none was scheduled")
	}
	s := subscription{dueAt: time.Minute}
	if s.isDue(time.Minute-1) || !s.isDue(time.Minute) {
		t.Error("Subscribe is due before dueAt, or not due at dueAt")
	}
}
