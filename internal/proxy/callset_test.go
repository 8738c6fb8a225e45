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
	first.attempts = []*attempt{{}}
	s.remove(first)
	if s.get("r1") != nil || s.contains(first) || s.size() != 0 {
		t.Errorf("%d calls are in progress after the only call was removed, want 0", s.size())
	}
	if s.add(duplicate) {
		t.Error("the id of a call that has ended was accepted again")
	}
}

// A call that ended without an attempt cannot have run, so its id may come again. Such calls must
// not push the ids of calls that may have run out of the set either.
func TestIDOfCallWithoutAttemptsIsForgotten(t *testing.T) {
	s := callSet{byID: map[string]*Call{}, recentIDs: recentids.New()}
	ran := NewCall(balancer.Request{ID: "ran"}, nil)
	s.add(ran)
	ran.attempts = []*attempt{{}}
	s.remove(ran)
	for i := range 8 * recentids.Guaranteed {
		c := NewCall(balancer.Request{ID: fmt.Sprint(i % 100)}, nil)
		if !s.add(c) {
			t.Fatalf("id %s, whose call ended without an attempt, was rejected", c.ID)
		}
		s.remove(c)
	}
	if s.add(NewCall(balancer.Request{ID: "ran"}, nil)) {
		t.Error("the id of a call that may have run was accepted again")
	}
}

// Calls of pools that share their recent ids do not interfere.
func TestPoolsThatShareRecentIDsHaveTheirOwnIDs(t *testing.T) {
	shared := recentids.New()
	one := newCallSet(Options{RecentIDs: shared, IDScope: "one"})
	two := newCallSet(Options{RecentIDs: shared, IDScope: "two"})
	if !one.add(NewCall(balancer.Request{ID: "r1"}, nil)) || !two.add(NewCall(balancer.Request{ID: "r1"}, nil)) {
		t.Error("an id of one pool was rejected by another")
	}
	again := newCallSet(Options{RecentIDs: shared, IDScope: "one"})
	if again.add(NewCall(balancer.Request{ID: "r1"}, nil)) {
		t.Error("an id was accepted again by a pool of the same scope")
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
