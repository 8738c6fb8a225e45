package proxy

import "rowancart/internal/recentids"

// callSet holds the calls that are in progress and the ids of recent calls. It is guarded by
// Pool.mu.
type callSet struct {
	byID      map[string]*Call
	moving    map[*Call]bool // calls whose deadline moves, see Pool.currentDeadline
	recentIDs *recentids.Set
	idScope   string // see Options.IDScope
}

// newCallSet returns an empty set.
func newCallSet(o Options) callSet {
	recent := o.RecentIDs
	if recent == nil {
		recent = recentids.New()
	}
	return callSet{byID: map[string]*Call{}, moving: map[*Call]bool{}, recentIDs: recent, idScope: o.IDScope}
}

// scopedID returns the id under which a call is kept among the recent ids. Its parts are separated
// by a byte that neither can have.
func (s *callSet) scopedID(c *Call) string {
	if s.idScope == "" {
		return c.ID
	}
	return s.idScope + "\x00" + c.ID
}

// add adds a call and returns true. If a call with the same id is in progress or recent, it returns
// false and does not add the call.
func (s *callSet) add(c *Call) bool {
	if !s.recentIDs.Add(s.scopedID(c)) || s.byID[c.ID] != nil {
		return false
	}
	s.byID[c.ID] = c
	if c.message.HasMovingDeadline() {
		s.moving[c] = true
	}
	return true
}

// get returns the call in progress with the given id, or nil.
func (s *callSet) get(id string) *Call { return s.byID[id] }

// contains reports whether a call is in progress.
func (s *callSet) contains(c *Call) bool { return s.byID[c.ID] == c }

// remove removes a call. Its id remains among the recent ids, so that it cannot be reused soon,
// unless no attempt was made: such calls must not push the ids of others out.
func (s *callSet) remove(c *Call) {
	delete(s.byID, c.ID)
	delete(s.moving, c)
	if len(c.attempts) == 0 {
		s.recentIDs.Remove(s.scopedID(c))
	}
}

// size returns the number of calls in progress.
func (s *callSet) size() int { return len(s.byID) }
