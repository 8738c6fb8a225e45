package proxy

import "rowancart/internal/recentids"

// callSet holds the calls that are in progress and the ids of recent calls. It is guarded by
// Pool.mu.
type callSet struct {
	byID      map[string]*Call
	recentIDs *recentids.Set
}

// add adds a call and returns true. If a call with the same id is in progress or recent, it returns
// false and does not add the call.
func (s *callSet) add(c *Call) bool {
	if !s.recentIDs.Add(c.ID) || s.byID[c.ID] != nil {
		return false
	}
	s.byID[c.ID] = c
	return true
}

// get returns the call in progress with the given id, or nil.
func (s *callSet) get(id string) *Call { return s.byID[id] }

// contains reports whether a call is in progress.
func (s *callSet) contains(c *Call) bool { return s.byID[c.ID] == c }

// remove removes a call. Its id remains among the recent ids, so that it cannot be reused soon.
func (s *callSet) remove(c *Call) { delete(s.byID, c.ID) }

// size returns the number of calls in progress.
func (s *callSet) size() int { return len(s.byID) }
