package proxy

import (
	"errors"
	"log/slog"
	"time"

	"rowancart/balancer"
)

// ErrUnknownEndpoint is the error of an operator's command for an endpoint that is neither listed
// nor disabled.
var ErrUnknownEndpoint = errors.New("no such endpoint is listed")

// Endpoint is an entry of the endpoint list, which comes from endpoint discovery.
//
// The JSON tags are the field names in stored snapshots.
type Endpoint struct {
	ID        string         `json:"ID"`
	Addr      string         `json:"Addr"`
	Zone      string         `json:"Zone"`
	Kind      string         `json:"Kind"`
	Cell      int            `json:"Cell"`
	State     balancer.State `json:"State"`
	StartedMs int64          `json:"StartedMs"` // Unix time of the latest start, in ms; 0: long ago
}

// EndpointList is an update from endpoint discovery: the complete endpoint list, or only the
// entries that have changed. A complete list removes the endpoints that it does not contain.
type EndpointList struct {
	Complete  bool
	Endpoints []Endpoint
	Unlisted  int // number of ready endpoints outside this instance's subset (see package subset)
}

// LogValue implements slog.LogValuer: the number of entries, and how many of them are draining.
func (l EndpointList) LogValue() slog.Value {
	draining := 0
	for _, e := range l.Endpoints {
		if e.State == balancer.Draining {
			draining++
		}
	}
	return slog.GroupValue(slog.Int("entries", len(l.Endpoints)), slog.Int("draining", draining))
}

// UpdateEndpoints applies an update from endpoint discovery.
func (p *Pool) UpdateEndpoints(l EndpointList) {
	p.handleEvent(func(now time.Duration) { p.applyEndpointList(now, l) })
}

// applyEndpointList applies an update to the connection pool and then to the Balancer. The
// connection pool comes first because the Balancer may start attempts based on the new list at
// once, and those need up-to-date connections. p.mu must be held.
func (p *Pool) applyEndpointList(now time.Duration, l EndpointList) {
	update := balancer.EndpointList{Complete: l.Complete, Unlisted: l.Unlisted}
	for _, e := range l.Endpoints {
		update.Entries = append(update.Entries, p.endpoints.balancerEndpoint(now, e))
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

// MarkListCurrent records that endpoint discovery has just confirmed that the endpoint list is up
// to date.
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

// updateConns updates a listed endpoint in the connection pool: its address, its start time, and
// whether it accepts new requests. p.mu must be held.
func (p *Pool) updateConns(id string) {
	if e, isListed := p.endpoints.listed[id]; isListed {
		p.conns.SetEndpoint(id, e.Addr, p.endpoints.acceptsRequests(id))
		p.conns.SetStartTime(id, p.endpoints.startTime(id))
	}
}

// Disable takes an endpoint out of service on behalf of an operator. Once Disable has returned, no
// new attempt is sent to the endpoint. An endpoint that is not listed can be disabled as well; it
// stays disabled when it is listed later.
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

// EndpointStatus describes the current state of one endpoint.
type EndpointStatus struct {
	balancer.EndpointStatus
	Addr        string
	IdleConns   int    // open connections that carry no request
	LastFailure string // error of the latest failed attempt; empty if none has failed since the latest success
}

// Endpoints returns the status of all endpoints, in the order in which they were first listed.
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
// caller reads the state of the connections afterwards, without p.mu, so that status queries by
// operators do not delay requests.
func (p *Pool) endpointStatuses() (statuses []balancer.EndpointStatus, addrs map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.EndpointStatuses(p.clock.now()), p.endpoints.addrs()
}
