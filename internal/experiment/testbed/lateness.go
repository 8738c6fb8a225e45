package testbed

import (
	"slices"
	"sync"
	"time"
)

// lateness collects the delays between the scheduled times of requests and the times at which they
// were sent. It is safe for concurrent use.
type lateness struct {
	mu     sync.Mutex
	delays []time.Duration
}

// add records the delay of one request.
func (l *lateness) add(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delays = append(l.delays, delay)
}

// p99 returns the 99th percentile of the delays, or 0 if there were no requests.
func (l *lateness) p99() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.delays) == 0 {
		return 0
	}
	slices.Sort(l.delays)
	return l.delays[len(l.delays)*99/100]
}
