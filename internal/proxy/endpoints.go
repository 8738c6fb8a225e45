package proxy

import (
	"errors"
	"time"

	"rowancart/balancer"
)

// Endpoint is an endpoint as a roster lists it.
//
// The tags are the names in stored snapshots.
type Endpoint struct {
	ID        string         `json:"ID"`
	Addr      string         `json:"Addr"`
	Zone      string         `json:"Zone"`
	Kind      string         `json:"Kind"`
	Cell      int            `json:"Cell"`
	State     balancer.State `json:"State"`
	StartedMs int64          `json:"StartedMs"` // Unix time of the latest start; 0: long ago
}

// EndpointList is what a roster says: the whole list, or what has changed.
type EndpointList struct {
	Complete  bool
	Endpoints []Endpoint
	Unlisted  int // ready endpoints beside those that are ever listed to this instance
}

// UpdateEndpoints reports what a roster says.
func (p *Pool) UpdateEndpoints(m EndpointList) {
	p.handleEvent(func(now time.Duration) { p.applyEndpointList(now, m) })
}

// ErrUnknownEndpoint says that no endpoint of that name is listed, or was when it was taken out.
var ErrUnknownEndpoint = errors.New("no such endpoint is listed")

// Disable takes an endpoint out at the operators' word: on return nothing new goes there. One that is not listed may be banned
// too; it stays out when it comes.
func (p *Pool) Disable(id string) {
	p.handleEvent(func(now time.Duration) {
		p.disabled[id] = true
		p.updateConns(id)
		p.balancer.Disable(now, id)
	})
}

// Enable puts an endpoint back.
func (p *Pool) Enable(id string) {
	p.handleEvent(func(now time.Duration) {
		delete(p.disabled, id)
		p.updateConns(id)
		p.balancer.Enable(now, id)
	})
}

// HasEndpoint tells whether an endpoint is listed.
func (p *Pool) HasEndpoint(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, listed := p.endpoints[id]
	return listed
}

// updateConns tells the connections where an endpoint is, if it is anywhere, and whether they are worth keeping.
func (p *Pool) updateConns(id string) {
	if m, listed := p.endpoints[id]; listed {
		p.conns.SetEndpoint(id, m.Addr, m.State == balancer.Ready && !p.disabled[id])
		p.conns.SetStartTime(id, time.UnixMilli(m.StartedMs))
	}
}

// EndpointStatus is how an endpoint stands with an engine.
type EndpointStatus struct {
	balancer.EndpointStatus
	Addr        string
	IdleConns   int    // connections that wait for their next request
	LastFailure string // how the latest attempt that failed did so, until one succeeds
}

// Endpoints tells how all endpoints stand, in the order in which they were first heard of.
func (p *Pool) Endpoints() []EndpointStatus {
	p.mu.Lock()
	standings := p.balancer.EndpointStatuses(p.clock.now())
	addrs := make(map[string]string, len(p.endpoints))
	for id, m := range p.endpoints {
		addrs[id] = m.Addr
	}
	p.mu.Unlock()
	out := make([]EndpointStatus, len(standings))
	for i, s := range standings {
		out[i] = EndpointStatus{EndpointStatus: s, Addr: addrs[s.ID]}
		out[i].IdleConns, out[i].LastFailure = p.conns.EndpointStatus(s.ID)
	}
	return out
}

// applyEndpointList tells the module and the connections what a roster says.
func (p *Pool) applyEndpointList(now time.Duration, m EndpointList) {
	out := balancer.EndpointList{Complete: m.Complete, Unlisted: m.Unlisted}
	listed := map[string]bool{}
	for _, s := range m.Endpoints {
		out.Entries = append(out.Entries, balancer.Endpoint{ID: s.ID, State: s.State, Zone: s.Zone, Kind: s.Kind,
			Cell: s.Cell, Started: p.clock.instant(s.StartedMs)})
		listed[s.ID] = true
		if s.State == balancer.Gone {
			p.removeEndpoint(s.ID)
			continue
		}
		p.endpoints[s.ID] = s
		p.updateConns(s.ID)
	}
	if m.Complete {
		for id := range p.endpoints {
			if !listed[id] {
				p.removeEndpoint(id)
			}
		}
	}
	p.events.EndpointList(now, out)
}

func (p *Pool) removeEndpoint(id string) {
	delete(p.endpoints, id)
	p.conns.RemoveEndpoint(id)
}
