package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"rowancart/internal/logkey"
	"rowancart/internal/proxy"
	"rowancart/internal/snapshot"
)

const (
	// handoverStateFile is the name under which a successor inherits the state of the pools. Processes
	// of different versions use it, so it must not change.
	handoverStateFile = "pools"
	// handoverStateInterval is the time between two looks for a newer endpoint list, which the
	// predecessor writes and the successor reads.
	handoverStateInterval = 100 * time.Millisecond
)

// handoverState is a file in memory that a successor inherits. Its predecessor writes a snapshot of
// the pools to it when the handover begins and whenever an endpoint list changes, for as long as it
// runs.
type handoverState struct {
	file *os.File
	stop context.CancelFunc // of the predecessor's process: ends the writes; nil in the successor
}

// newHandoverState returns an empty file.
func newHandoverState() (*handoverState, error) {
	fd, err := unix.MemfdCreate(handoverStateFile, unix.MFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("handover state: memfd_create: %w", err)
	}
	return &handoverState{file: os.NewFile(uintptr(fd), handoverStateFile)}, nil
}

// inheritHandoverState returns the predecessor's file, or nil if there is none.
func (h *handover) inheritHandoverState() *handoverState {
	if file := h.inheritFile(handoverStateFile); file != nil {
		return &handoverState{file: file}
	}
	return nil
}

// write replaces the content. A read at the same time fails, since the checksum does not match.
func (s *handoverState) write(now time.Time, state daemonSnapshot) error {
	text, err := snapshot.Encode(now, state)
	if err != nil {
		return err
	}
	if _, err := s.file.WriteAt(text, 0); err != nil {
		return err
	}
	return s.file.Truncate(int64(len(text)))
}

// read returns the content, and when it was written.
func (s *handoverState) read() (state daemonSnapshot, writtenAt time.Time, err error) {
	info, err := s.file.Stat()
	if err != nil {
		return state, writtenAt, err
	}
	text := make([]byte, info.Size())
	if _, err := s.file.ReadAt(text, 0); err != nil {
		return state, writtenAt, err
	}
	writtenAt, err = snapshot.Decode(text, &state)
	return state, writtenAt, err
}

// shareState returns the state for a successor, and keeps it current until it is stopped or this
// process ends. It returns nil if there can be none; the successor then has only the snapshot, if
// one is configured.
func (d *Daemon) shareState() *handoverState {
	state, err := newHandoverState()
	changes := d.snapshots.listChanges.Load()
	if err == nil {
		err = state.write(time.Now(), d.currentGeneration().snapshot())
	}
	if err != nil {
		d.log.Warn("state not passed to the successor", logkey.Err, err)
		return nil
	}
	var ctx context.Context
	ctx, state.stop = context.WithCancel(d.servingContext())
	d.tasks.Go(func() error {
		defer state.file.Close()
		defer state.stop()
		d.keepStateCurrent(ctx, state, changes)
		return nil
	})
	return state
}

// keepStateCurrent writes the state again after each change of an endpoint list, until ctx ends.
// written is the number of changes that it contains.
func (d *Daemon) keepStateCurrent(ctx context.Context, state *handoverState, written int64) {
	tick := time.NewTicker(handoverStateInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		changes := d.snapshots.listChanges.Load()
		if changes == written {
			continue
		}
		if err := state.write(time.Now(), d.currentGeneration().snapshot()); err == nil {
			written = changes
		}
	}
}

// followState applies the endpoint lists of the predecessor to the pools whose source has not sent
// one yet, whenever they change. It returns once all sources have sent a list, or when ctx ends.
func (d *Daemon) followState(ctx context.Context, state *handoverState) {
	defer state.file.Close()
	tick := time.NewTicker(handoverStateInterval)
	defer tick.Stop()
	var applied time.Time // when the state that was applied last was written
	for d.awaitsList() {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		stored, writtenAt, err := state.read()
		if err != nil || writtenAt.Equal(applied) { // an incomplete state is read again
			continue
		}
		applied = writtenAt
		for _, p := range d.currentGeneration().discoveredPools() {
			if earlier := stored.Pools[p.name]; earlier != nil {
				p.adoptEndpoints(earlier.Endpoints)
			}
		}
	}
}

// awaitsList reports whether the source of a pool has not sent a list yet.
func (d *Daemon) awaitsList() bool {
	awaits := func(p *pool) bool { return !p.filter.hasList() }
	return slices.ContainsFunc(d.currentGeneration().discoveredPools(), awaits)
}

// discoveredPools returns the pools whose endpoint list is not a part of the configuration.
func (g *generation) discoveredPools() (pools []*pool) {
	for _, c := range g.config.Pools {
		if c.Source.File != "" || c.Source.Platform != "" {
			pools = append(pools, g.pools[c.Name])
		}
	}
	return pools
}

// adoptEndpoints replaces the endpoint list by that of the predecessor's pool, unless the source
// has sent one.
func (p *pool) adoptEndpoints(endpoints []proxy.Endpoint) {
	list := proxy.EndpointList{Complete: true, Endpoints: endpoints}
	p.filter.updateUnlessListed(list, p.proxy.UpdateEndpoints)
}

// restoreInherited returns the state of the predecessor, which was running until now.
func (d *Daemon) restoreInherited(state *handoverState) (restoredSnapshot, error) {
	stored, writtenAt, err := state.read()
	if err != nil {
		return restoredSnapshot{}, err
	}
	if stored.Pools == nil {
		return restoredSnapshot{}, errors.New("no pools")
	}
	age := max(time.Since(writtenAt), 0)
	d.log.Info("state of the predecessor restored", logkey.Age, age, "pools", len(stored.Pools))
	return restoredSnapshot{pools: stored.Pools, age: age}, nil
}
