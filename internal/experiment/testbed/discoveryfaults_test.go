package testbed

import (
	"testing"
	"time"
)

func TestSilentDiscoveryReleasesNoticesInOrder(t *testing.T) {
	var f discoveryFaults
	f.setDelay(time.Second)
	if delay, withheld := f.intercept(notice{tier: 1}); delay != time.Second || withheld {
		t.Errorf("before the silence: delay %v, withheld %v", delay, withheld)
	}
	f.silence()
	if len(f.withheld) != 0 {
		t.Errorf("withheld when the silence begins: %+v", f.withheld)
	}
	for tier := range 3 {
		if _, withheld := f.intercept(notice{tier: tier}); !withheld {
			t.Errorf("notice %d is not withheld", tier)
		}
	}
	released := f.resume()
	if len(released) != 3 {
		t.Fatalf("released: %+v", released)
	}
	for i, n := range released {
		if n.tier != i {
			t.Errorf("released: %+v, not in order", released)
		}
	}
	if delay, withheld := f.intercept(notice{}); delay != time.Second || withheld {
		t.Errorf("after the silence: delay %v, withheld %v", delay, withheld)
	}
	if released := f.resume(); len(released) != 0 {
		t.Errorf("released twice: %+v", released)
	}
}
