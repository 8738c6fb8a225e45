package connpool

import (
	"slices"
	"time"
)

// idleConns is the list of idle connections to one endpoint, in the order in which they became
// idle, so the connections in quarantine come last. The Pool's mu guards it.
type idleConns []*conn

// add adds a connection that has just become idle.
func (l *idleConns) add(c *conn) { *l = append(*l, c) }

// takeBest removes and returns the best connection to reuse: the most recently used one past its
// quarantine or, if all are in quarantine, the one whose quarantine ends first. The list must not
// be empty.
func (l *idleConns) takeBest(now time.Time, quarantine time.Duration) *conn {
	mostRecent := len(*l) - 1
	i := max(mostRecent-l.countQuarantined(now, quarantine), 0)
	c := (*l)[i]
	*l = slices.Delete(*l, i, i+1)
	return c
}

// takeOldest removes and returns the connection that has been idle longest. The list must not be
// empty.
func (l *idleConns) takeOldest() *conn {
	oldest := (*l)[0]
	*l = slices.Delete(*l, 0, 1)
	return oldest
}

// removeIf calls remove once for each connection and removes those for which it returns true.
func (l *idleConns) removeIf(remove func(*conn) bool) { *l = slices.DeleteFunc(*l, remove) }

// countQuarantined returns how many connections are in quarantine.
func (l *idleConns) countQuarantined(now time.Time, quarantine time.Duration) int {
	n := 0
	for _, c := range slices.Backward(*l) {
		if now.Sub(c.idleSince) >= quarantine {
			break
		}
		n++
	}
	return n
}
