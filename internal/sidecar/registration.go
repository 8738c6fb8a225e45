package sidecar

import (
	"errors"
	"io/fs"
	"time"

	"rowancart/internal/hotrestart"
)

// registration is the entry of this process among the processes of its sidecar. It is not safe for
// concurrent use.
type registration struct {
	sharedDir     *hotrestart.SharedDir
	presence      *hotrestart.Presence // nil: this process is not registered yet
	serving       bool                 // this process serves
	markedServing bool                 // its presence says so
}

// update registers this process, and marks it as serving once it serves, unless that has been done
// before. After an error the next call retries.
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

// markServing marks this process as serving. If its file was removed by something else, the next
// update registers this process anew.
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

// unregister removes this process from those that are running.
func (r *registration) unregister() {
	if r.presence != nil {
		r.presence.Unregister()
	}
}
