package proxy

// recentMost is how many ids one generation holds: at the site's busiest some minutes' worth.
const recentMost = 4096

// recent remembers the latest ids in bounded memory: at least recentMost of them, at most twice as many.
type recent struct{ young, old map[string]bool }

// add remembers an id and tells whether it is new.
func (r *recent) add(id string) bool {
	if r.young[id] || r.old[id] {
		return false
	}
	if r.young == nil || len(r.young) >= recentMost {
		r.young, r.old = make(map[string]bool, len(r.young)), r.young
	}
	r.young[id] = true
	return true
}
