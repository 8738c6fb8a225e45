package proxy

import (
	"errors"
	"time"

	"rowancart/balancer"
)

// ErrUnknownEndpoint says that no endpoint of that name is listed, or was when it was disabled.
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
	Unlisted  int // ready endpoints beside those that are ever listed to this instance
}

// UpdateEndpoints applies an update from endpoint discovery.
func (p *Pool) UpdateEndpoints(l EndpointList) {
	p.handleEvent(func(now time.Duration) { p.applyEndpointList(now, l) })
}

// applyEndpointList passes an update on to the connections and the Balancer. The connections come
// first: what the Balancer decides on the new list must find them up to date. p.mu must be held.
func (p *Pool) applyEndpointList(now time.Duration, l EndpointList) {
	update := balancer.EndpointList{Complete: l.Complete, Unlisted: l.Unlisted}
	listed := map[string]bool{}
	for _, e := range l.Endpoints {
		update.Entries = append(update.Entries, balancer.Endpoint{
			ID: e.ID, State: e.State, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell,
			Started: p.starts.instant(now, e.ID, e.StartedMs),
		})
		listed[e.ID] = true
		if e.State == balancer.Removed {
			p.removeEndpoint(e.ID)
			continue
		}
		p.endpoints[e.ID] = e
		p.updateConns(e.ID)
	}
	if l.Complete {
		for id := range p.endpoints {
			if !listed[id] {
				p.removeEndpoint(id)
			}
		}
	}
	p.starts.prune(p.endpoints)
	p.events.EndpointList(now, update)
}

// MarkListCurrent reports that endpoint discovery has just been heard of, and has no other news
// than the list in force.
func (p *Pool) MarkListCurrent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts.currentAt = p.clock.now()
}

// removeEndpoint forgets an endpoint. p.mu must be held.
func (p *Pool) removeEndpoint(id string) {
	delete(p.endpoints, id)
	p.conns.RemoveEndpoint(id)
}

// updateConns tells the connection pool where an endpoint is, if it is listed, and whether it takes
// new requests. p.mu must be held.
func (p *Pool) updateConns(id string) {
	if e, listed := p.endpoints[id]; listed {
		p.conns.SetEndpoint(id, e.Addr, e.State == balancer.Ready && !p.disabled[id])
		p.conns.SetStartTime(id, p.clock.time(p.starts.byID[id].at))
	}
}

// Disable takes an endpoint out at the operators' request: once it has returned, no new attempt
// goes there. An endpoint that is not listed may be disabled too; it stays out when it is listed.
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

// HasEndpoint reports whether an endpoint is listed.
func (p *Pool) HasEndpoint(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, listed := p.endpoints[id]
	return listed
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

// endpointStatuses returns what the Balancer knows of all endpoints, and their addresses by id. The
// state of their connections is read after it, without p.mu: this is for people to read, and
// requests need not wait for it.
func (p *Pool) endpointStatuses() (statuses []balancer.EndpointStatus, addrs map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	statuses = p.balancer.EndpointStatuses(p.clock.now())
	addrs = make(map[string]string, len(p.endpoints))
	for id, e := range p.endpoints {
		addrs[id] = e.Addr
	}
	return statuses, addrs
}
