package roundrobin

import (
	"testing"

	"rowancart/internal/platform"
)

func TestEndpointsAreUsedInTurn(t *testing.T) {
	endpoint := func(id string, state platform.State) platform.Endpoint {
		return platform.Endpoint{ID: id, Addr: "addr-" + id, State: state}
	}
	var e endpoints
	expectNext := func(step string, want ...string) {
		t.Helper()
		got := map[string]int{}
		for range 2 * len(want) {
			got[e.next()]++
		}
		for _, addr := range want {
			if got[addr] != 2 {
				t.Errorf("after %s: requests by endpoint %v, want 2 to %s", step, got, addr)
			}
		}
	}
	if addr := e.next(); addr != "" {
		t.Errorf("without endpoints: next address %q, want none", addr)
	}
	e.apply(platform.CompleteList(1, endpoint("a", platform.StateReady), endpoint("b", platform.StateReady),
		endpoint("c", platform.StateDraining)))
	expectNext("complete list", "addr-a", "addr-b")
	e.apply(platform.Changes(2, endpoint("a", platform.StateDraining), endpoint("c", platform.StateReady),
		endpoint("d", platform.StateReady)))
	expectNext("changes", "addr-b", "addr-c", "addr-d")
	e.apply(platform.CompleteList(3, endpoint("d", platform.StateReady)))
	expectNext("second complete list", "addr-d")
	if e.version != 3 {
		t.Errorf("version %d, want 3", e.version)
	}
}
