package sidecar

import (
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"rowancart/internal/logkey"
	"rowancart/internal/proxy"
	"rowancart/internal/snapshot"
)

const (
	snapshotInterval = time.Second // between two snapshots
	snapshotMaxAge   = time.Minute // an older snapshot is not restored
)

// snapshotStore stores snapshots of the pool's learned state in a file, from which a successor
// restores them.
type snapshotStore struct {
	path string
	pool *proxy.Pool
	log  *slog.Logger

	lastDue time.Time   // used only by the goroutine that writes snapshots
	failed  atomic.Bool // whether the last write failed
}

// restore restores the learned state of the predecessor, if there is a snapshot. The endpoint list
// must have been received, since state of endpoints that are not listed is dropped. If the snapshot
// can't be read, the error is logged, and this process starts without the learned state.
func (s *snapshotStore) restore() {
	var state proxy.Snapshot
	age, err := snapshot.Read(s.path, time.Now(), snapshotMaxAge, &state)
	switch {
	case errors.Is(err, snapshot.ErrNotFound):
	case err != nil:
		s.log.Warn("snapshot not restored", logkey.Err, err)
	default:
		s.pool.Restore(state, age)
		list := proxy.EndpointList{Complete: true, Endpoints: state.Endpoints}
		s.log.Info("snapshot restored", logkey.Age, age, logkey.Endpoints, len(state.Learned.Endpoints), logkey.List, list)
	}
}

// removeLeftovers removes incomplete snapshots, which remain when a write fails or its process is
// killed. If the removal fails, the next process retries it.
func (s *snapshotStore) removeLeftovers() {
	if err := snapshot.RemoveLeftovers(s.path); err != nil {
		s.log.Warn("incomplete snapshots not removed", logkey.Err, err)
	}
}

// isDue reports whether a snapshot is due. If so, it starts the interval until the next one.
func (s *snapshotStore) isDue() bool {
	if time.Since(s.lastDue) < snapshotInterval {
		return false
	}
	s.lastDue = time.Now()
	return true
}

// write replaces the snapshot. It does not sync the file to disk, because the snapshot only has to
// survive this process, not a crash of the machine.
func (s *snapshotStore) write() error {
	err := snapshot.WriteNoSync(s.path, time.Now(), s.pool.Snapshot())
	if hadFailed := s.failed.Swap(err != nil); hadFailed && err == nil {
		s.removeLeftovers() // the directory works again
	}
	return err
}
