package proxy

// idsPerGeneration is how many ids one generation holds: at the site's busiest some minutes' worth.
const idsPerGeneration = 4096

// recentIDs remembers the latest ids in bounded memory: at least recentMost of them, at most twice as many.
type recentIDs struct{ current, previous map[string]bool }

// add remembers an id and tells whether it is new.
func (r *recentIDs) add(id string) bool {
	if r.current[id] || r.previous[id] {
		return false
	}
	if r.current == nil || len(r.current) >= idsPerGeneration {
		r.current, r.previous = make(map[string]bool, len(r.current)), r.current
	}
	r.current[id] = true
	return true
}
