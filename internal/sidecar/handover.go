package sidecar

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"rowancart/internal/discovery/watch"
	"rowancart/internal/hotrestart"
	"rowancart/internal/httpserver"
	"rowancart/internal/logkey"
)

const (
	// sharedDirCheckInterval is the time between two checks of the shared directory.
	sharedDirCheckInterval = 100 * time.Millisecond
	// disabledEndpointsTimeout is how long a starting process delays serving if the disabled
	// endpoints can't be read from the shared directory: operators may have disabled some through a
	// predecessor. The platform gives a successor 6 s to become ready.
	disabledEndpointsTimeout = 5 * time.Second
)

// handover carries out this process's side of a process handover; package hotrestart defines the
// terms. It detects peer processes, pauses accepting connections while this process is superseded,
// halves the limits while a peer process is running, shares the newest endpoint list with them, and
// passes the learned state on to the successor.
//
// Operations on the shared directory may fail temporarily at any time. Each check of the directory
// retries those that have failed. Without a shared directory there are no peer processes: snapshots
// and registration.sharedDir are nil.
type handover struct {
	limits     *limitEnforcer
	snapshots  *snapshotStore
	server     *httpserver.Server
	listener   *httpserver.Listener
	discovery  *watch.Client
	operations *operations
	readiness  *readiness
	log        *slog.Logger

	listChanged chan struct{} // receives a value after the endpoint list has changed

	mu              sync.Mutex // held for an entire check, which reads files; guards the fields below
	registration    registration
	endpointList    *endpointListFile // nil without a shared directory
	phase           handoverPhase
	peerRunning     bool      // a peer process is running, serving or not
	disabledApplied bool      // the disabled endpoints in the shared directory have been applied at least once
	lastWarning     time.Time // when a shared directory failure was last logged
}

// join registers this process in the shared directory of its sidecar, the subdirectory of
// sharedDirParent for the name, and applies the limits and the disabled endpoints. If
// sharedDirParent is empty, there is no shared directory. Failures are logged, and run retries the
// operations. It must be called before any other method.
func (h *handover) join(sharedDirParent, name string) {
	h.limits.apply(processesOutsideHandover)
	if sharedDirParent == "" {
		return
	}
	sharedDir := hotrestart.NewSharedDir(sharedDirParent, name)
	h.registration.sharedDir = sharedDir
	h.snapshots = &snapshotStore{path: sharedDir.SnapshotPath(), pool: h.limits.pool, log: h.log}
	h.endpointList = &endpointListFile{
		path: sharedDir.EndpointListPath(), pool: h.limits.pool, discovery: h.discovery, log: h.log,
	}
	h.operations.sharedDir = sharedDir
	h.snapshots.removeLeftovers()
	h.endpointList.removeLeftovers()
	h.checkSharedDir()
}

// hasSharedDir reports whether the sidecar has a shared directory. Process handovers require one.
func (h *handover) hasSharedDir() bool { return h.registration.sharedDir != nil }

// beginShutdown records that SIGTERM was received and returns the resulting shutdown phase.
func (h *handover) beginShutdown() handoverPhase {
	if h.hasSharedDir() {
		h.checkSharedDir() // a successor may have begun to serve since the last check
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

// isSuperseded reports whether a successor accepts connections instead of this process.
func (h *handover) isSuperseded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.phase.isSuperseded()
}

// waitForDisabledEndpoints waits until the disabled endpoints have been applied or
// disabledEndpointsTimeout has passed, and then returns true. If stop is closed first, it returns
// false, and no request may be forwarded. It requires that run is running.
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

// restoreSnapshot restores the learned state of the predecessor from its snapshot, if there is one.
// It must be called after the endpoint list has been received.
func (h *handover) restoreSnapshot() {
	if h.snapshots != nil {
		h.snapshots.restore()
	}
}

// markServing notifies the predecessor that this process serves requests. If that fails, subsequent
// checks of the shared directory retry it.
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

// endpointListChanged makes run store the endpoint list without delay.
func (h *handover) endpointListChanged() {
	select {
	case h.listChanged <- struct{}{}:
	default: // a check is already pending
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
		case <-h.listChanged:
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

// unregister stores the last endpoint list, and removes this process's registration from the shared
// directory.
func (h *handover) unregister() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.endpointList.sync(); err != nil {
		h.warnSharedDirFailedLocked(err)
	}
	h.registration.unregister()
}

// writeSnapshotIfDue writes a snapshot if snapshotInterval has passed since the last one. It writes
// none before this process serves, since that could overwrite the predecessor's snapshot before it
// is restored, and none while this process is superseded, since the successor writes its own.
func (h *handover) writeSnapshotIfDue() error {
	if h.isSuperseded() || !h.snapshots.isDue() || !h.readiness.accepting.Load() {
		return nil
	}
	return h.snapshots.write()
}
