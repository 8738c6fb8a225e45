package testbed

import (
	"testing"
	"time"
)

func TestSilentDiscoveryReleasesUpdatesInOrder(t *testing.T) {
	var f discoveryFaults
	f.setDelay(time.Second)
	if delay, withheld := f.intercept(endpointUpdate{tier: 1}); delay != time.Second || withheld {
		t.Errorf("before the silence: delay %v, withheld %v; want 1s, false", delay, withheld)
	}
	f.silence()
	if len(f.withheld) != 0 {
		t.Errorf("updates withheld when the silence begins: %+v, want none", f.withheld)
	}
	for tier := range 3 {
		if _, withheld := f.intercept(endpointUpdate{tier: tier}); !withheld {
			t.Errorf("update %d is not withheld during the silence", tier)
		}
	}
	released := f.resume()
	if len(released) != 3 {
		t.Fatalf("released: %+v, want 3 updates", released)
	}
	for i, u := range released {
		if u.tier != i {
			t.Errorf("released: %+v, not in the order of publication", released)
		}
	}
	if delay, withheld := f.intercept(endpointUpdate{}); delay != time.Second || withheld {
		t.Errorf("after the silence: delay %v, withheld %v; want 1s, false", delay, withheld)
	}
	if released := f.resume(); len(released) != 0 {
		t.Errorf("released by the second call: %+v, want none", released)
	}
}
