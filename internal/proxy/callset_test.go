package proxy

import (
	"fmt"
	"testing"

	"rowancart/balancer"
	"rowancart/internal/recentids"
)

// A duplicate must neither replace the first call nor count as a call in progress, whether the
// first call is still in progress or has ended.
func TestCallSetRejectsDuplicateIDs(t *testing.T) {
	s := callSet{byID: map[string]*Call{}, recentIDs: recentids.New()}
	first := NewCall(balancer.Request{ID: "r1"}, nil)
	duplicate := NewCall(balancer.Request{ID: "r1"}, nil)
	if !s.add(first) || s.add(duplicate) {
		t.Error("of two calls with the same id, the first and only the first should have been added")
	}
	if s.get("r1") != first || !s.contains(first) || s.contains(duplicate) || s.size() != 1 {
		t.Errorf("after a duplicate: call r1 is %p of %d calls in progress, want only %p", s.get("r1"), s.size(), first)
	}
	s.remove(first)
	if s.get("r1") != nil || s.contains(first) || s.size() != 0 {
		t.Errorf("%d calls are in progress after the only call was removed, want 0", s.size())
	}
	if s.add(duplicate) {
		t.Error("the id of a call that has ended was accepted again")
	}
}

// The id of a call in progress must be rejected even after it was dropped from the recent ids.
func TestCallSetRejectsIDOfCallInProgressHoweverOld(t *testing.T) {
	s := callSet{byID: map[string]*Call{}, recentIDs: recentids.New()}
	s.add(NewCall(balancer.Request{ID: "old"}, nil))
	for i := range 8 * recentids.Guaranteed {
		s.recentIDs.Add(fmt.Sprint(i))
	}
	if s.add(NewCall(balancer.Request{ID: "old"}, nil)) {
		t.Error("the id of a call in progress was accepted again")
	}
}
