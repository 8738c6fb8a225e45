package sidecar

import (
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"time"

	"rowancart/internal/discovery/watch"
	"rowancart/internal/logkey"
	"rowancart/internal/proxy"
	"rowancart/internal/snapshot"
)

// endpointListFile is the file that holds the newest endpoint list that any process of the sidecar
// has had. Each process stores its list there when it changes, and takes over a newer one of
// another process. It is not safe for concurrent use.
type endpointListFile struct {
	path      string
	pool      *proxy.Pool
	discovery *watch.Client
	log       *slog.Logger

	seen   fs.FileInfo    // of the file when it was last read or written; nil: there was none
	stored watch.Position // of the list in the file; unknown if there is none
}

// removeLeftovers removes incomplete files of processes that were killed while they wrote.
func (f *endpointListFile) removeLeftovers() {
	if err := snapshot.RemoveLeftovers(f.path); err != nil {
		f.log.Warn("incomplete endpoint lists not removed", logkey.Err, err)
	}
}

// sync takes over a newer list of another process, and stores the list in force if it is newer than
// the stored one. If it returns an error, the next call retries.
func (f *endpointListFile) sync() error {
	if err := f.takeOver(); err != nil {
		return err
	}
	return f.store()
}

// takeOver reads the file if it has changed, and puts its list in force if that is newer than the
// one in force. A damaged file counts as missing.
func (f *endpointListFile) takeOver() error {
	info, err := os.Stat(f.path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		f.seen, f.stored = nil, watch.UnknownOrigin().Position
		return nil
	case err != nil:
		return err
	case f.seen != nil && os.SameFile(f.seen, info) && f.seen.ModTime().Equal(info.ModTime()):
		return nil
	}
	list := knownList{Origin: watch.UnknownOrigin()}
	_, err = snapshot.ReadAnyAge(f.path, &list)
	switch {
	case errors.Is(err, snapshot.ErrCorrupt), errors.Is(err, snapshot.ErrVersion): // replaced by the list in force
		f.log.Warn("stored endpoint list not used", logkey.Err, err)
		list = knownList{Origin: watch.UnknownOrigin()}
	case err != nil:
		return err
	}
	f.seen, f.stored = info, list.Position
	update := proxy.EndpointList{Complete: true, Endpoints: list.Endpoints}
	if list.IsKnown() && f.discovery.Adopt(list.Origin, func() { f.pool.UpdateEndpoints(update) }) {
		f.log.Info("newer endpoint list of another process in force", logkey.Version, list.Version, logkey.List, update)
	}
	return nil
}

// store stores the list in force if its version is known and newer than the stored one.
func (f *endpointListFile) store() error {
	var list knownList
	f.discovery.WithOrigin(func(origin watch.Origin) {
		list.Origin = origin
		if f.isDue(origin) {
			list.Endpoints = f.pool.ListedEndpoints()
		}
	})
	if !f.isDue(list.Origin) {
		return nil
	}
	if err := snapshot.WriteNoSync(f.path, time.Now(), list); err != nil {
		return err
	}
	f.stored = list.Position
	f.seen, _ = os.Stat(f.path) // if it fails, the file is read at the next sync
	return nil
}

// isDue reports whether a list of this origin has to be stored.
func (f *endpointListFile) isDue(origin watch.Origin) bool {
	return origin.IsKnown() && origin.Compare(f.stored) > 0
}
