package sidecar

import (
	"errors"
	"io/fs"
	"time"

	"rowancart/internal/hotrestart"
)

// registration manages this process's entry among the running processes in the shared directory. It
// is not safe for concurrent use.
type registration struct {
	sharedDir     *hotrestart.SharedDir
	presence      *hotrestart.Presence // nil: this process is not registered yet
	serving       bool                 // this process serves requests
	markedServing bool                 // presence has been marked as serving
}

// update registers this process, and marks it as serving once it serves, unless both have been done
// already. If it returns an error, the next call retries.
func (r *registration) update() error {
	if r.presence == nil {
		if err := r.register(); err != nil {
			return err
		}
	}
	if r.serving && !r.markedServing {
		return r.markServing()
	}
	return nil
}

// register registers this process in the shared directory.
func (r *registration) register() error {
	if err := r.sharedDir.Create(); err != nil {
		return err
	}
	presence, err := r.sharedDir.Register(time.Now())
	if err != nil {
		return err
	}
	r.presence = presence
	return nil
}

// markServing marks this process as serving. If the file of its presence has been removed by
// something else, the next update registers this process again.
func (r *registration) markServing() error {
	err := r.presence.MarkServing()
	if errors.Is(err, fs.ErrNotExist) {
		r.unregister()
		r.presence = nil
	}
	if err != nil {
		return err
	}
	r.markedServing = true
	return nil
}

// unregister removes this process's entry, if it is registered.
func (r *registration) unregister() {
	if r.presence != nil {
		r.presence.Unregister()
	}
}
