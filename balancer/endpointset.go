package balancer

// The set of known endpoints, its subset and its heaps. No decision is made in this file.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	maxRemovedEndpoints = 16 // removed endpoints that are retained at most, besides as many as are listed
	maxSortedInserts    = 64 // beyond so many changes, sorting all endpoints costs less than inserting each
)

// endpointSet is the endpoints known, the subset of them that this instance sends to, and the heaps
// in which the subset is searched.
type endpointSet struct {
	endpoints     []*endpoint // in order of insertion; removed ones are dropped now and then
	byID          map[string]*endpoint
	kindByName    map[string]*endpointKind
	kinds         []*endpointKind
	disabled      map[string]bool // IDs that the operators have disabled, listed or not
	listedCount   int             // endpoints that are not removed
	readyCount    int             // endpoints that are neither draining nor removed
	unlistedCount int             // ready endpoints that only other instances send to
	listVersion   int             // counts the endpoint lists applied

	subset       []*endpoint   // endpoints that this instance sends to, unless all are
	subsetIsAll  bool          // the subset is all ready endpoints
	subsetSize   int           // endpoints in the subset
	readyByKind  []*endpoint   // all ready endpoints, sorted, while the subset is a part of them
	activeHeap   endpointHeap  // active endpoints of the subset, by deficit
	trialHeap    endpointHeap  // the others of the subset, by the time of their trial
	deficitBase  float64       // deficit that counts as 0 in the subset
	outcomes     outcomeCounts // of the subset's endpoints together
	failingCount int           // endpoints of the subset that are ejected for failures
	warming      []*endpoint   // endpoints whose next send may have to wait for nextSendAt
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

// mergeEndpointList applies a list to the endpoints. It returns those that were changed or removed,
// and of them those that are new or have restarted.
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
	s.forgetRemoved(changed)
	return changed, started
}

// endpointFor returns the endpoint with an ID, a new one if need be.
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

// entryMerge is what an entry of a list changes at its endpoint.
type entryMerge struct {
	isChanged bool // the entry differs from the one before
	isStarted bool // the endpoint is new or has restarted
}

// mergeEntry applies an entry of a list to its endpoint.
func (s *endpointSet) mergeEntry(e *endpoint, entry Endpoint) entryMerge {
	e.listing.namedIn = s.listVersion
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
	e.listing.changedIn = s.listVersion
	return merge
}

// kindFor returns the kind with a name, a new one if need be.
func (s *endpointSet) kindFor(name string) *endpointKind {
	k := s.kindByName[name]
	if k == nil {
		k = &endpointKind{weight: 1, activeByWeight: endpointHeap{slot: weightHeapSlot, less: hasLowerWeight}}
		s.kindByName[name] = k
		s.kinds = append(s.kinds, k)
	}
	return k
}

// markUnlistedRemoved marks the endpoints that a complete list did not name, and returns them.
func (s *endpointSet) markUnlistedRemoved() []*endpoint {
	var removed []*endpoint
	for _, e := range s.endpoints {
		if e.listing.namedIn != s.listVersion && e.State != Removed {
			s.countState(e.State, Removed)
			e.State = Removed
			e.listing.changedIn = s.listVersion
			removed = append(removed, e)
		}
	}
	return removed
}

// forgetRemoved drops removed endpoints: from the index at once, from the slice now and then.
func (s *endpointSet) forgetRemoved(changed []*endpoint) {
	for _, e := range changed {
		if e.State == Removed {
			delete(s.byID, e.ID)
		}
	}
	if len(s.endpoints) > 2*s.listedCount+maxRemovedEndpoints {
		s.endpoints = slices.DeleteFunc(s.endpoints, func(e *endpoint) bool { return e.State == Removed })
	}
}

// countState updates the counts of listed and ready endpoints for a change of one endpoint's state.
func (s *endpointSet) countState(before, after State) {
	s.addToCounts(before, -1)
	s.addToCounts(after, 1)
}

// addToCounts adds a number of endpoints in a state to the counts.
func (s *endpointSet) addToCounts(state State, n int) {
	if state != Removed {
		s.listedCount += n
	}
	if state == Ready {
		s.readyCount += n
	}
}

// fleetCount returns how many endpoints there are for all instances together.
func (s *endpointSet) fleetCount() int { return s.listedCount + s.unlistedCount }

// addToSubset puts an endpoint into the subset at an index, with all that is counted there. It may
// be in the subset already, at another index.
func (s *endpointSet) addToSubset(e *endpoint, index int) {
	if !e.inSubset {
		deficit := e.deficit - s.zeroDeficit(e)
		e.inSubset = true
		e.deficit = deficit + s.zeroDeficit(e)
		s.subsetSize++
		s.outcomes = s.outcomes.plus(e.outcomes.outcomeCounts)
	}
	e.subsetIndex = index
	s.updateHeaps(e)
}

