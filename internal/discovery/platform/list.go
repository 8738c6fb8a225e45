package platform

import (
	"encoding/json"
	"fmt"

	"rowancart/balancer"
	"rowancart/internal/netaddr"
	"rowancart/internal/proxy"
)

// Endpoint is one entry of a message from discovery.
type Endpoint struct {
	ID        string `json:"id"`
	Addr      string `json:"addr"` // host:port; may be missing for an endpoint that is gone
	Zone      string `json:"zone"`
	Kind      string `json:"kind"`
	Cell      int    `json:"cell"`
	StateName string `json:"state"`      // on the wire: a key of stateNames
	StartedMs int64  `json:"started_ms"` // Unix time of the process's start, in ms

	State balancer.State `json:"-"` // what StateName stands for
}

// EndpointList is a message from discovery: the complete list if Full is set, else the entries that
// have changed.
type EndpointList struct {
	Version   *int64     `json:"version"`
	Full      bool       `json:"full"`
	Endpoints []Endpoint `json:"servers"`
}

// ForPool returns the list in the form that a pool is updated with.
func (l EndpointList) ForPool() proxy.EndpointList {
	list := proxy.EndpointList{Complete: l.Full}
	for _, e := range l.Endpoints {
		list.Endpoints = append(list.Endpoints, proxy.Endpoint{ID: e.ID, Addr: e.Addr, Zone: e.Zone, Kind: e.Kind,
			Cell: e.Cell, State: e.State, StartedMs: e.StartedMs})
	}
	return list
}

// stateNames maps the names on the wire to states.
var stateNames = map[string]balancer.State{
	"Ready":       balancer.Ready,
	"Terminating": balancer.Draining,
	"Gone":        balancer.Gone,
}

// fieldError says which field of a message is invalid, by its name on the wire.
type fieldError struct {
	field   string
	problem string
}

// Error implements error.
func (e *fieldError) Error() string { return e.field + ": " + e.problem }

// ParseEndpointList decodes and validates a message from discovery. One invalid entry makes the
// entire message invalid.
func ParseEndpointList(text []byte) (EndpointList, error) {
	var list EndpointList
	if err := json.Unmarshal(text, &list); err != nil {
		return EndpointList{}, err
	}
	if list.Version == nil {
		return EndpointList{}, &fieldError{"version", "missing"}
	}
	if list.Endpoints == nil { // must not be taken for a list without any endpoint
		return EndpointList{}, &fieldError{"servers", "missing"}
	}
	for i := range list.Endpoints {
		if err := list.Endpoints[i].resolve(); err != nil {
			return EndpointList{}, err
		}
	}
	return list, nil
}

// resolve validates the entry and sets its State.
func (e *Endpoint) resolve() error {
	state, ok := stateNames[e.StateName]
	if !ok {
		return &fieldError{"state", fmt.Sprintf("%q of %q is unknown", e.StateName, e.ID)}
	}
	e.State = state
	if e.ID == "" {
		return &fieldError{"id", "missing"}
	}
	if e.State == balancer.Gone {
		return nil
	}
	return netaddr.Check("addr", e.Addr)
}
