package proxy

import (
	"slices"
	"time"

	"rowancart/balancer"
)

// Snapshot is the state that a Pool passes to the Pool of a later process.
//
// The JSON tags are the field names in stored snapshots.
type Snapshot struct {
	Learned   balancer.LearnedState `json:"Learned"`
	Endpoints []Endpoint            `json:"Members"`
}

// ListedEndpoints returns the endpoint list in force, sorted by id.
func (p *Pool) ListedEndpoints() []Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints.sorted()
}

// Snapshot returns the current state, with the endpoints sorted by id.
func (p *Pool) Snapshot() Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Snapshot{
		Learned:   p.balancer.LearnedState(p.clock.now()),
		Endpoints: p.endpoints.sorted(),
	}
}

// Restore restores the learned state of an earlier Pool from a snapshot that was taken age ago. It
// does not restore the endpoint list, which must be in force already. The learned state of an
// endpoint is dropped if the endpoint is no longer listed, or if its address or start time has
// changed since.
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