// removeFromSubset takes an endpoint out of the subset, with all that is counted there. One that is
// not in it stays out.
func (s *endpointSet) removeFromSubset(e *endpoint) {
	if e.inSubset {
		deficit := e.deficit - s.zeroDeficit(e)
		e.inSubset = false
		e.deficit = deficit + s.zeroDeficit(e)
		s.subsetSize--
		s.outcomes = s.outcomes.minus(e.outcomes.outcomeCounts)
	}
	e.subsetIndex = 0
	s.updateHeaps(e)
}

// updateMembership puts a ready endpoint into the subset of all, and takes another out.
func (s *endpointSet) updateMembership(e *endpoint) {
	if e.State == Ready {
		s.addToSubset(e, e.listing.index)
	} else {
		s.removeFromSubset(e)
	}
}

// replaceSubset makes a part of the endpoints the subset.
func (s *endpointSet) replaceSubset(subset []*endpoint) {
	const notInSubset = -1
	for _, e := range s.subsetCandidates() { // the heaps go by indexes that are about to change
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

// subsetCandidates returns endpoints among which are all of the subset, in its order.
func (s *endpointSet) subsetCandidates() []*endpoint {
	if s.subsetIsAll {
		return s.endpoints
	}
	return s.subset
}

// zeroDeficit returns the deficit that counts as 0. When it rises, all deficits of the subset drop
// together; those of other endpoints stay.
func (s *endpointSet) zeroDeficit(e *endpoint) float64 {
	if e.inSubset {
		return s.deficitBase
	}
	return 0
}

// updateHeaps moves an endpoint to where it belongs in all heaps. It must be called after any
// change of what they are ordered by.
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

// updateFailingCount counts an endpoint while it is ejected for failures.
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

// recordOutcome counts a response of an endpoint.
func (s *endpointSet) recordOutcome(now time.Duration, e *endpoint, outcome outcomeCounts) {
	retained := decay(now-e.outcomes.updatedAt, outcomeMemory)
	s.setOutcomes(now, e, e.outcomes.times(retained).plus(outcome))
}

// setOutcomes sets an endpoint's outcomes as of now, and the sum over the subset with them.
func (s *endpointSet) setOutcomes(now time.Duration, e *endpoint, o outcomeCounts) {
	if e.inSubset {
		s.outcomes = s.outcomes.plus(o).minus(e.outcomes.outcomeCounts)
	}
	e.outcomes = outcomeHistory{outcomeCounts: o, updatedAt: now}
}

// useAllEndpoints makes the subset all ready endpoints.
func (s *endpointSet) useAllEndpoints(changed []*endpoint) {
	if !s.subsetIsAll {
		for _, e := range s.subset { // endpoints that are removed may no longer be in s.endpoints
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

// updateReadyByKind brings the sorted list of ready endpoints up to date.
func (s *endpointSet) updateReadyByKind(changed []*endpoint) {
	if s.subsetIsAll || s.readyByKind == nil {
		changed = s.endpoints
	}
	notReady := func(e *endpoint) bool { return e.State != Ready }
	s.readyByKind = slices.DeleteFunc(s.readyByKind, func(e *endpoint) bool {
		return notReady(e) || len(changed) > 0 && e.listing.changedIn == s.listVersion
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

// compareByKind orders endpoints by kind, and those of one kind by their ID.
func compareByKind(x, y *endpoint) int {
	return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.ID, y.ID))
}

// hasActiveEndpoint reports whether an endpoint of the subset is active.
func (s *endpointSet) hasActiveEndpoint() bool { return len(s.activeHeap.endpoints) > 0 }

// smallestActiveWeight returns the smallest weight of an active endpoint, 1 if there is none.
func (s *endpointSet) smallestActiveWeight() float64 {
	if !s.hasActiveEndpoint() {
		return 1
	}
	least := math.Inf(1)
	for _, k := range s.kinds {
		if len(k.activeByWeight.endpoints) > 0 {
			least = min(least, k.activeByWeight.endpoints[0].weight())
		}
	}
	return least
}

// trackWarming records an endpoint whose next send may have to wait, so that queued requests wait
// for it.
func (s *endpointSet) trackWarming(e *endpoint) {
	if !slices.Contains(s.warming, e) {
		s.warming = append(s.warming, e)
		slices.SortFunc(s.warming, func(x, y *endpoint) int {
			return cmp.Compare(x.listing.index, y.listing.index)
		})
	}
}
