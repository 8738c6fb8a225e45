package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"time"

	"rowancart/internal/config"
	"rowancart/internal/logkey"
	"rowancart/internal/proxy"
	"rowancart/internal/snapshot"
)

const (
	snapshotCheckInterval = time.Second     // between two checks whether a snapshot is due
	finalSnapshotTimeout  = 2 * time.Second // a disk that hangs must not keep the process from ending
)

// daemonSnapshot is the content of the snapshot file. Owner is the instance that wrote it: a file
// copied from another machine or instance describes endpoints as that one saw them. A file written
// before owners were recorded has none, and is restored.
type daemonSnapshot struct {
	Owner string                   `json:"Owner,omitempty"`
	Pools map[string]*poolSnapshot `json:"Pools"`
}

// poolSnapshot is the part of a snapshot that is about one pool.
type poolSnapshot struct {
	Learned   proxy.Snapshot   `json:"Memory"`
	Endpoints []proxy.Endpoint `json:"Roster"` // all of the source, of this instance's subset or not
}

// restoredSnapshot is what a process has read of the snapshot of the one before it. The zero value
// is none.
type restoredSnapshot struct {
	pools map[string]*poolSnapshot // by name
	age   time.Duration
}

// pool returns what is restored of one pool.
func (s restoredSnapshot) pool(name string) restoredPool {
	return restoredPool{snapshot: s.pools[name], age: s.age}
}

// restoredPool is what is restored of one pool.
type restoredPool struct {
	snapshot *poolSnapshot // nil: nothing
	age      time.Duration
}

// ownerError is the error of a snapshot that another instance has written.
type ownerError struct {
	path  string
	owner string
	self  string
}

// Error implements error.
func (e *ownerError) Error() string {
	return fmt.Sprintf("snapshot %s: it is %s's, and this is %s", e.path, e.owner, e.self)
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

// restoreSnapshot reads the snapshot of the process before this one. The log has one line about it,
// also if it cannot be used.
func restoreSnapshot(c *config.Config, log *slog.Logger) restoredSnapshot {
	path := c.Snapshot.Path
	if path == "" {
		return restoredSnapshot{}
	}
	var stored daemonSnapshot
	age, err := snapshot.Read(path, time.Now(), c.Snapshot.MaxAge, &stored)
	if self := snapshotOwner(c.Fleet); err == nil && stored.Owner != "" && stored.Owner != self {
		err = &ownerError{path: path, owner: stored.Owner, self: self}
	}
	switch {
	case errors.Is(err, snapshot.ErrNotFound): // a first start, or a file that was lost
		log.Info("snapshot not restored", logkey.Err, err)
	case err != nil:
		log.Warn("snapshot not restored", logkey.Err, err)
	default:
		log.Info("snapshot restored", logkey.Path, path, logkey.Age, age, "pools", len(stored.Pools))
		return restoredSnapshot{pools: stored.Pools, age: age}
	}
	return restoredSnapshot{}
}

// saveMode says when a snapshot is written, and whether the file stays locked afterwards.
type saveMode int

const (
	savePeriodic     saveMode = iota // if one is due; the file stays locked
	saveForSuccessor                 // at once; the file stays locked
	saveFinal                        // at once; the file is unlocked
)

// snapshotWriter writes snapshots to a file that it holds a lock on. It is safe for concurrent use.
type snapshotWriter struct {
	log *slog.Logger

	mu      sync.Mutex // guards the fields below
	path    string     // that lock is for
	lock    io.Closer  // nil: not locked
	savedAt time.Time
	failing bool // the latest attempt failed, and that was logged
}

// save writes a snapshot of the current generation. While another process holds the file's lock, a
// predecessor that still drains, the file is left to that process. A failure is retried at the next
// call, and logged once.
func (w *snapshotWriter) save(mode saveMode, current func() *generation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := current()
	c := g.config.Snapshot
	if w.path != c.Path {
		w.unlock()
		w.path = c.Path
	}
	isDue := mode != savePeriodic || time.Since(w.savedAt) >= c.Interval
	if c.Path == "" || !isDue {
		return
	}
	w.logResult(w.write(g))
	w.savedAt = time.Now()
	if mode == saveFinal {
		w.unlock()
	}
}

// write locks the file, unless it is locked, and replaces it. The caller must hold w.mu.
func (w *snapshotWriter) write(g *generation) (err error) {
	if w.lock == nil {
		if w.lock, err = snapshot.Lock(w.path); err != nil {
			return err
		}
	}
	return snapshot.Write(w.path, time.Now(), g.snapshot())
}

// logResult logs the first of a series of failures, and the success that ends it. The caller must
// hold w.mu.
func (w *snapshotWriter) logResult(err error) {
	switch {
	case err != nil && !w.failing:
		w.failing = true
		w.log.Warn("snapshot not saved", logkey.Err, err)
	case err == nil && w.failing:
		w.failing = false
		w.log.Info("snapshot saved again", logkey.Path, w.path)
	}
}

// unlock unlocks the file if it is locked. The caller must hold w.mu.
func (w *snapshotWriter) unlock() {
	if w.lock != nil {
		w.lock.Close()
		w.lock = nil
	}
}

// saveSnapshots writes snapshots at the configured interval until ctx ends.
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
		d.log.Warn("final snapshot timed out", logkey.Timeout, finalSnapshotTimeout)
	}
}

// saveSnapshot writes a snapshot of the generation in force.
func (d *Daemon) saveSnapshot(mode saveMode) {
	d.snapshots.save(mode, d.currentGeneration)
}

// snapshot returns a snapshot of the generation's pools.
func (g *generation) snapshot() daemonSnapshot {
	s := daemonSnapshot{Owner: snapshotOwner(g.config.Fleet), Pools: map[string]*poolSnapshot{}}
	for name, p := range g.pools {
		s.Pools[name] = p.snapshot()
	}
	return s
}

// snapshot returns a snapshot of the pool.
func (p *pool) snapshot() *poolSnapshot {
	endpoints := p.filter.endpoints()
	return &poolSnapshot{Learned: p.proxy.Snapshot(), Endpoints: endpoints}
}
