package balancer

// The set of known endpoints, its subset and its heaps. This file makes no load-balancing
// decisions.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	maxRemovedEndpoints = 16 // removed endpoints that are retained, in addition to as many as are listed
	maxSortedInserts    = 64 // with more changes, sorting all endpoints costs less than inserting each one
)

// endpointSet contains the known endpoints, the subset to which this instance sends requests, and
// the heaps for selection from the subset.
type endpointSet struct {
	endpoints     []*endpoint // in order of insertion; may contain removed ones, see dropRemoved
	byID          map[string]*endpoint
	kindByName    map[string]*endpointKind
	kinds         []*endpointKind
	disabled      map[string]bool // IDs that the operators have disabled; they need not be listed
	listedCount   int             // endpoints that are not removed
	readyCount    int             // endpoints that are neither draining, disabled nor removed
	unlistedCount int             // ready endpoints that are listed only to other instances
	listVersion   int             // number of endpoint lists applied

	subset       []*endpoint   // endpoints that this instance sends to; nil if subsetIsAll
	subsetIsAll  bool          // the subset is all ready endpoints
	subsetSize   int           // number of endpoints in the subset
	readyByKind  []*endpoint   // all ready endpoints, sorted by compareByKind; nil if subsetIsAll
	activeHeap   endpointHeap  // active endpoints of the subset, by deficit
	trialHeap    endpointHeap  // inactive endpoints of the subset, by the time of their next trial
	deficitBase  float64       // deficit that counts as 0 for endpoints in the subset
	outcomes     outcomeCounts // sum over the endpoints of the subset
	failingCount int           // endpoints of the subset that are inactive with the reason InactiveFailing
	warming      []*endpoint   // endpoints whose next send may have to wait for slowStart.nextSendAt
}

// newEndpointSet returns an empty set.
func newEndpointSet() endpointSet {
	return endpointSet{
		byID:       map[string]*endpoint{},
		kindByName: map[string]*endpointKind{},
		disabled:   map[string]bool{},
		activeHeap: endpointHeap{slot: activeHeapSlot, less: hasLowerDeficit},
		trialHeap:  endpointHeap{slot: trialHeapSlot, less: hasSoonerTrial},
	}
}

// mergeEndpointList applies a list to the endpoints. It returns the endpoints that were added,
// changed or removed, and those among them that are new or have restarted.
func (s *endpointSet) mergeEndpointList(l EndpointList) (changed, started []*endpoint) {
	s.listVersion++
	for _, entry := range l.Entries {
		e := s.endpointFor(entry.ID)
		merge := s.mergeEntry(e, entry)
		if merge.isChanged {
			changed = append(changed, e)
		}
		if merge.isStarted {
			started = append(started, e)
		}
	}
	if l.Complete {
		changed = append(changed, s.markUnlistedRemoved()...)
	}
	s.dropRemoved(changed)
	return changed, started
}

// endpointFor returns the endpoint with an ID. It adds the endpoint if it is unknown.
func (s *endpointSet) endpointFor(id string) *endpoint {
	e := s.byID[id]
	if e == nil {
		e = &endpoint{}
		if n := len(s.endpoints); n > 0 {
			e.listing.index = s.endpoints[n-1].listing.index + 1
		}
		e.State = Removed
		s.byID[id] = e
		s.endpoints = append(s.endpoints, e)
	}
	return e
}

// entryMerge states what the entry of a list has changed at its endpoint.
type entryMerge struct {
	isChanged bool // the entry differs from the previous one
	isStarted bool // the endpoint is new or has restarted
}

// mergeEntry applies an entry of a list to its endpoint.
func (s *endpointSet) mergeEntry(e *endpoint, entry Endpoint) entryMerge {
	e.listing.listedInVersion = s.listVersion
	e.listing.state = entry.State
	if s.disabled[entry.ID] && entry.State == Ready {
		entry.State = Draining
	}
	if e.kind != nil && e.Endpoint == entry {
		return entryMerge{}
	}
	merge := entryMerge{isChanged: true, isStarted: e.kind == nil || entry.Started > e.Started}
	if e.kind != nil && e.Kind != entry.Kind {
		e.kind.activeByWeight.remove(e)
	}
	e.kind = s.kindFor(entry.Kind)
	s.countState(e.State, entry.State)
	e.Endpoint = entry
	e.listing.changedInVersion = s.listVersion
	return merge
}

// kindFor returns the kind with a name. It adds the kind if it is unknown.
func (s *endpointSet) kindFor(name string) *endpointKind {
	k := s.kindByName[name]
	if k == nil {
		k = &endpointKind{weight: 1, activeByWeight: endpointHeap{slot: weightHeapSlot, less: hasLowerWeight}}
		s.kindByName[name] = k
		s.kinds = append(s.kinds, k)
	}
	return k
}

