package proxy

import (
	"errors"
	"time"

	"rowancart/balancer"
)

// ErrUnknownEndpoint says that no endpoint of that id is listed, or was when it was disabled.
var ErrUnknownEndpoint = errors.New("no such endpoint is listed")

// Endpoint is an endpoint as endpoint discovery lists it.
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

// EndpointList is an update from endpoint discovery: the complete list, or what has changed.
type EndpointList struct {
	Complete  bool
	Endpoints []Endpoint
	Unlisted  int // ready endpoints that are never listed to this instance
}

// UpdateEndpoints applies an update from endpoint discovery.
func (p *Pool) UpdateEndpoints(l EndpointList) {
	p.handleEvent(func(now time.Duration) { p.applyEndpointList(now, l) })
}

// applyEndpointList passes an update to the connection pool and the Balancer. The connection pool
// comes first: what the Balancer decides by the new list must find it up to date. p.mu must be
// held.
func (p *Pool) applyEndpointList(now time.Duration, l EndpointList) {
	update := balancer.EndpointList{Complete: l.Complete, Unlisted: l.Unlisted}
	for _, e := range l.Endpoints {
		update.Entries = append(update.Entries, p.endpoints.entry(now, e))
		if e.State == balancer.Removed {
			p.removeEndpoint(e.ID)
			continue
		}
		p.endpoints.set(e)
		p.updateConns(e.ID)
	}
	if l.Complete {
		for _, id := range p.endpoints.idsNotIn(l.Endpoints) {
			p.removeEndpoint(id)
		}
	}
	p.endpoints.starts.prune(p.endpoints.listed)
	p.events.EndpointList(now, update)
}

// MarkListCurrent reports that endpoint discovery has just confirmed the list in force.
func (p *Pool) MarkListCurrent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoints.starts.listCurrentAt = p.clock.now()
}

// removeEndpoint removes an endpoint that is no longer listed. p.mu must be held.
func (p *Pool) removeEndpoint(id string) {
	p.endpoints.remove(id)
	p.conns.RemoveEndpoint(id)
}

// updateConns sets the address and start of a listed endpoint in the connection pool, and whether
// it takes new requests. p.mu must be held.
func (p *Pool) updateConns(id string) {
	if e, isListed := p.endpoints.listed[id]; isListed {
		p.conns.SetEndpoint(id, e.Addr, p.endpoints.acceptsRequests(id))
		p.conns.SetStartTime(id, p.endpoints.startTime(id))
	}
}

// Disable takes an endpoint out of service for operators: once it has returned, no new attempt goes
// there. An endpoint that is not listed may be disabled too; it stays disabled when it is listed.
func (p *Pool) Disable(id string) {
	p.handleEvent(func(now time.Duration) {
		p.endpoints.disabled[id] = true
		p.updateConns(id)
		p.balancer.Disable(now, id)
	})
}

// Enable puts a disabled endpoint back into service.
func (p *Pool) Enable(id string) {
	p.handleEvent(func(now time.Duration) {
		delete(p.endpoints.disabled, id)
		p.updateConns(id)
		p.balancer.Enable(now, id)
	})
}

// HasEndpoint reports whether an endpoint is listed.
func (p *Pool) HasEndpoint(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, isListed := p.endpoints.listed[id]
	return isListed
}

// EndpointStatus is the state of one endpoint.
type EndpointStatus struct {
	balancer.EndpointStatus
	Addr        string
	IdleConns   int    // connections that wait for their next request
	LastFailure string // how the latest failed attempt failed, until one succeeds
}

// Endpoints returns the state of all endpoints, in the order in which they were first listed.
func (p *Pool) Endpoints() []EndpointStatus {
	statuses, addrs := p.endpointStatuses()
	out := make([]EndpointStatus, len(statuses))
	for i, s := range statuses {
		out[i] = EndpointStatus{EndpointStatus: s, Addr: addrs[s.ID]}
		out[i].IdleConns, out[i].LastFailure = p.conns.EndpointStatus(s.ID)
	}
	return out
}

// endpointStatuses returns the Balancer's status of all endpoints, and their addresses by id. The
// state of their connections is read after it, without p.mu, so that requests do not wait for the
// reports of operators.
func (p *Pool) endpointStatuses() (statuses []balancer.EndpointStatus, addrs map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.EndpointStatuses(p.clock.now()), p.endpoints.addrs()
}
