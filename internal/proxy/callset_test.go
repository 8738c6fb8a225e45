package proxy

import (
	"fmt"
	"testing"

	"rowancart/balancer"
)

// A duplicate must neither replace the first call nor count as one in progress, before and after
// the first call has ended.
func TestCallSetRejectsDuplicateIDs(t *testing.T) {
	s := callSet{byID: map[string]*Call{}}
	first := NewCall(balancer.Request{ID: "r1"}, nil)
	duplicate := NewCall(balancer.Request{ID: "r1"}, nil)
	if !s.add(first) || s.add(duplicate) {
		t.Error("of two calls with one id, not the first alone was added")
	}
	if s.get("r1") != first || !s.contains(first) || s.contains(duplicate) || s.size() != 1 {
		t.Errorf("after a duplicate: call %p of %d is in progress, want %p", s.get("r1"), s.size(), first)
	}
	s.remove(first)
	if s.get("r1") != nil || s.contains(first) || s.size() != 0 {
		t.Errorf("%d calls are in progress after the removal", s.size())
	}
	if s.add(duplicate) {
		t.Error("the id of a call that has ended was accepted again")
	}
}

// An id that was forgotten as recent is still in use while its call is in progress.
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
			t.Fatalf("new id %d is reported as known", i)
		}
		if i >= idsPerGeneration && r.add(fmt.Sprint(i-idsPerGeneration+1)) {
			t.Fatalf("after %d ids, id %d is forgotten", i, i-idsPerGeneration+1)
		}
	}
	if n := len(r.current) + len(r.previous); n > 2*idsPerGeneration {
		t.Errorf("%d ids are kept", n)
	}
}
