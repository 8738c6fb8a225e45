package proxy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rowancart/balancer"
)

// Snapshot is what a Pool knows that a successor can begin with.
//
// The tags are the names in stored snapshots.
type Snapshot struct {
	Learned   balancer.LearnedState `json:"Learned"`
	Endpoints []Endpoint            `json:"Members"`
}

// Snapshot returns what is known now, endpoints in the order of their ids.
func (p *Pool) Snapshot() Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Snapshot{
		Learned: p.balancer.LearnedState(p.clock.now()),
		Endpoints: slices.SortedFunc(maps.Values(p.endpoints), func(x, y Endpoint) int {
			return cmp.Compare(x.ID, y.ID)
		}),
	}
}

// Restore takes over what an earlier Pool had learned that long ago. Only the endpoint list says
// which endpoints there are: an endpoint that has another address now, or has started since, is
// another one of which nothing is known.
func (p *Pool) Restore(s Snapshot, ago time.Duration) {
	p.handleEvent(func(now time.Duration) {
		previous := map[string]Endpoint{}
		for _, e := range s.Endpoints {
			previous[e.ID] = e
		}
		learned := s.Learned
		learned.Endpoints = slices.DeleteFunc(slices.Clone(s.Learned.Endpoints), func(e balancer.LearnedEndpoint) bool {
			before, known := previous[e.ID]
			current, listed := p.endpoints[e.ID]
			return !known || !listed || before.Addr != current.Addr || before.StartedMs != current.StartedMs
		})
		p.balancer.Restore(now, learned, ago)
	})
}
