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

	"tuliprock"
	"tuliprock/internal/engine"
	"tuliprock/internal/netaddr"
	"tuliprock/internal/watch"
)

var states = map[string]tuliprock.State{"": tuliprock.Ready, "ready": tuliprock.Ready, "draining": tuliprock.Draining}

// Parse reads the text of a roster: {"endpoints": [{"id", "address", "zone", "kind", "cell", "state", "started_ms"}]}. It is
// the whole list. One bad entry spoils it, and a text that ends early is no list: a file half written must not pass for one
// on which nobody is left.
func Parse(text []byte) (engine.Members, error) {
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
		return engine.Members{}, fmt.Errorf("roster: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return engine.Members{}, errors.New("roster: more follows the list")
	}
	if in.Endpoints == nil {
		return engine.Members{}, errors.New("endpoints: missing")
	}
	out := engine.Members{Complete: true}
	seen := map[string]bool{}
	for i, e := range in.Endpoints {
		state, ok := states[e.State]
		switch {
		case e.ID == "":
			return engine.Members{}, fmt.Errorf("endpoints[%d].id: missing", i)
		case seen[e.ID]:
			return engine.Members{}, fmt.Errorf("endpoints[%d].id: %q is there twice", i, e.ID)
		case !ok:
			return engine.Members{}, fmt.Errorf("endpoints[%d].state: %q is neither ready nor draining", i, e.State)
		}
		if err := netaddr.Check(fmt.Sprintf("endpoints[%d].address", i), e.Address); err != nil {
			return engine.Members{}, err
		}
		seen[e.ID] = true
		out.Members = append(out.Members, engine.Member{ID: e.ID, Addr: e.Address, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: state,
			StartedMs: e.StartedMs})
	}
	return out, nil
}

// Follow delivers the list and each later one, until ctx ends. A list that can't be read leaves the one before it standing,
// and failed hears why.
func Follow(ctx context.Context, path string, deliver func(engine.Members), failed func(error), log *slog.Logger) {
	take := func(text []byte) {
		m, err := Parse(text)
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
	if err := watch.File(ctx, path, text, take); err != nil {
		log.Error("roster: not followed", "err", err)
		failed(err)
	}
}
