package balancer

import (
	"slices"
	"strconv"
	"testing"
	"time"
)

// ids returns the IDs of endpoints.
func ids(endpoints []*endpoint) []string {
	list := []string{}
	for _, e := range endpoints {
		list = append(list, e.ID)
	}
	return list
}

// TestMergeEndpointList checks the counts of endpoints after a merge, and which endpoints the merge
// reports as changed and as started.
func TestMergeEndpointList(t *testing.T) {
	s := newEndpointSet()
	s.disabled["d"] = true
	for _, step := range []struct {
		name             string
		list             EndpointList
		changed, started []string
		listed, ready    int
	}{
		{"the first list", EndpointList{Complete: true, Entries: []Endpoint{{ID: "a"}, {ID: "b"}, {ID: "d"}}},
			[]string{"a", "b", "d"}, []string{"a", "b", "d"}, 3, 2},
		{"the same list", EndpointList{Complete: true, Entries: []Endpoint{{ID: "a"}, {ID: "b"}, {ID: "d"}}},
			[]string{}, []string{}, 3, 2},
		{"a draining endpoint", EndpointList{Entries: []Endpoint{{ID: "b", State: Draining}}},
			[]string{"b"}, []string{}, 3, 1},
		{"a restart", EndpointList{Entries: []Endpoint{{ID: "b", Started: time.Second}}}, []string{"b"}, []string{"b"}, 3, 2},
		{"another kind", EndpointList{Entries: []Endpoint{{ID: "b", Started: time.Second, Kind: "k"}}}, []string{"b"},
			[]string{}, 3, 2},
		{"a complete list without b and d", EndpointList{Complete: true, Entries: []Endpoint{{ID: "a"}}}, []string{"b",
			"d"}, []string{}, 1, 1},
		{"a removed endpoint is listed again", EndpointList{Entries: []Endpoint{{ID: "b"}}},
			[]string{"b"}, []string{"b"}, 2, 2},
	} {
		changed, started := s.mergeEndpointList(step.list)
		if got := ids(changed); !slices.Equal(got, step.changed) {
			t.Errorf("%s: changed %v, want %v", step.name, got, step.changed)
		}
		if got := ids(started); !slices.Equal(got, step.started) {
			t.Errorf("%s: started %v, want %v", step.name, got, step.started)
		}
		if s.listedCount != step.listed || s.readyCount != step.ready {
			t.Errorf("%s: %d listed and %d ready, want %d and %d", step.name, s.listedCount, s.readyCount, step.listed,
				step.ready)
		}
	}
}

// TestRemovedEndpointsAreDropped checks that the set does not grow without limit when endpoints are
// added and removed.
func TestRemovedEndpointsAreDropped(t *testing.T) {
	s := newEndpointSet()
	for i := range 1000 {
		s.mergeEndpointList(EndpointList{Complete: true, Entries: []Endpoint{{ID: strconv.Itoa(i)}}})
	}
	if n := len(s.endpoints); n > 2+maxRemovedEndpoints {
		t.Errorf("the set retains %d endpoints though only one is listed", n)
	}
	if e := s.byID["999"]; len(s.byID) != 1 || e == nil || e.listing.index != 999 {
		t.Errorf("byID is %v, want only endpoint 999 with index 999", s.byID)
	}
}

// TestSubsetMembershipMovesCountsAndDeficits checks that an endpoint's outcomes are included in the
// subset's sum only while it is in the subset, and that its deficit relative to deficitBaseFor does
// not change when it is moved.
func TestSubsetMembershipMovesCountsAndDeficits(t *testing.T) {
	s := newEndpointSet()
	changed, _ := s.mergeEndpointList(EndpointList{Entries: []Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c"}}})
	a := changed[0]
	b := changed[1]
	a.outcomes.outcomeCounts = outcomeCounts{errors: 1, total: 4}
	a.deficit = 2
	a.active = true
	s.deficitBase = 10
	s.replaceSubset([]*endpoint{b, a})
	if s.subsetSize != 2 || s.outcomes != a.outcomes.outcomeCounts || a.deficit != 12 || a.subsetIndex != 1 {
		t.Errorf("with endpoint a in the subset: size %d, outcomes %+v, deficit %v, index %d", s.subsetSize, s.outcomes,
			a.deficit, a.subsetIndex)
	}
	if got := ids(s.activeHeap.endpoints); !slices.Equal(got, []string{"a"}) {
		t.Errorf("active endpoints %v, want [a]", got)
	}
	s.replaceSubset([]*endpoint{b})
	if s.subsetSize != 1 || s.outcomes != (outcomeCounts{}) || a.deficit != 2 || a.inSubset ||
		len(s.activeHeap.endpoints) != 0 {
		t.Errorf("with endpoint a outside the subset: size %d, outcomes %+v, deficit %v", s.subsetSize, s.outcomes, a.deficit)
	}
	s.useAllEndpoints(nil)
	if s.subsetSize != 3 || !s.subsetIsAll {
		t.Errorf("with all endpoints in the subset: size %d, want 3", s.subsetSize)
	}
}
