package soak

import (
	"sync"
	"time"

	"rowancart/internal/platform"
	"rowancart/internal/testpeer"
)

// How long after a fault of discovery the sidecars don't count as notified of what it has.
const (
	silenceGrace  = 6 * time.Second // after watches fell silent
	reloadGrace   = 4 * time.Second // after SIGHUP
	handoverGrace = 2 * time.Second // after a new process is ready
)

// discovery is the discovery agent of all sidecars. It knows from when on they count as notified.
type discovery struct {
	*testpeer.FakeDiscovery

	mu       sync.Mutex
	graceEnd time.Time // until then the sidecars don't count as notified of changes
}

func newDiscovery() (*discovery, error) {
	fake, err := testpeer.StartDiscovery(testpeer.DiscoveryOptions{})
	return &discovery{FakeDiscovery: fake}, err
}

// publish lists an endpoint, or replaces it, and returns when all sidecars count as notified.
func (d *discovery) publish(e platform.Endpoint) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Publish(e)
	if now := time.Now(); now.After(d.graceEnd) {
		return now
	}
	return d.graceEnd
}

// extendGrace lets the grace last at least this long from now on.
func (d *discovery) extendGrace(grace time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if end := time.Now().Add(grace); end.After(d.graceEnd) {
		d.graceEnd = end
	}
}

// silenceWatches lets the open watches deliver nothing any more.
func (d *discovery) silenceWatches() {
	d.extendGrace(silenceGrace)
	d.SilenceWatches()
}
