package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"rowancart/internal/config"
	"rowancart/internal/proxy"
	"rowancart/internal/snapshot"
)

const (
	snapshotCheckInterval = time.Second     // how often the daemon checks whether a snapshot is due
	finalSnapshotTimeout  = 2 * time.Second // a disk that hangs must not keep the process from ending
)

// daemonSnapshot is what the snapshot file holds. Owner is the instance that wrote it: a file
// copied from another machine or instance describes endpoints as others saw them. A file written
// before owners were recorded has none, and is used.
type daemonSnapshot struct {
	Owner string                   `json:"Owner,omitempty"`
	Pools map[string]*poolSnapshot `json:"Pools"`
}

// poolSnapshot is what the snapshot file holds of a pool.
type poolSnapshot struct {
	Learned   proxy.Snapshot   `json:"Memory"`
	Endpoints []proxy.Endpoint `json:"Roster"` // all of the source, of this instance's subset or not
}

// snapshotOwner names the instance that a configuration makes of this process on this machine. The
// fleet's size is no part of the name: an instance of a fleet that grows stays the same.
func snapshotOwner(f config.Fleet) string {
	host, _ := os.Hostname()
	if f.Name != "" {
		return fmt.Sprintf("%s/%s", host, f.Name)
	}
	return fmt.Sprintf("%s/index-%d", host, f.Index)
}

// readSnapshot loads the learned state of the process before this one. A file that cannot be used
// is logged in one line.
func (d *Daemon) readSnapshot(c config.Snapshot, f config.Fleet) {
	if c.Path == "" {
		return
	}
	var s daemonSnapshot
	age, err := snapshot.Read(c.Path, time.Now(), c.MaxAge, &s)
	if self := snapshotOwner(f); err == nil && s.Owner != "" && s.Owner != self {
		err = fmt.Errorf("snapshot %s: it is %s's, and this is %s", c.Path, s.Owner, self)
	}
	switch {
	case errors.Is(err, snapshot.ErrNotFound): // a first start, or a file that was lost
		d.log.Info("starting without what was learned", "err", err)
	case err != nil:
		d.log.Warn("starting without what was learned", "err", err)
	default:
		d.restored, d.restoredAge = s.Pools, age
		d.log.Info("starting with what was learned", "path", c.Path, "ago", age, "pools", len(s.Pools))
	}
}

// saveMode says when a snapshot is written, and whether the file's lock is held afterwards.
type saveMode int

const (
	savePeriodic     saveMode = iota // if one is due; keeps the lock
	saveForSuccessor                 // at once; keeps the lock
	saveFinal                        // at once; releases the lock
)

// snapshotWriter writes snapshots to a file that it holds a lock on.
type snapshotWriter struct {
	mu      sync.Mutex
	path    string    // that lock is for
	lock    io.Closer // nil: not held
	savedAt time.Time
	failing bool // the latest attempt failed, and that was logged
}

// saveSnapshots writes snapshots as the configuration says until ctx ends.
func (d *Daemon) saveSnapshots(ctx context.Context) {
	ticker := time.NewTicker(snapshotCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.saveSnapshot(savePeriodic)
		}
	}
}

// saveFinalSnapshot writes the last snapshot, once saveSnapshots has ended. It gives up after
// finalSnapshotTimeout.
func (d *Daemon) saveFinalSnapshot(saverDone <-chan struct{}) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-saverDone
		d.saveSnapshot(saveFinal)
	}()
	select {
	case <-done:
	case <-time.After(finalSnapshotTimeout):
		d.log.Warn("the final snapshot is not saved: the disk does not answer")
	}
}

// saveSnapshot writes a snapshot. While another process holds the file's lock, a predecessor that
// still drains, the file is left to that process. A failure is retried at the next call, and logged
// once.
func (d *Daemon) saveSnapshot(mode saveMode) {
	w := &d.snapshots
	w.mu.Lock()
	defer w.mu.Unlock()
	d.mu.RLock()
	c, pools, fleet := d.current.config.Snapshot, d.current.pools, d.current.config.Fleet
	d.mu.RUnlock()
	if w.path != c.Path {
		w.releaseLock()
		w.path = c.Path
	}
	if c.Path == "" || mode == savePeriodic && time.Since(w.savedAt) < c.Interval {
		return
	}
	err := w.write(snapshotOwner(fleet), pools)
	w.savedAt = time.Now()
	switch {
	case err != nil && !w.failing:
		w.failing = true
		d.log.Warn("the snapshot cannot be saved", "err", err)
	case err == nil && w.failing:
		w.failing = false
		d.log.Info("the snapshot is saved again", "path", c.Path)
	}
	if mode == saveFinal {
		w.releaseLock()
	}
}

// write acquires the lock if it is not held, and replaces the file. The caller must hold w.mu.
func (w *snapshotWriter) write(owner string, pools map[string]*pool) (err error) {
	if w.lock == nil {
		if w.lock, err = snapshot.Lock(w.path); err != nil {
			return err
		}
	}
	s := daemonSnapshot{Owner: owner, Pools: map[string]*poolSnapshot{}}
	for name, p := range pools {
		endpoints := p.endpoints()
		s.Pools[name] = &poolSnapshot{Learned: p.proxy.Snapshot(), Endpoints: endpoints}
	}
	return snapshot.Write(w.path, time.Now(), s)
}

// releaseLock releases the file's lock if it is held. The caller must hold w.mu.
func (w *snapshotWriter) releaseLock() {
	if w.lock != nil {
		w.lock.Close()
		w.lock = nil
	}
}
