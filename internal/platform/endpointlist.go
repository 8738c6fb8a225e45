package platform

import (
	"encoding/json"
	"fmt"

	"rowancart/balancer"
	"rowancart/internal/netaddr"
)

// State is the name of an endpoint state on the wire.
type State string

// The states of endpoints.
const (
	StateReady    State = "Ready"
	StateDraining State = "Terminating"
	StateRemoved  State = "Gone"
)

// EndpointState returns the balancer.State of that name; ok is false if the name is unknown.
func (s State) EndpointState() (state balancer.State, ok bool) {
	switch s {
	case StateReady:
		return balancer.Ready, true
	case StateDraining:
		return balancer.Draining, true
	case StateRemoved:
		return balancer.Removed, true
	}
	return 0, false
}

// Endpoint is one entry of an EndpointList.
type Endpoint struct {
	ID        string             `json:"id"`
	Addr      string             `json:"addr"` // host:port; may be empty if the endpoint is removed
	Zone      string             `json:"zone"`
	Kind      string             `json:"kind"`
	Cell      int                `json:"cell"`
	State     State              `json:"state"`
	Weight    WriteOnly[float64] `json:"weight"`
	StartedMs int64              `json:"started_ms"` // Unix time at which the process started, in ms; 0: long ago
}

// EndpointList is a message from discovery: the complete list, or the entries that have changed.
type EndpointList struct {
	Version   *int64     `json:"version"` // never nil in a valid message
	Complete  bool       `json:"full"`
	Endpoints []Endpoint `json:"servers"`
}

// CompleteList returns a message with the complete list at a version.
func CompleteList(version int64, endpoints ...Endpoint) EndpointList {
	list := Changes(version, endpoints...)
	list.Complete = true
	return list
}

// Changes returns a message with changed entries. The version is that of the list after them.
func Changes(version int64, endpoints ...Endpoint) EndpointList {
	return EndpointList{
		Version:   &version,
		Endpoints: append([]Endpoint{}, endpoints...), // never nil: its JSON form is an array even if it is empty
	}
}

// Text returns the JSON text of the message, as discovery sends it.
func (l EndpointList) Text() []byte {
	text, err := json.Marshal(l)
	if err != nil { // the only value without a JSON form is a weight that is infinite or NaN
		panic(err)
	}
	return text
}

// ParseEndpointList decodes and validates a message from discovery. One invalid entry makes the
// entire message invalid.
func ParseEndpointList(text []byte) (EndpointList, error) {
	var list EndpointList
	if err := json.Unmarshal(text, &list); err != nil {
		return EndpointList{}, err
	}
	if list.Version == nil {
		return EndpointList{}, &FieldError{Field: "version", Err: errMissing}
	}
	if list.Endpoints == nil { // a missing list must not be taken for an empty one
		return EndpointList{}, &FieldError{Field: "servers", Err: errMissing}
	}
	for _, endpoint := range list.Endpoints {
		if err := endpoint.validate(); err != nil {
			return EndpointList{}, err
		}
	}
	return list, nil
}

// validate returns an error that names the first invalid field.
func (e Endpoint) validate() error {
	if _, ok := e.State.EndpointState(); !ok {
		return &FieldError{Field: "state", Err: fmt.Errorf("unknown state %q of endpoint %q", string(e.State), e.ID)}
	}
	if e.ID == "" {
		return &FieldError{Field: "id", Err: errMissing}
	}
	if e.State == StateRemoved {
		return nil
	}
	return netaddr.CheckField("addr", e.Addr)
}
