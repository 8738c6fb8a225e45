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
	peerCheckInterval       = 100 * time.Millisecond // for other processes, and for bans said to them
	snapshotInterval        = time.Second            // between two snapshots of what was learned
	snapshotMaxAge          = time.Minute            // after which it tells nothing any more
	sharedDirWarnInterval   = 10 * time.Second       // between two log lines about the folder
	recentUseWindow         = 300 * time.Millisecond // connections used within this are likely to be used again at once
	heapLimitFraction       = 0.7                    // of the memory limit that the heap may take before the collector works harder
	bodyMemoryDivisor       = 8                      // part of the memory limit in which long bodies are kept
	minConns                = 8
	mebibyte                = 1 << 20
	processesDuringHandover = 2 // processes that share the limits while one takes over from another
)

// handover is this process's part in the change from one process of the sidecar to the next.
type handover struct {
	limits     Limits
	sharedDir  *hotrestart.SharedDir // nil: there is nobody to share with
	presence   *hotrestart.Presence
	pool       *proxy.Pool
	server     *httpserver.Server
	listener   *httpserver.Listener
	operations *operations
	log        *slog.Logger

	mu                sync.Mutex
	ending            bool // SIGTERM has come
	peerRunning       bool // another process lives
	superseded        bool // and serves in place of this one
	snapshotWrittenAt time.Time
	warnedAt          time.Time
}

// maxConns is how many connections there may be on either side.
func (l Limits) maxConns(processes int) int {
	return max((l.Sockets-reservedDescriptors)/2/processes, minConns)
}

// applyLimits makes this process take its part of the limits.
func (h *handover) applyLimits(processes int) {
	debug.SetMemoryLimit(int64(heapLimitFraction * float64(h.limits.MemoryMB) * mebibyte / float64(processes)))
	h.pool.SetMaxConns(h.limits.maxConns(processes))
	h.listener.SetMaxConns(h.limits.maxConns(processes))
	h.server.SetBodyMemory(h.limits.MemoryMB * mebibyte / bodyMemoryDivisor / processes)
	if processes > 1 {
		debug.FreeOSMemory()
	}
}

// join shows this process to others and takes up the bans that stand. What fails there fails no start: it is told.
func (h *handover) join(temp, name string) {
	h.applyLimits(1)
	if temp == "" {
		return
	}
	folder, err := hotrestart.OpenSharedDir(temp, name)
	if err != nil {
		h.log.Warn("nothing is shared with a successor", "err", err)
		return
	}
	presence, err := folder.Register(time.Now())
	if err != nil {
		h.log.Warn("nothing is shared with a successor", "err", err)
		return
	}
	h.sharedDir, h.presence, h.operations.sharedDir = folder, presence, folder
	h.checkPeers()
}

// checkPeers takes up what has changed since the latest look.
func (h *handover) checkPeers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	others, err := h.presence.Peers()
	if err = errors.Join(err, h.operations.applySharedBans()); err != nil {
		if time.Since(h.warnedAt) > sharedDirWarnInterval {
			h.warnedAt = time.Now()
			h.log.Warn("what other processes share can't be read: all stays as it is", "err", err)
		}
		return
	}
	if others.Alive != h.peerRunning {
		h.peerRunning = others.Alive
		h.log.Info("processes of this sidecar", "another", h.peerRunning)
		if h.peerRunning {
			h.applyLimits(processesDuringHandover)
		} else {
			h.applyLimits(1)
		}
	}
	if others.Successor != h.superseded && !h.ending {
		h.superseded = others.Successor
		h.log.Info("a successor serves", "is_so", h.superseded)
		if h.superseded {
			h.listener.Pause()
			h.server.StartDraining()
		} else { // it has died: this process is the one that serves
			h.listener.Resume()
			h.server.StopDraining()
		}
	}
}

// beginShutdown tells that this process is to end, and whether a successor takes the connections that come.
func (h *handover) beginShutdown() (succeeded bool) {
	if h.presence != nil {
		h.checkPeers() // it may have said so just now
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ending = true
	return h.superseded
}

// hasPeer tells whether another process of the sidecar lives.
func (h *handover) hasPeer() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peerRunning
}

// restoreSnapshot takes up what the process before this one had learned. The list has to be there already.
func (h *handover) restoreSnapshot() {
	if h.sharedDir == nil {
		return
	}
	var m proxy.Snapshot
	ago, err := snapshot.Read(h.sharedDir.SnapshotPath(), time.Now(), snapshotMaxAge, &m)
	switch {
	case errors.Is(err, snapshot.ErrNotFound):
	case err != nil:
		h.log.Warn("starting without what was learned", "err", err)
	default:
		h.pool.Restore(m, ago)
		h.log.Info("starting with what was learned", "ago", ago, "endpoints", len(m.Learned.Endpoints))
	}
}

// markServing shows that this process serves.
func (h *handover) markServing() {
	if h.presence == nil {
		return
	}
	if err := h.presence.MarkServing(); err != nil {
		h.log.Warn("a predecessor is not told that this process serves", "err", err)
	}
}

// run looks round and keeps what is learned, until ctx ends.
func (h *handover) run(ctx context.Context) {
	if h.presence == nil {
		return
	}
	defer h.presence.Unregister()
	tick := time.NewTicker(peerCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		h.checkPeers()
		if err := h.writeSnapshotIfDue(); err != nil {
			h.log.Warn("what was learned is not kept", "err", err)
		}
	}
}

// writeSnapshotIfDue writes a snapshot if one is due. Once a successor serves, what is learned is its own matter.
func (h *handover) writeSnapshotIfDue() error {
	h.mu.Lock()
	due := !h.superseded && time.Since(h.snapshotWrittenAt) >= snapshotInterval
	if due {
		h.snapshotWrittenAt = time.Now()
	}
	h.mu.Unlock()
	if !due || !h.operations.readiness.accepting.Load() {
		return nil
	}
	if err := snapshot.WriteNoSync(h.sharedDir.SnapshotPath(), time.Now(), h.pool.Snapshot()); err != nil {
		return fmt.Errorf("shift: %w", err)
	}
	return nil
}