// markUnlistedRemoved marks the endpoints that are not in the latest, complete list as removed, and
// returns them.
func (s *endpointSet) markUnlistedRemoved() []*endpoint {
	var removed []*endpoint
	for _, e := range s.endpoints {
		if e.listing.listedInVersion != s.listVersion && e.State != Removed {
			s.countState(e.State, Removed)
			e.State = Removed
			e.listing.changedInVersion = s.listVersion
			removed = append(removed, e)
		}
	}
	return removed
}

// dropRemoved deletes removed endpoints from byID at once, and from the slice of endpoints when
// enough have accumulated.
func (s *endpointSet) dropRemoved(changed []*endpoint) {
	for _, e := range changed {
		if e.State == Removed {
			delete(s.byID, e.ID)
		}
	}
	if len(s.endpoints) > 2*s.listedCount+maxRemovedEndpoints {
		s.endpoints = slices.DeleteFunc(s.endpoints, func(e *endpoint) bool { return e.State == Removed })
	}
}

// countState updates the counts of listed and ready endpoints after one endpoint changed its state.
func (s *endpointSet) countState(before, after State) {
	s.addToCounts(before, -1)
	s.addToCounts(after, 1)
}

// addToCounts adds n endpoints in the given state to the counts of listed and ready endpoints.
func (s *endpointSet) addToCounts(state State, n int) {
	if state != Removed {
		s.listedCount += n
	}
	if state == Ready {
		s.readyCount += n
	}
}

// totalEndpointCount returns the number of endpoints of all instances together: those listed to
// this one, and the ready ones that are listed only to others.
func (s *endpointSet) totalEndpointCount() int { return s.listedCount + s.unlistedCount }

// addToSubset puts an endpoint into the subset at an index, and adds it to the subset's counts. An
// endpoint that is already in the subset only gets the new index.
func (s *endpointSet) addToSubset(e *endpoint, index int) {
	if !e.inSubset {
		deficit := e.deficit - s.deficitBaseFor(e)
		e.inSubset = true
		e.deficit = deficit + s.deficitBaseFor(e)
		s.subsetSize++
		s.outcomes = s.outcomes.plus(e.outcomes.outcomeCounts)
	}
	e.subsetIndex = index
	s.updateHeaps(e)
}

// removeFromSubset takes an endpoint out of the subset and out of the subset's counts. It also
// accepts endpoints that are not in the subset.
func (s *endpointSet) removeFromSubset(e *endpoint) {
	if e.inSubset {
		deficit := e.deficit - s.deficitBaseFor(e)
		e.inSubset = false
		e.deficit = deficit + s.deficitBaseFor(e)
		s.subsetSize--
		s.outcomes = s.outcomes.minus(e.outcomes.outcomeCounts)
	}
	e.subsetIndex = 0
	s.updateHeaps(e)
}

// updateMembership puts an endpoint into a subset of all ready endpoints if it is ready, and
// otherwise takes it out.
func (s *endpointSet) updateMembership(e *endpoint) {
	if e.State == Ready {
		s.addToSubset(e, e.listing.index)
	} else {
		s.removeFromSubset(e)
	}
}

// replaceSubset replaces the subset with the given endpoints.
func (s *endpointSet) replaceSubset(subset []*endpoint) {
	const notInSubset = -1
	for _, e := range s.subsetCandidates() { // the heaps are ordered by indexes that are about to change
		s.activeHeap.remove(e)
		s.trialHeap.remove(e)
		e.subsetIndex = notInSubset
	}
	for i, e := range subset {
		e.subsetIndex = i
	}
	for _, e := range s.subsetCandidates() {
		if e.subsetIndex == notInSubset {
			s.removeFromSubset(e)
		}
	}
	s.subsetIsAll = false
	s.subset = subset
	for i, e := range subset {
		s.addToSubset(e, i)
	}
}

// subsetCandidates returns a list that contains all endpoints of the subset, in the subset's order,
// and possibly others.
func (s *endpointSet) subsetCandidates() []*endpoint {
	if s.subsetIsAll {
		return s.endpoints
	}
	return s.subset
}

// deficitBaseFor returns the deficit that counts as 0 for an endpoint. It is deficitBase in the
// subset, so that raising deficitBase lowers all deficits of the subset at once, and 0 outside.
func (s *endpointSet) deficitBaseFor(e *endpoint) float64 {
	if e.inSubset {
		return s.deficitBase
	}
	return 0
}

