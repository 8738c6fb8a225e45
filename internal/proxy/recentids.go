package proxy

// idsPerGeneration is the number of ids in one generation of recentIDs. At the highest request
// rate, that many requests arrive within a few minutes.
const idsPerGeneration = 4096

// recentIDs is a set of the most recently added ids. It has two generations to bound its memory: it
// remembers at least the latest idsPerGeneration ids and at most twice as many. It is guarded by
// Pool.mu.
type recentIDs struct{ current, previous map[string]bool }

// add adds an id and reports whether it was not in the set.
func (r *recentIDs) add(id string) bool {
	if r.current[id] || r.previous[id] {
		return false
	}
	if r.current == nil || len(r.current) >= idsPerGeneration {
		r.previous = r.current
		r.current = make(map[string]bool, len(r.previous))
	}
	r.current[id] = true
	return true
}
