package sidecar

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"rowancart/internal/hotrestart"
	"rowancart/internal/httpserver"
	"rowancart/internal/logkey"
)

const (
	// sharedDirCheckInterval is the time between two checks of the shared directory.
	sharedDirCheckInterval = 100 * time.Millisecond
	// disabledEndpointsTimeout is how long a start waits for the disabled endpoints of a shared
	// directory that can't be read: operators may have disabled them through a predecessor. The
	// platform gives a successor 6 s to get ready.
	disabledEndpointsTimeout = 5 * time.Second
)

// handover is the part of this process in the process handovers of its sidecar; package hotrestart
// defines the terms. It follows which peer processes are running, pauses accepting while this
// process is superseded, halves the limits while a peer process is running, and passes the learned
// state on.
//
// The shared directory may fail at any time, for a while. Each check of it retries what has failed.
// Without a shared directory there are no peer processes: snapshots and registration.sharedDir are
// nil.
type handover struct {
	limits     *limitEnforcer
	snapshots  *snapshotStore
	server     *httpserver.Server
	listener   *httpserver.Listener
	operations *operations
	readiness  *readiness
	log        *slog.Logger

	mu              sync.Mutex // held during an entire check, which reads files; guards what follows
	registration    registration
	phase           handoverPhase
	peerRunning     bool      // a peer process is running, serving or not
	disabledApplied bool      // the disabled endpoints of the shared directory have been applied once
	warnedAt        time.Time // when a failure of the shared directory was last logged
}

// join registers this process in the shared directory of the sidecar of that name, below tempDir,
// and applies the limits and the disabled endpoints. What fails is logged, and retried by run. It
// must be called before any other method.
func (h *handover) join(tempDir, name string) {
	h.limits.apply(processesAlone)
	if tempDir == "" {
		return
	}
	sharedDir := hotrestart.NewSharedDir(tempDir, name)
	h.registration.sharedDir = sharedDir
	h.snapshots = &snapshotStore{path: sharedDir.SnapshotPath(), pool: h.limits.pool, log: h.log}
	h.operations.sharedDir = sharedDir
	h.snapshots.removeLeftovers()
	h.checkSharedDir()
}

// hasSharedDir reports whether the sidecar has a shared directory, and with it process handovers.
func (h *handover) hasSharedDir() bool { return h.registration.sharedDir != nil }

// beginShutdown notes SIGTERM and returns the phase of the shutdown.
func (h *handover) beginShutdown() handoverPhase {
	if h.hasSharedDir() {
		h.checkSharedDir() // a successor may have begun to serve since the latest check
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.phase = h.phase.afterSIGTERM()
	return h.phase
}

// hasPeerProcess reports whether a peer process is running.
func (h *handover) hasPeerProcess() bool {
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

// waitForDisabledEndpoints returns true once the disabled endpoints have been applied, or after
// disabledEndpointsTimeout, and false if stop is closed first: then no request may be forwarded. It
// requires that run is running.
func (h *handover) waitForDisabledEndpoints(stop <-chan struct{}) bool {
	if !h.hasSharedDir() {
		return true
	}
	timeout := time.NewTimer(disabledEndpointsTimeout)
	defer timeout.Stop()
	tick := time.NewTicker(sharedDirCheckInterval)
	defer tick.Stop()
	for !h.hasAppliedDisabled() {
		select {
		case <-tick.C:
		case <-stop:
			return false
		case <-timeout.C:
			h.log.Error("disabled endpoints not restored", logkey.Timeout, disabledEndpointsTimeout)
			return true
		}
	}
	return true
}

// hasAppliedDisabled reports whether the disabled endpoints have been applied.
func (h *handover) hasAppliedDisabled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.disabledApplied
}

// restoreSnapshot restores the learned state of the predecessor. The endpoint list must have been
// received.
func (h *handover) restoreSnapshot() {
	if h.snapshots != nil {
		h.snapshots.restore()
	}
}

// markServing notifies the predecessor that this process serves. Where that fails, the next checks
// of the shared directory retry it.
func (h *handover) markServing() {
	if !h.hasSharedDir() {
		return
	}
	h.mu.Lock()
	h.registration.serving = true
	h.mu.Unlock()
	h.checkSharedDir()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.registration.markedServing {
		h.log.Warn("predecessor not notified")
	}
}

// run checks the shared directory and writes snapshots until ctx ends, then unregisters this
// process.
func (h *handover) run(ctx context.Context) {
	if !h.hasSharedDir() {
		return
	}
	defer h.unregister()
	tick := time.NewTicker(sharedDirCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		h.checkSharedDir()
		if err := h.writeSnapshotIfDue(); err != nil {
			h.warnSharedDirFailed(err)
		}
	}
}

// warnSharedDirFailed is warnSharedDirFailedLocked for callers that do not hold h.mu.
func (h *handover) warnSharedDirFailed(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.warnSharedDirFailedLocked(err)
}

// unregister removes this process from those that are running.
func (h *handover) unregister() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.registration.unregister()
}

// writeSnapshotIfDue writes a snapshot at each interval. It writes none before this process serves,
// since the predecessor's may not have been restored yet, and none while this process is
// superseded, since the successor writes its own.
func (h *handover) writeSnapshotIfDue() error {
	if h.isSuperseded() || !h.snapshots.isDue() || !h.readiness.accepting.Load() {
		return nil
	}
	return h.snapshots.write()
}
