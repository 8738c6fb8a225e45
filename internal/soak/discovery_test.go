package soak

import (
	"sync"
	"time"

	"rowancart/internal/platform"
	"rowancart/internal/testpeer"
)

// Grace periods after a fault of discovery, during which sidecars need not know of published
// changes.
const (
	silenceGrace  = 6 * time.Second // after watches stopped delivering
	reloadGrace   = 4 * time.Second // after SIGHUP
	handoverGrace = 2 * time.Second // after a new process is ready
)

// discovery is the discovery agent of all sidecars. It tracks from which time on the sidecars count
// as notified of a change.
type discovery struct {
	*testpeer.FakeDiscovery

	mu       sync.Mutex
	graceEnd time.Time // the sidecars do not count as notified of changes before this time
}

func newDiscovery() (*discovery, error) {
	fake, err := testpeer.StartDiscovery(testpeer.DiscoveryOptions{})
	return &discovery{FakeDiscovery: fake}, err
}

// publish adds an endpoint to the list or replaces it, and returns the time from which all sidecars
// count as notified of it.
func (d *discovery) publish(e platform.Endpoint) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Publish(e)
	if now := time.Now(); now.After(d.graceEnd) {
		return now
	}
	return d.graceEnd
}

// extendGrace extends the grace period so that it ends no earlier than grace from now.
func (d *discovery) extendGrace(grace time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if end := time.Now().Add(grace); end.After(d.graceEnd) {
		d.graceEnd = end
	}
}

// silenceWatches makes the open watches stop delivering changes without closing them.
func (d *discovery) silenceWatches() {
	d.extendGrace(silenceGrace)
	d.SilenceWatches()
}
