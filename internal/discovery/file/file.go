// Package file is a roster kept in a file that others write: a JSON list of endpoints, followed while it changes.
package file

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"

	"rowancart/balancer"
	"rowancart/internal/filewatch"
	"rowancart/internal/netaddr"
	"rowancart/internal/proxy"
)

var states = map[string]balancer.State{"": balancer.Ready, "ready": balancer.Ready, "draining": balancer.Draining}

// ParseEndpointList reads the text of a roster: {"endpoints": [{"id", "address", "zone", "kind", "cell", "state", "started_ms"}]}. It is
// the whole list. One bad entry spoils it, and a text that ends early is no list: a file half written must not pass for one
// on which nobody is left.
func ParseEndpointList(text []byte) (proxy.EndpointList, error) {
	var in struct {
		Endpoints []struct {
			ID        string `json:"id"`
			Address   string `json:"address"`
			Zone      string `json:"zone"`
			Kind      string `json:"kind"`
			Cell      int    `json:"cell"`
			State     string `json:"state"`
			StartedMs int64  `json:"started_ms"`
		} `json:"endpoints"`
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&in); err != nil {
		return proxy.EndpointList{}, fmt.Errorf("roster: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return proxy.EndpointList{}, errors.New("roster: more follows the list")
	}
	if in.Endpoints == nil {
		return proxy.EndpointList{}, errors.New("endpoints: missing")
	}
	out := proxy.EndpointList{Complete: true}
	seen := map[string]bool{}
	for i, e := range in.Endpoints {
		state, ok := states[e.State]
		switch {
		case e.ID == "":
			return proxy.EndpointList{}, fmt.Errorf("endpoints[%d].id: missing", i)
		case seen[e.ID]:
			return proxy.EndpointList{}, fmt.Errorf("endpoints[%d].id: %q is there twice", i, e.ID)
		case !ok:
			return proxy.EndpointList{}, fmt.Errorf("endpoints[%d].state: %q is neither ready nor draining", i, e.State)
		}
		if err := netaddr.Check(fmt.Sprintf("endpoints[%d].address", i), e.Address); err != nil {
			return proxy.EndpointList{}, err
		}
		seen[e.ID] = true
		out.Endpoints = append(out.Endpoints, proxy.Endpoint{ID: e.ID, Addr: e.Address, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: state,
			StartedMs: e.StartedMs})
	}
	return out, nil
}

// Follow delivers the list and each later one, until ctx ends. A list that can't be read leaves the one before it standing,
// and failed hears why.
func Follow(ctx context.Context, path string, deliver func(proxy.EndpointList), failed func(error), log *slog.Logger) {
	take := func(text []byte) {
		m, err := ParseEndpointList(text)
		if err != nil {
			err = fmt.Errorf("%s: %w", path, err)
			log.Warn("roster: the old list stands", "err", err)
			failed(err)
			return
		}
		failed(nil)
		deliver(m)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		log.Warn("roster: no list yet", "err", err)
		failed(err)
	} else {
		take(text)
	}
	if err := filewatch.File(ctx, path, text, take); err != nil {
		log.Error("roster: not followed", "err", err)
		failed(err)
	}
}
