// Package file is endpoint discovery by a file that others write: a JSON document with the complete
// list of endpoints,
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

// Follow passes the list in a file, and each later one, to onUpdate, until ctx ends. While the file
// can't be read or is invalid, the list before it stays in use.
//
// onStatus is called with the error of a file that can't be read, is invalid or can't be watched,
// and with nil for each valid one, before onUpdate. All calls come from the goroutine of Follow.
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