// updateHeaps moves an endpoint to its right place in all heaps. It must be called after each
// change of a value by which they are ordered.
func (s *endpointSet) updateHeaps(e *endpoint) {
	switch {
	case !e.inSubset:
		s.activeHeap.remove(e)
		e.kind.activeByWeight.remove(e)
		s.trialHeap.remove(e)
	case e.active:
		s.trialHeap.remove(e)
		s.activeHeap.put(e)
		e.kind.activeByWeight.put(e)
	default:
		s.activeHeap.remove(e)
		e.kind.activeByWeight.remove(e)
		s.trialHeap.put(e)
	}
	s.updateFailingCount(e)
}

// updateFailingCount includes an endpoint in failingCount while it is in the subset and inactive
// with the reason InactiveFailing.
func (s *endpointSet) updateFailingCount(e *endpoint) {
	isFailing := e.inSubset && !e.active && e.inactiveReason == InactiveFailing
	switch {
	case isFailing && !e.countedFailing:
		s.failingCount++
	case !isFailing && e.countedFailing:
		s.failingCount--
	}
	e.countedFailing = isFailing
}

// recordOutcome adds the outcome of a response to an endpoint's decaying counts.
func (s *endpointSet) recordOutcome(now time.Duration, e *endpoint, outcome outcomeCounts) {
	retained := decay(now-e.outcomes.updatedAt, outcomeMemory)
	s.setOutcomes(now, e, e.outcomes.times(retained).plus(outcome))
}

// setOutcomes sets an endpoint's outcomes as of now, and updates the sum over the subset.
func (s *endpointSet) setOutcomes(now time.Duration, e *endpoint, o outcomeCounts) {
	if e.inSubset {
		s.outcomes = s.outcomes.plus(o).minus(e.outcomes.outcomeCounts)
	}
	e.outcomes = outcomeHistory{outcomeCounts: o, updatedAt: now}
}

// useAllEndpoints makes the subset all ready endpoints.
func (s *endpointSet) useAllEndpoints(changed []*endpoint) {
	if !s.subsetIsAll {
		for _, e := range s.subset { // endpoints that were removed may no longer be in s.endpoints
			s.updateMembership(e)
		}
		s.subsetIsAll = true
		s.subset = nil
		s.readyByKind = nil
		changed = s.endpoints
	}
	for _, e := range changed {
		s.updateMembership(e)
	}
}

// updateReadyByKind updates the sorted list of ready endpoints after the given ones have changed.
func (s *endpointSet) updateReadyByKind(changed []*endpoint) {
	if s.subsetIsAll || s.readyByKind == nil {
		changed = s.endpoints
	}
	notReady := func(e *endpoint) bool { return e.State != Ready }
	s.readyByKind = slices.DeleteFunc(s.readyByKind, func(e *endpoint) bool {
		return notReady(e) || len(changed) > 0 && e.listing.changedInVersion == s.listVersion
	})
	if len(changed) > maxSortedInserts {
		s.readyByKind = append(s.readyByKind, changed...)
		slices.SortFunc(s.readyByKind, compareByKind)
		s.readyByKind = slices.DeleteFunc(slices.Compact(s.readyByKind), notReady)
		return
	}
	for _, e := range changed {
		i, found := slices.BinarySearchFunc(s.readyByKind, e, compareByKind)
		if !found && e.State == Ready {
			s.readyByKind = slices.Insert(s.readyByKind, i, e)
		}
	}
}

// compareByKind orders endpoints by kind, and endpoints of the same kind by ID.
func compareByKind(x, y *endpoint) int {
	return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.ID, y.ID))
}

// hasActiveEndpoint reports whether any endpoint of the subset is active.
func (s *endpointSet) hasActiveEndpoint() bool { return len(s.activeHeap.endpoints) > 0 }

// smallestActiveWeight returns the smallest weight of the active endpoints, 1 if there are none.
func (s *endpointSet) smallestActiveWeight() float64 {
	if !s.hasActiveEndpoint() {
		return 1
	}
	smallest := math.Inf(1)
	for _, k := range s.kinds {
		if len(k.activeByWeight.endpoints) > 0 {
			smallest = min(smallest, k.activeByWeight.endpoints[0].weight())
		}
	}
	return smallest
}

// trackWarming records an endpoint whose next send may have to wait, so that a timer is set for it
// while requests are queued.
func (s *endpointSet) trackWarming(e *endpoint) {
	if !slices.Contains(s.warming, e) {
		s.warming = append(s.warming, e)
		slices.SortFunc(s.warming, func(x, y *endpoint) int {
			return cmp.Compare(x.listing.index, y.listing.index)
		})
	}
}
