package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"rowancart/internal/hotrestart"
	"rowancart/internal/httpserver"
)

const (
	// peerCheckInterval is the time between two checks for other processes, and for endpoints that
	// operators have disabled or enabled through them.
	peerCheckInterval = 100 * time.Millisecond
	// sharedDirWarnInterval is the least time between two warnings that the shared directory can't be
	// read.
	sharedDirWarnInterval = 10 * time.Second
)

// handoverPhase is where this process stands in the succession of processes of one sidecar.
//
//	active <-> superseded           at a peer check
//	active      -> endingActive     at SIGTERM
//	superseded  -> endingSuperseded at SIGTERM
//
// The ending phases are final: a shutdown goes on as it has begun, whatever happens to the
// successor.
type handoverPhase int

const (
	active           handoverPhase = iota // this process accepts connections
	superseded                            // a successor accepts them, and this process has paused
	endingActive                          // shutting down; no successor was serving at SIGTERM
	endingSuperseded                      // shutting down while a successor serves
)

// afterPeerCheck returns the phase that follows a check which has found that a successor serves, or
// that none does.
func (p handoverPhase) afterPeerCheck(successorServes bool) handoverPhase {
	switch {
	case p == active && successorServes:
		return superseded
	case p == superseded && !successorServes:
		return active
	}
	return p
}

// afterSIGTERM returns the phase that follows SIGTERM.
func (p handoverPhase) afterSIGTERM() handoverPhase {
	switch p {
	case active:
		return endingActive
	case superseded:
		return endingSuperseded
	}
	return p
}

// isSuperseded reports whether a successor accepts connections in place of this process.
func (p handoverPhase) isSuperseded() bool { return p == superseded || p == endingSuperseded }

// handover is this process's part in the change from one process of the sidecar to the next: it
// follows which other processes run, pauses accepting while a successor serves, halves the limits
// while two processes run, and hands the learned state on.
//
// Without a shared directory there are no other processes: presence and snapshots are nil.
type handover struct {
	limits     *limitEnforcer
	presence   *hotrestart.Presence
	snapshots  *snapshotStore
	server     *httpserver.Server
	listener   *httpserver.Listener
	operations *operations
	readiness  *readiness
	log        *slog.Logger

	mu          sync.Mutex // held during a whole peer check, which reads files; guards what follows
	phase       handoverPhase
	peerRunning bool      // another process of the sidecar runs, serving or not
	warnedAt    time.Time // when a failed check was last logged
}

// join registers this process with the others of the sidecar of that name, which share tempDir, and
// applies the limits and the bans that are in force. Errors are logged and do not keep the process
// from starting: it runs without a handover then. It must be called before any other method.
func (h *handover) join(tempDir, name string) {
	h.limits.apply(processesAlone)
	if tempDir == "" {
		return
	}
	sharedDir, presence, err := register(tempDir, name)
	if err != nil {
		h.log.Warn("nothing is shared with a successor", "err", err)
		return
	}
	h.presence = presence
	h.snapshots = &snapshotStore{path: sharedDir.SnapshotPath(), pool: h.limits.pool, log: h.log}
	h.operations.sharedDir = sharedDir
	h.checkPeers()
}

// register opens the directory that the processes of one sidecar share within tempDir, and
// registers this process there.
func register(tempDir, name string) (*hotrestart.SharedDir, *hotrestart.Presence, error) {
	sharedDir, err := hotrestart.OpenSharedDir(tempDir, name)
	if err != nil {
		return nil, nil, err
	}
	presence, err := sharedDir.Register(time.Now())
	if err != nil {
		return nil, nil, err
	}
	return sharedDir, presence, nil
}

// checkPeers applies what has changed since the latest check: processes that have come or gone, and
// endpoints disabled or enabled through another process. An error leaves all as it is.
func (h *handover) checkPeers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	peers, err := h.presence.Peers()
	if err = errors.Join(err, h.operations.applySharedBans()); err != nil {
		h.warnUnreadableLocked(err)
		return
	}
	if peers.Alive != h.peerRunning {
		h.setPeerRunningLocked(peers.Alive)
	}
	if next := h.phase.afterPeerCheck(peers.Successor); next != h.phase {
		h.setPhaseLocked(next)
	}
}

// warnUnreadableLocked logs that a check has failed, unless one was logged recently. The caller
// must hold h.mu.
func (h *handover) warnUnreadableLocked(err error) {
	if time.Since(h.warnedAt) <= sharedDirWarnInterval {
		return
	}
	h.warnedAt = time.Now()
	h.log.Warn("cannot read what other processes share; keeping the current state", "err", err)
}

// setPeerRunningLocked shares the limits with another process, or takes them back. The caller must
// hold h.mu.
func (h *handover) setPeerRunningLocked(running bool) {
	h.peerRunning = running
	h.log.Info("processes of this sidecar", "another", running)
	if running {
		h.limits.apply(processesDuringHandover)
	} else {
		h.limits.apply(processesAlone)
	}
}

// setPhaseLocked leaves accepting connections to the successor, or takes it up again where the
// successor has died. The caller must hold h.mu.
func (h *handover) setPhaseLocked(next handoverPhase) {
	h.phase = next
	h.log.Info("a successor serves", "is_so", next.isSuperseded())
	if next.isSuperseded() {
		h.listener.Pause()
		h.server.StartDraining()
	} else {
		h.listener.Resume()
		h.server.StopDraining()
	}
}

// beginShutdown notes SIGTERM and reports whether a successor accepts the connections that still
// come.
func (h *handover) beginShutdown() (successorServes bool) {
	if h.presence != nil {
		h.checkPeers() // the successor may have begun to serve since the latest check
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.phase = h.phase.afterSIGTERM()
	return h.phase.isSuperseded()
}

// hasPeer reports whether another process of the sidecar runs.
func (h *handover) hasPeer() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peerRunning
}

// isSuperseded reports whether a successor accepts connections in place of this process.
func (h *handover) isSuperseded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.phase.isSuperseded()
}

// restoreSnapshot loads what the predecessor had learned. The endpoint list must have been
// received.
func (h *handover) restoreSnapshot() {
	if h.snapshots != nil {
		h.snapshots.restore()
	}
}

// markServing notifies the predecessor that this process serves.
func (h *handover) markServing() {
	if h.presence == nil {
		return
	}
	if err := h.presence.MarkServing(); err != nil {
		h.log.Warn("cannot notify the predecessor that this process serves", "err", err)
	}
}

// run checks for peers and writes snapshots until ctx ends, then unregisters this process.
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
			h.log.Warn("cannot write the learned state", "err", err)
		}
	}
}

// writeSnapshotIfDue writes a snapshot at each interval. It writes none before this process serves,
// as it may not have restored its predecessor's yet, and none once a successor serves, which writes
// its own.
func (h *handover) writeSnapshotIfDue() error {
	if h.isSuperseded() || !h.snapshots.isDue() || !h.readiness.accepting.Load() {
		return nil
	}
	return h.snapshots.write()
}
