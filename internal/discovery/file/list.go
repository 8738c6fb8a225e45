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

// The types of the document are aliases of unnamed types, so that the decoder's errors name a field
// by its path in the file and not by a Go type.
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
		State     string `json:"state"`      // a key of statesByName
		StartedMs int64  `json:"started_ms"` // Unix time at which the process started, in ms
	}
)

// statesByName maps the names of states in a file to states. An endpoint without a state is ready.
var statesByName = map[string]balancer.State{
	"":         balancer.Ready,
	"ready":    balancer.Ready,
	"draining": balancer.Draining,
}

// ParseEndpointList parses the text of a file, which is a complete endpoint list. One invalid entry
// makes the entire text invalid, and so does an unknown field or a truncated document: a file that
// is only partly written must not be taken for a list without endpoints.
//
// Errors are FieldErrors, as in "endpoints[2].id: missing". An error in the document as a whole
// begins with the name of the configuration block for the file.
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

// decode returns the entries in a text, which must be exactly one document.
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

// validate returns an error that names the first invalid field of the entry at a path. The entry's
// ID must not be in seen, which holds the IDs of earlier entries.
func validate(e entry, path string, seen map[string]bool) error {
	if e.ID == "" {
		return &FieldError{path + ".id", ErrMissing}
	}
	if seen[e.ID] {
		return &FieldError{path + ".id", fmt.Errorf("%q is listed twice", e.ID)}
	}
	if _, ok := statesByName[e.State]; !ok {
		return &FieldError{path + ".state", fmt.Errorf("%q is neither ready nor draining", e.State)}
	}
	if err := netaddr.Check(e.Address); err != nil {
		return &FieldError{path + ".address", err}
	}
	return nil
}

// endpointOf converts a valid entry to a proxy.Endpoint.
func endpointOf(e entry) proxy.Endpoint {
	return proxy.Endpoint{
		ID:        e.ID,
		Addr:      e.Address,
		Zone:      e.Zone,
		Kind:      e.Kind,
		Cell:      e.Cell,
		State:     statesByName[e.State],
		StartedMs: e.StartedMs,
	}
}
