package sidecar

import (
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"rowancart/internal/proxy"
	"rowancart/internal/snapshot"
)

const (
	snapshotInterval = time.Second // between two snapshots of the learned state
	snapshotMaxAge   = time.Minute // a snapshot older than this is not restored
)

// snapshotStore carries the pool's learned state from one process of the sidecar to the next, in
// one file.
type snapshotStore struct {
	path string
	pool *proxy.Pool
	log  *slog.Logger

	lastDue time.Time   // only the goroutine that writes snapshots uses it
	failed  atomic.Bool // the latest write has failed
}

// restore loads what the predecessor of this process had learned, if anything. The endpoint list
// must have been received: state of endpoints that are not listed is dropped. An unreadable
// snapshot is logged and does not keep the process from starting.
func (s *snapshotStore) restore() {
	var state proxy.Snapshot
	age, err := snapshot.Read(s.path, time.Now(), snapshotMaxAge, &state)
	switch {
	case errors.Is(err, snapshot.ErrNotFound):
	case err != nil:
		s.log.Warn("starting without what was learned", "err", err)
	default:
		s.pool.Restore(state, age)
		s.log.Info("starting with what was learned", "ago", age, "endpoints", len(state.Learned.Endpoints))
	}
}

// removeLeftovers removes what a process that was killed has left half written. Where that fails,
// the next process tries again.
func (s *snapshotStore) removeLeftovers() {
	if err := snapshot.RemoveLeftovers(s.path); err != nil {
		s.log.Warn("cannot remove half-written snapshots", "err", err)
	}
}

// isDue reports whether a snapshot is due, and if so begins the interval to the next one.
func (s *snapshotStore) isDue() bool {
	if time.Since(s.lastDue) < snapshotInterval {
		return false
	}
	s.lastDue = time.Now()
	return true
}

// write replaces the snapshot. It does not wait for the disk: the file has to survive this process,
// not the machine.
func (s *snapshotStore) write() error {
	err := snapshot.WriteNoSync(s.path, time.Now(), s.pool.Snapshot())
	if hadFailed := s.failed.Swap(err != nil); hadFailed && err == nil {
		s.removeLeftovers() // the directory works again
	}
	return err
}
