package testbed

import (
	"slices"
	"sync"
	"time"
)

// lateness collects by how much requests were sent after their intended time. It is safe for
// concurrent use.
type lateness struct {
	mu     sync.Mutex
	delays []time.Duration
}

// add adds the delay of one request.
func (l *lateness) add(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delays = append(l.delays, delay)
}

// p99 returns the 99th percentile of the delays; 0 without requests.
func (l *lateness) p99() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.delays) == 0 {
		return 0
	}
	slices.Sort(l.delays)
	return l.delays[len(l.delays)*99/100]
}
