package sidecar

import (
	"errors"
	"time"

	"rowancart/internal/hotrestart"
	"rowancart/internal/logkey"
)

// sharedDirWarnInterval is the minimum time between two warnings about a failed shared directory.
const sharedDirWarnInterval = 10 * time.Second

// checkSharedDir performs the writes to the shared directory that are outstanding, and applies what
// has changed there since the last check: the peer processes, their endpoint list if it is newer,
// and the endpoints that were disabled or enabled through them. State that can't be read stays as
// it was at the last check.
func (h *handover) checkSharedDir() {
	h.mu.Lock()
	defer h.mu.Unlock()
	registerErr := h.registration.update()
	disabledErr := h.syncDisabledLocked()
	listErr := h.endpointList.sync()
	peersErr := h.checkPeerProcessesLocked()
	if err := errors.Join(registerErr, disabledErr, listErr, peersErr); err != nil {
		h.warnSharedDirFailedLocked(err)
	}
}

// syncDisabledLocked applies the disabled endpoints of the shared directory. The caller must hold
// h.mu.
func (h *handover) syncDisabledLocked() error {
	if err := h.operations.syncDisabled(); err != nil {
		return err
	}
	h.disabledApplied = true
	return nil
}

// checkPeerProcessesLocked finds out which peer processes are running and applies that, if this
// process is registered. The caller must hold h.mu.
func (h *handover) checkPeerProcessesLocked() error {
	if h.registration.presence == nil {
		return nil
	}
	peers, err := h.registration.presence.PeerProcesses()
	if err != nil {
		return err
	}
	h.applyPeerProcessesLocked(peers)
	return nil
}

// applyPeerProcessesLocked adjusts the limits and the phase of this process to its peer processes.
// The caller must hold h.mu.
func (h *handover) applyPeerProcessesLocked(peers hotrestart.PeerProcesses) {
	if peers.Running != h.peerRunning {
		h.peerRunning = peers.Running
		h.shareLimitsLocked()
	}
	if next := h.phase.afterCheck(peers); next != h.phase {
		h.phase = next
		h.applyPhaseLocked()
	}
}

// shareLimitsLocked halves the limits of this process if a peer process is running, and restores
// them if not. The caller must hold h.mu.
func (h *handover) shareLimitsLocked() {
	if h.peerRunning {
		h.log.Info("peer process running")
		h.limits.apply(processesDuringHandover)
	} else {
		h.log.Info("no peer process running")
		h.limits.apply(processesOutsideHandover)
	}
}

// applyPhaseLocked pauses accepting connections and starts draining if this process is superseded,
// and undoes both if the successor no longer serves. The caller must hold h.mu.
func (h *handover) applyPhaseLocked() {
	if h.phase.isSuperseded() {
		h.log.Info("superseded")
		h.listener.Pause()
		h.server.StartDraining()
	} else {
		h.log.Info("no longer superseded")
		h.listener.Resume()
		h.server.StopDraining()
	}
}

// warnSharedDirFailedLocked logs a failure of the shared directory, unless one was logged within
// the last sharedDirWarnInterval. The caller must hold h.mu.
func (h *handover) warnSharedDirFailedLocked(err error) {
	if time.Since(h.lastWarning) <= sharedDirWarnInterval {
		return
	}
	h.lastWarning = time.Now()
	h.log.Warn("shared directory failed", logkey.Err, err)
}
