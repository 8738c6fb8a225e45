package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"rowancart/internal/config"
	"rowancart/internal/logkey"
	"rowancart/internal/proxy"
	"rowancart/internal/snapshot"
)

const (
	snapshotCheckInterval = time.Second     // how often to check whether a snapshot is due
	finalSnapshotTimeout  = 2 * time.Second // so that an unresponsive disk does not keep the process from ending
)

// daemonSnapshot is the content of the snapshot file. Owner is the instance that wrote it. A file
// that was copied from another machine or instance is not restored, since it describes the
// endpoints from that instance's point of view. A file from before owners were recorded has no
// owner and is restored.
type daemonSnapshot struct {
	Owner string                   `json:"Owner,omitempty"`
	Pools map[string]*poolSnapshot `json:"Pools"`
}

// poolSnapshot is the part of a snapshot that describes one pool.
type poolSnapshot struct {
	Learned   proxy.Snapshot   `json:"Memory"`
	Endpoints []proxy.Endpoint `json:"Roster"` // all of the source, including those outside this instance's subset
}

// restoredSnapshot is the snapshot that a process restored from the previous process. The zero
// value means that there is none.
type restoredSnapshot struct {
	pools map[string]*poolSnapshot // by name
	age   time.Duration
}

// pool returns the restored snapshot of one pool.
func (s restoredSnapshot) pool(name string) restoredPool {
	return restoredPool{snapshot: s.pools[name], age: s.age}
}

// restoredPool is the restored snapshot of one pool.
type restoredPool struct {
	snapshot *poolSnapshot // nil if there is none
	age      time.Duration
}

// ownerError is the error for a snapshot that another instance has written.
type ownerError struct {
	path  string
	owner string
	self  string
}

// Error implements error.
func (e *ownerError) Error() string {
	return fmt.Sprintf("snapshot %s: it is %s's, and this is %s", e.path, e.owner, e.self)
}

// snapshotOwner returns the name of this instance: the host name and the configured instance name
// or index. The size of the fleet is not part of it, so that an instance can restore its snapshot
// after the fleet has grown.
func snapshotOwner(f config.Fleet) string {
	host, _ := os.Hostname()
	if f.Name != "" {
		return fmt.Sprintf("%s/%s", host, f.Name)
	}
	return fmt.Sprintf("%s/index-%d", host, f.Index)
}

// restoreState returns the state of the predecessor, if there is one, or else that of the snapshot.
func (d *Daemon) restoreState(c *config.Config) restoredSnapshot {
	if d.inherited != nil {
		restored, err := d.restoreInherited(d.inherited)
		if err == nil {
			return restored
		}
		d.log.Warn("state of the predecessor not restored", logkey.Err, err)
	}
	return restoreSnapshot(c, d.log)
}

// restoreSnapshot reads the snapshot of the previous process. If a path is configured, it
// logs one line, whether or not the snapshot can be restored.
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
	case errors.Is(err, snapshot.ErrNotFound): // the first start, or the file was lost
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
	savePeriodic     saveMode = iota // only if a snapshot is due; the file stays locked
	saveForSuccessor                 // immediately; the file stays locked
	saveFinal                        // immediately; the file is unlocked
)

// snapshotWriter writes snapshots to a file, which it keeps locked. It is safe for concurrent use.
type snapshotWriter struct {
	log         *slog.Logger
	listChanges atomic.Int64 // number of updates of endpoint lists, of all pools

	mu      sync.Mutex // guards the fields below
	path    string     // of the file that lock is for
	lock    io.Closer  // nil if the file is not locked
	savedAt time.Time
	saved   int64 // value of listChanges at the latest attempt to write
	failing bool  // the latest write failed, and the failure was logged
}

// save writes a snapshot of the current generation; in mode savePeriodic, only if one is due: at
// the configured interval, and after a change of an endpoint list. While another process, such as a
// predecessor that is still draining, holds the file's lock, the file is left to that process, and
// the write counts as failed. A failed write is retried when the next snapshot is due. Of
// consecutive failures, only the first is logged.
func (w *snapshotWriter) save(mode saveMode, current func() *generation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := current()
	c := g.config.Snapshot
	if w.path != c.Path {
		w.unlock()
		w.path = c.Path
	}
	changes := w.listChanges.Load()
	isDue := mode != savePeriodic || changes != w.saved || time.Since(w.savedAt) >= c.Interval
	if c.Path == "" || !isDue {
		return
	}
	w.logResult(w.write(g))
	w.savedAt = time.Now()
	w.saved = changes
	if mode == saveFinal {
		w.unlock()
	}
}

// write locks the file, if it is not locked yet, and replaces it. The caller must hold w.mu.
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

// saveFinalSnapshot writes the last snapshot once saverDone is closed, which means that
// saveSnapshots has returned. It stops waiting after finalSnapshotTimeout.
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
