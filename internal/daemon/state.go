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
	leastSave = time.Second     // how often it is looked whether a snapshot is due
	lastSave  = 2 * time.Second // for the one at the end: a disk that hangs must not hold the process
)

// poolState is what a snapshot holds of a pool.
type poolState struct {
	Memory proxy.Snapshot   `json:"Memory"`
	Roster []proxy.Endpoint `json:"Roster"` // all that the roster told of, this instance's part or not
}

// state is what a snapshot holds. Owner is whose it is: a file copied from another machine or instance speaks of
// endpoints as others saw them. One written before owners were kept has none, and is used.
type state struct {
	Owner string                `json:"Owner,omitempty"`
	Pools map[string]*poolState `json:"Pools"`
}

// owner names the instance that a configuration makes of this process on this machine. The fleet's size is not in it:
// an instance of a fleet that grows is still the one it was.
func owner(f config.Fleet) string {
	host, _ := os.Hostname()
	if f.Name != "" {
		return fmt.Sprintf("%s/%s", host, f.Name)
	}
	return fmt.Sprintf("%s/index-%d", host, f.Index)
}

// keeper writes snapshots.
type keeper struct {
	sync.Mutex
	path    string // that the lock is for
	lock    io.Closer
	savedAt time.Time
	failing bool // and that was told
}

// recall reads what the process before this one knew. What cannot be used is told in one line.
func (d *Daemon) recall(c config.State, f config.Fleet) {
	if c.Path == "" {
		return
	}
	var s state
	ago, err := snapshot.Read(c.Path, time.Now(), c.FreshFor, &s)
	if me := owner(f); err == nil && s.Owner != "" && s.Owner != me {
		err = fmt.Errorf("snapshot %s: it is %s's, and this is %s", c.Path, s.Owner, me)
	}
	switch {
	case errors.Is(err, snapshot.ErrNotFound): // a first start, or a file that was lost: both are told, once
		d.log.Info("starting without what was learned", "err", err)
	case err != nil:
		d.log.Warn("starting without what was learned", "err", err)
	default:
		d.old, d.oldAgo = s.Pools, ago
		d.log.Info("starting with what was learned", "path", c.Path, "ago", ago, "pools", len(s.Pools))
	}
}

// keep writes snapshots until ctx ends.
func (d *Daemon) keep(ctx context.Context) {
	tick := time.NewTicker(leastSave)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.save(false, false)
		}
	}
}

// keepLast writes the last snapshot, once keep has ended.
func (d *Daemon) keepLast(kept <-chan struct{}) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-kept
		d.save(true, false)
	}()
	select {
	case <-done:
	case <-time.After(lastSave):
		d.log.Warn("what was learned last is not kept: the disk does not answer")
	}
}

// save writes a snapshot if one is due, or else anyway, and keeps the file for itself unless it is the last. While another process holds the file it is left to that: a predecessor
// that is still at work. One that fails is tried again at the next turn, and told once.
func (d *Daemon) save(anyway, hold bool) {
	d.keeper.Lock()
	defer d.keeper.Unlock()
	d.mu.RLock()
	c, pools, f := d.now.conf.State, d.now.pools, d.now.conf.Fleet
	d.mu.RUnlock()
	k := &d.keeper
	if k.path != c.Path {
		k.release()
		k.path = c.Path
	}
	if c.Path == "" || !anyway && time.Since(k.savedAt) < c.Every {
		return
	}
	err := k.write(c.Path, owner(f), pools)
	k.savedAt = time.Now()
	switch {
	case err != nil && !k.failing:
		k.failing = true
		d.log.Warn("what was learned is not kept", "err", err)
	case err == nil && k.failing:
		k.failing = false
		d.log.Info("what was learned is kept again", "path", c.Path)
	}
	if anyway && !hold {
		k.release()
	}
}

func (k *keeper) write(path, owner string, pools map[string]*pool) (err error) {
	if k.lock == nil {
		if k.lock, err = snapshot.Lock(path); err != nil {
			return err
		}
	}
	s := state{Owner: owner, Pools: map[string]*poolState{}}
	for name, p := range pools {
		p.part.Lock()
		all := p.part.All()
		p.part.Unlock()
		s.Pools[name] = &poolState{Memory: p.engine.Snapshot(), Roster: all}
	}
	return snapshot.Write(path, time.Now(), s)
}

func (k *keeper) release() {
	if k.lock != nil {
		k.lock.Close()
		k.lock = nil
	}
}
