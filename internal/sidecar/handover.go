package sidecar

import (
	"context"
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
	// bansTimeout is how long a start waits for a shared directory that can't be read: the operators
	// may have disabled endpoints through a process before this one. A successor has 6 s to be ready.
	bansTimeout = 5 * time.Second
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
// The shared directory may fail for a while, at any time. Whatever has failed is tried again at
// each peer check. Without a shared directory there are no other processes: sharedDir and snapshots
// are nil.
type handover struct {
	limits     *limitEnforcer
	sharedDir  *hotrestart.SharedDir
	snapshots  *snapshotStore
	server     *httpserver.Server
	listener   *httpserver.Listener
	operations *operations
	readiness  *readiness
	log        *slog.Logger

	mu            sync.Mutex           // held during a whole peer check, which reads files; guards what follows
	presence      *hotrestart.Presence // nil: not registered yet
	serving       bool                 // this process serves
	markedServing bool                 // its presence says so
	bansApplied   bool                 // the bans of the shared directory have been applied once
	phase         handoverPhase
	peerRunning   bool      // another process of the sidecar runs, serving or not
	warnedAt      time.Time // when a failed check was last logged
}

// join registers this process with the others of the sidecar of that name, which share tempDir, and
// applies the limits and the bans that are in force. What fails is logged and tried again by run.
// It must be called before any other method.
func (h *handover) join(tempDir, name string) {
	h.limits.apply(processesAlone)
	if tempDir == "" {
		return
	}
	h.sharedDir = hotrestart.NewSharedDir(tempDir, name)
	h.snapshots = &snapshotStore{path: h.sharedDir.SnapshotPath(), pool: h.limits.pool, log: h.log}
	h.operations.sharedDir = h.sharedDir
	h.snapshots.removeLeftovers()
	h.checkPeers()
}

// beginShutdown notes SIGTERM and reports whether a successor accepts the connections that still
// come.
func (h *handover) beginShutdown() (successorServes bool) {
	if h.sharedDir != nil {
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

// waitForBans returns true once the bans that are in force have been applied, or after bansTimeout,
// and false if stop is closed before: then no request may be forwarded. It needs run.
func (h *handover) waitForBans(stop <-chan struct{}) bool {
	if h.sharedDir == nil {
		return true
	}
	timeout := time.NewTimer(bansTimeout)
	defer timeout.Stop()
	tick := time.NewTicker(peerCheckInterval)
	defer tick.Stop()
	for !h.hasBans() {
		select {
		case <-tick.C:
		case <-stop:
			return false
		case <-timeout.C:
			h.log.Error("serving though the shared directory fails: endpoints that are disabled there are not known")
			return true
		}
	}
	return true
}

// hasBans reports whether the bans of the shared directory have been applied.
func (h *handover) hasBans() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bansApplied
}

// restoreSnapshot loads what the predecessor had learned. The endpoint list must have been
// received.
func (h *handover) restoreSnapshot() {
	if h.snapshots != nil {
		h.snapshots.restore()
	}
}

// markServing notifies the predecessor that this process serves. Where that fails, the next checks
// try again.
func (h *handover) markServing() {
	if h.sharedDir == nil {
		return
	}
	h.mu.Lock()
	h.serving = true
	h.mu.Unlock()
	h.checkPeers()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.markedServing {
		h.log.Warn("cannot notify the predecessor that this process serves")
	}
}

// run checks for peers and writes snapshots until ctx ends, then unregisters this process.
func (h *handover) run(ctx context.Context) {
	if h.sharedDir == nil {
		return
	}
	defer h.unregister()
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
			h.mu.Lock()
			h.warnFailedLocked(err)
			h.mu.Unlock()
		}
	}
}

// unregister removes this process from those that run.
func (h *handover) unregister() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.presence != nil {
		h.presence.Unregister()
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
