package proxy

import (
	"fmt"
	"testing"

	"rowancart/balancer"
)

// A duplicate must neither replace the first call nor count as a call in progress, whether the
// first call is still in progress or has ended.
func TestCallSetRejectsDuplicateIDs(t *testing.T) {
	s := callSet{byID: map[string]*Call{}}
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
	s := callSet{byID: map[string]*Call{}}
	s.add(NewCall(balancer.Request{ID: "old"}, nil))
	for i := range 3 * idsPerGeneration {
		s.recentIDs.add(fmt.Sprint(i))
	}
	if s.add(NewCall(balancer.Request{ID: "old"}, nil)) {
		t.Error("the id of a call in progress was accepted again")
	}
}

func TestRecentIDsAreBounded(t *testing.T) {
	var r recentIDs
	for i := range 10 * idsPerGeneration {
		if !r.add(fmt.Sprint(i)) {
			t.Fatalf("id %d is new, but add reported it as known", i)
		}
		if i >= idsPerGeneration && r.add(fmt.Sprint(i-idsPerGeneration+1)) {
			t.Fatalf("after id %d was added, id %d is no longer known", i, i-idsPerGeneration+1)
		}
	}
	if n := len(r.current) + len(r.previous); n > 2*idsPerGeneration {
		t.Errorf("%d ids are kept, more than two generations", n)
	}
}
