package proxy

// callSet is the calls of a Pool that are in progress, and the ids of recent ones. Pool.mu guards
// it.
type callSet struct {
	byID      map[string]*Call
	recentIDs recentIDs
}

// add adds a call and reports whether its id is new. A call whose id is or was in use is not added.
func (s *callSet) add(c *Call) bool {
	if !s.recentIDs.add(c.ID) || s.byID[c.ID] != nil {
		return false
	}
	s.byID[c.ID] = c
	return true
}

// get returns the call in progress that has this id, or nil.
func (s *callSet) get(id string) *Call { return s.byID[id] }

// contains reports whether a call is in progress.
func (s *callSet) contains(c *Call) bool { return s.byID[c.ID] == c }

// remove removes a call. Its id stays in use.
func (s *callSet) remove(c *Call) { delete(s.byID, c.ID) }

// size returns the number of calls in progress.
func (s *callSet) size() int { return len(s.byID) }
