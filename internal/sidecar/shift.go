package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"rowancart/internal/hotrestart"
	"rowancart/internal/httpserver"
	"rowancart/internal/proxy"
	"rowancart/internal/snapshot"
)

const (
	lookEvery    = 100 * time.Millisecond // for other processes, and for bans said to them
	keepEvery    = time.Second            // between two snapshots of what was learned
	learnedFor   = time.Minute            // after which it tells nothing any more
	complainGap  = 10 * time.Second       // between two log lines about the folder
	lately       = 300 * time.Millisecond // connections used within this are likely to be used again at once
	heapShare    = 0.7                    // of the memory limit that the heap may take before the collector works harder
	bodyShare    = 8                      // part of the memory limit in which long bodies are kept
	leastConns   = 8
	mebibyte     = 1 << 20
	otherProcess = 2 // processes that share the limits while one takes over from another
)

// shift is this process's part in the change from one process of the sidecar to the next.
type shift struct {
	limits   Limits
	folder   *hotrestart.SharedDir // nil: there is nobody to share with
	presence *hotrestart.Presence
	engine   *proxy.Pool
	callers  *httpserver.Server
	conns    *httpserver.Listener
	operator *operator
	log      *slog.Logger

	mu        sync.Mutex
	ending    bool // SIGTERM has come
	beside    bool // another process lives
	succeeded bool // and serves in place of this one
	keptAt    time.Time
	toldAt    time.Time
}

// conns is how many connections there may be on either side.
func (l Limits) conns(processes int) int {
	return max((l.Sockets-otherDescriptors)/2/processes, leastConns)
}

// take makes this process take its part of the limits.
func (s *shift) take(processes int) {
	debug.SetMemoryLimit(int64(heapShare * float64(s.limits.MemoryMB) * mebibyte / float64(processes)))
	s.engine.SetMaxConns(s.limits.conns(processes))
	s.conns.SetMaxConns(s.limits.conns(processes))
	s.callers.SetBodyMemory(s.limits.MemoryMB * mebibyte / bodyShare / processes)
	if processes > 1 {
		debug.FreeOSMemory()
	}
}

// enter shows this process to others and takes up the bans that stand. What fails there fails no start: it is told.
func (s *shift) enter(temp, name string) {
	s.take(1)
	if temp == "" {
		return
	}
	folder, err := hotrestart.OpenSharedDir(temp, name)
	if err != nil {
		s.log.Warn("nothing is shared with a successor", "err", err)
		return
	}
	presence, err := folder.Register(time.Now())
	if err != nil {
		s.log.Warn("nothing is shared with a successor", "err", err)
		return
	}
	s.folder, s.presence, s.operator.folder = folder, presence, folder
	s.look()
}

// look takes up what has changed since the latest look.
func (s *shift) look() {
	s.mu.Lock()
	defer s.mu.Unlock()
	others, err := s.presence.Peers()
	if err = errors.Join(err, s.operator.reconcile()); err != nil {
		if time.Since(s.toldAt) > complainGap {
			s.toldAt = time.Now()
			s.log.Warn("what other processes share can't be read: all stays as it is", "err", err)
		}
		return
	}
	if others.Alive != s.beside {
		s.beside = others.Alive
		s.log.Info("processes of this sidecar", "another", s.beside)
		if s.beside {
			s.take(otherProcess)
		} else {
			s.take(1)
		}
	}
	if others.Successor != s.succeeded && !s.ending {
		s.succeeded = others.Successor
		s.log.Info("a successor serves", "is_so", s.succeeded)
		if s.succeeded {
			s.conns.Pause()
			s.callers.StartDraining()
		} else { // it has died: this process is the one that serves
			s.conns.Resume()
			s.callers.StopDraining()
		}
	}
}

// end tells that this process is to end, and whether a successor takes the connections that come.
func (s *shift) end() (succeeded bool) {
	if s.presence != nil {
		s.look() // it may have said so just now
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = true
	return s.succeeded
}

// isBeside tells whether another process of the sidecar lives.
func (s *shift) isBeside() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.beside
}

// recall takes up what the process before this one had learned. The list has to be there already.
func (s *shift) recall() {
	if s.folder == nil {
		return
	}
	var m proxy.Snapshot
	ago, err := snapshot.Read(s.folder.SnapshotPath(), time.Now(), learnedFor, &m)
	switch {
	case errors.Is(err, snapshot.ErrNotFound):
	case err != nil:
		s.log.Warn("starting without what was learned", "err", err)
	default:
		s.engine.Restore(m, ago)
		s.log.Info("starting with what was learned", "ago", ago, "endpoints", len(m.Learned.Endpoints))
	}
}

// serve shows that this process serves.
func (s *shift) serve() {
	if s.presence == nil {
		return
	}
	if err := s.presence.MarkServing(); err != nil {
		s.log.Warn("a predecessor is not told that this process serves", "err", err)
	}
}

// run looks round and keeps what is learned, until ctx ends.
func (s *shift) run(ctx context.Context) {
	if s.presence == nil {
		return
	}
	defer s.presence.Unregister()
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s.look()
		if err := s.keep(); err != nil {
			s.log.Warn("what was learned is not kept", "err", err)
		}
	}
}

// keep writes a snapshot if one is due. Once a successor serves, what is learned is its own matter.
func (s *shift) keep() error {
	s.mu.Lock()
	due := !s.succeeded && time.Since(s.keptAt) >= keepEvery
	if due {
		s.keptAt = time.Now()
	}
	s.mu.Unlock()
	if !due || !s.operator.welcome.open.Load() {
		return nil
	}
	if err := snapshot.WriteNoSync(s.folder.SnapshotPath(), time.Now(), s.engine.Snapshot()); err != nil {
		return fmt.Errorf("shift: %w", err)
	}
	return nil
}
