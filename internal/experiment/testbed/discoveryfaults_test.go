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
	if released := f.setSilent(true); len(released) != 0 {
		t.Errorf("the silence releases %+v", released)
	}
	for tier := range 3 {
		if _, withheld := f.intercept(notice{tier: tier}); !withheld {
			t.Errorf("notice %d is not withheld", tier)
		}
	}
	released := f.setSilent(false)
	if len(released) != 3 {
		t.Fatalf("released: %+v", released)
	}
	for i, n := range released {
		if n.tier != i {
			t.Errorf("released: %+v, not in order", released)
		}
	}
	if _, withheld := f.intercept(notice{}); withheld {
		t.Error("withheld after the silence")
	}
}
