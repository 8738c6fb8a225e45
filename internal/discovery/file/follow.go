// Package file implements endpoint discovery from a file that other programs write: a JSON document
// with the complete list of endpoints,
//
//	{"endpoints": [{"id": "a", "address": "127.0.0.1:8080", "zone": "z", "kind": "k", "cell": 1,
//	                "state": "draining", "started_ms": 1800000000000}]}
//
// which is read again whenever it changes.
package file

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"rowancart/internal/filewatch"
	"rowancart/internal/logkey"
	"rowancart/internal/proxy"
)

// Follow reads the endpoint list from a file, at once and whenever the file changes, and passes it
// to onUpdate. While the file cannot be read or is invalid, the previous list stays in use. Follow
// returns when ctx ends, or at once if the file cannot be watched.
//
// Follow calls onStatus with an error if the file cannot be read at first, is invalid or cannot be
// watched, and with nil before each call of onUpdate. A file that cannot be read later counts as
// unchanged. All calls are made by the goroutine of Follow.
func Follow(ctx context.Context, path string, onUpdate func(proxy.EndpointList), onStatus func(error),
	log *slog.Logger) {
	apply := func(text []byte) {
		list, err := ParseEndpointList(text)
		if err != nil {
			err = fmt.Errorf("%s: %w", path, err)
			log.Warn("endpoint list not applied", logkey.Err, err)
			onStatus(err)
			return
		}
		onStatus(nil)
		onUpdate(list)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		log.Warn("endpoint list not read", logkey.Err, err)
		onStatus(err)
	} else {
		apply(text)
	}
	if err := filewatch.File(ctx, path, text, apply); err != nil {
		log.Error("endpoint list not watched", logkey.Err, err)
		onStatus(err)
	}
}
