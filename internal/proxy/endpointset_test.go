package proxy

import (
	"slices"
	"testing"
	"time"

	"rowancart/balancer"
)

func TestEndpointSetAcceptsRequestsOfReadyEnabledEndpoints(t *testing.T) {
	s := newEndpointSet(clock{started: time.Now()})
	s.set(Endpoint{ID: "ready", State: balancer.Ready})
	s.set(Endpoint{ID: "draining", State: balancer.Draining})
	s.set(Endpoint{ID: "disabled", State: balancer.Ready})
	s.set(Endpoint{ID: "removed", State: balancer.Ready})
	s.remove("removed")
	s.disabled["disabled"] = true
	for id, want := range map[string]bool{
		"ready": true, "draining": false, "disabled": false, "removed": false, "never listed": false,
	} {
		if got := s.acceptsRequests(id); got != want {
			t.Errorf("%s endpoint: accepts requests %v, want %v", id, got, want)
		}
	}
	s.remove("disabled")
	if s.set(Endpoint{ID: "disabled", State: balancer.Ready}); s.acceptsRequests("disabled") {
		t.Error("a disabled endpoint that is listed again accepts requests")
	}
}

func TestEndpointSetFindsEndpointsMissingFromCompleteList(t *testing.T) {
	s := newEndpointSet(clock{started: time.Now()})
	for _, id := range []string{"a", "b", "c"} {
		s.set(Endpoint{ID: id})
	}
	missing := s.idsNotIn([]Endpoint{{ID: "b"}, {ID: "new"}})
	if slices.Sort(missing); !slices.Equal(missing, []string{"a", "c"}) {
		t.Errorf("missing %q, want a and c", missing)
	}
	if len(s.listed) != 3 {
		t.Errorf("%d endpoints are listed after idsNotIn, want 3", len(s.listed))
	}
}

// An endpoint whose address or start time has changed is a new process, so the learned state of the
// old one must not be used for it.
func TestEndpointSetTellsProcessesApart(t *testing.T) {
	s := newEndpointSet(clock{started: time.Now()})
	current := Endpoint{ID: "a", Addr: "127.0.0.1:1", StartedMs: 5}
	s.set(current)
	drained, moved, restarted := current, current, current
	drained.State = balancer.Draining
	moved.Addr = "127.0.0.1:2"
	restarted.StartedMs = 4
	for name, row := range map[string]struct {
		earlier Endpoint
		want    bool
	}{
		"unchanged":     {current, true},
		"another state": {drained, true},
		"moved":         {moved, false},
		"restarted":     {restarted, false},
		"not listed":    {Endpoint{ID: "b"}, false},
	} {
		if got := s.isSameProcess(row.earlier); got != row.want {
			t.Errorf("%s: same process %v, want %v", name, got, row.want)
		}
	}
}
