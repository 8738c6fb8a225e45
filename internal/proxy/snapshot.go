package proxy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rowancart/balancer"
)

// Snapshot is what an engine knows that a successor can begin with.
// The tags are the names in stored snapshots.
type Snapshot struct {
	Learned   balancer.LearnedState `json:"Learned"`
	Endpoints []Endpoint            `json:"Members"`
}

// Snapshot gives what is known now.
func (p *Pool) Snapshot() Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Snapshot{Learned: p.balancer.LearnedState(p.clock.now()), Endpoints: slices.SortedFunc(maps.Values(p.endpoints), func(x, y Endpoint) int {
		return cmp.Compare(x.ID, y.ID)
	})}
}

// Restore takes up what an engine before this one knew so long ago. Members are not believed: the roster says who they are. An
// endpoint that has another address, or has started since, is another one of which nothing is known.
func (p *Pool) Restore(m Snapshot, ago time.Duration) {
	p.handleEvent(func(now time.Duration) {
		was := map[string]Endpoint{}
		for _, e := range m.Endpoints {
			was[e.ID] = e
		}
		same := m.Learned
		same.Endpoints = slices.DeleteFunc(slices.Clone(m.Learned.Endpoints), func(e balancer.LearnedEndpoint) bool {
			old, known := was[e.ID]
			is, listed := p.endpoints[e.ID]
			return !known || !listed || old.Addr != is.Addr || old.StartedMs != is.StartedMs
		})
		p.balancer.Restore(now, same, ago)
	})
}
