package file

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"rowancart/balancer"
	"rowancart/internal/netaddr"
	"rowancart/internal/proxy"
)

// The types of the file's form are aliases of unnamed types, so that errors of the decoder name a
// field by its path in the file and not by a type of this program.
type (
	document = struct {
		Endpoints []entry `json:"endpoints"`
	}
	entry = struct {
		ID        string `json:"id"`
		Address   string `json:"address"` // host:port
		Zone      string `json:"zone"`
		Kind      string `json:"kind"`
		Cell      int    `json:"cell"`
		State     string `json:"state"`      // a key of states
		StartedMs int64  `json:"started_ms"` // Unix time of the process's start, in ms
	}
)

// states maps the names of states in a file. An entry without a state is ready.
var states = map[string]balancer.State{
	"":         balancer.Ready,
	"ready":    balancer.Ready,
	"draining": balancer.Draining,
}

// ParseEndpointList parses the text of a file into a complete endpoint list. One invalid entry
// makes the entire text invalid. So does an unknown field, and a text that ends early: a file that
// is half written must not pass for a list without endpoints.
//
// Errors are FieldErrors, as in "endpoints[2].id: missing". Those of the whole document name the
// block that configures the file.
func ParseEndpointList(text []byte) (proxy.EndpointList, error) {
	entries, err := decode(text)
	if err != nil {
		return proxy.EndpointList{}, err
	}
	list := proxy.EndpointList{Complete: true}
	seen := map[string]bool{}
	for i, e := range entries {
		if err := validate(e, fmt.Sprintf("endpoints[%d]", i), seen); err != nil {
			return proxy.EndpointList{}, err
		}
		seen[e.ID] = true
		list.Endpoints = append(list.Endpoints, endpointOf(e))
	}
	return list, nil
}

// decode returns the entries of a text that is one document and nothing else.
func decode(text []byte) ([]entry, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var d document
	if err := decoder.Decode(&d); err != nil {
		return nil, &FieldError{blockName, err}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &FieldError{blockName, ErrTrailingData}
	}
	if d.Endpoints == nil {
		return nil, &FieldError{"endpoints", ErrMissing}
	}
	return d.Endpoints, nil
}

// validate returns an error that names the first invalid field of the entry at a path. Its ID must
// not be among the seen ones.
func validate(e entry, path string, seen map[string]bool) error {
	if e.ID == "" {
		return &FieldError{path + ".id", ErrMissing}
	}
	if seen[e.ID] {
		return &FieldError{path + ".id", fmt.Errorf("%q is listed twice", e.ID)}
	}
	if _, ok := states[e.State]; !ok {
		return &FieldError{path + ".state", fmt.Errorf("%q is neither ready nor draining", e.State)}
	}
	if err := netaddr.Check(e.Address); err != nil {
		return &FieldError{path + ".address", err}
	}
	return nil
}

// endpointOf returns the endpoint of a valid entry.
func endpointOf(e entry) proxy.Endpoint {
	return proxy.Endpoint{
		ID:        e.ID,
		Addr:      e.Address,
		Zone:      e.Zone,
		Kind:      e.Kind,
		Cell:      e.Cell,
		State:     states[e.State],
		StartedMs: e.StartedMs,
	}
}
