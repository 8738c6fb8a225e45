package proxy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rowancart/balancer"
)

// Snapshot is what a Pool passes to its successor.
//
// The tags are the names in stored snapshots.
type Snapshot struct {
	Learned   balancer.LearnedState `json:"Learned"`
	Endpoints []Endpoint            `json:"Members"`
}

// Snapshot returns the present state, endpoints in the order of their ids.
func (p *Pool) Snapshot() Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Snapshot{
		Learned: p.balancer.LearnedState(p.clock.now()),
		Endpoints: slices.SortedFunc(maps.Values(p.endpoints.listed), func(x, y Endpoint) int {
			return cmp.Compare(x.ID, y.ID)
		}),
	}
}

// Restore takes over the learned state of an earlier Pool, from a snapshot of this age. The
// endpoint list alone says which endpoints there are: what was learned of an endpoint is dropped if
// it is not listed any more, has another address now, or has restarted since.
func (p *Pool) Restore(s Snapshot, age time.Duration) {
	p.handleEvent(func(now time.Duration) {
		earlier := map[string]Endpoint{}
		for _, e := range s.Endpoints {
			earlier[e.ID] = e
		}
		learned := s.Learned
		learned.Endpoints = slices.DeleteFunc(slices.Clone(s.Learned.Endpoints), func(e balancer.LearnedEndpoint) bool {
			endpoint, inSnapshot := earlier[e.ID]
			return !inSnapshot || !p.endpoints.isSameProcess(endpoint)
		})
		p.balancer.Restore(now, learned, age)
	})
}
