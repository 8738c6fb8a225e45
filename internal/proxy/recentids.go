package proxy

// idsPerGeneration is how many ids one generation of recentIDs has: those of some minutes at the
// highest request rate.
const idsPerGeneration = 4096

// recentIDs is a set of the latest ids in bounded memory: at least idsPerGeneration of them, at
// most twice as many. Pool.mu guards it.
type recentIDs struct{ current, previous map[string]bool }

// add adds an id and reports whether it is new.
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
