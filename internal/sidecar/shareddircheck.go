package sidecar

import (
	"errors"
	"time"

	"rowancart/internal/hotrestart"
	"rowancart/internal/logkey"
)

// sharedDirWarnInterval is the least time between two warnings that the shared directory has
// failed.
const sharedDirWarnInterval = 10 * time.Second

// checkSharedDir writes what has not been written to the shared directory yet, and applies what has
// changed there since the latest check: peer processes, and endpoints that were disabled or enabled
// through one of them. State that can't be read stays as it is.
func (h *handover) checkSharedDir() {
	h.mu.Lock()
	defer h.mu.Unlock()
	registerErr := h.registration.update()
	disabledErr := h.syncDisabledLocked()
	peersErr := h.checkPeerProcessesLocked()
	if err := errors.Join(registerErr, disabledErr, peersErr); err != nil {
		h.warnSharedDirFailedLocked(err)
	}
}

// syncDisabledLocked applies the disabled endpoints. The caller must hold h.mu.
func (h *handover) syncDisabledLocked() error {
	if err := h.operations.syncDisabled(); err != nil {
		return err
	}
	h.disabledApplied = true
	return nil
}

// checkPeerProcessesLocked applies which peer processes this process has. The caller must hold
// h.mu.
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

// applyPeerProcessesLocked shares the limits with the peer processes and updates the phase. The
// caller must hold h.mu.
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

// shareLimitsLocked halves the limits of this process while a peer process is running. The caller
// must hold h.mu.
func (h *handover) shareLimitsLocked() {
	if h.peerRunning {
		h.log.Info("peer process running")
		h.limits.apply(processesDuringHandover)
	} else {
		h.log.Info("no peer process running")
		h.limits.apply(processesAlone)
	}
}

// applyPhaseLocked pauses accepting once this process is superseded, and resumes it if its
// successor exits. The caller must hold h.mu.
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

// warnSharedDirFailedLocked logs that the shared directory has failed, unless that was logged
// recently. The caller must hold h.mu.
func (h *handover) warnSharedDirFailedLocked(err error) {
	if time.Since(h.warnedAt) <= sharedDirWarnInterval {
		return
	}
	h.warnedAt = time.Now()
	h.log.Warn("shared directory failed", logkey.Err, err)
}
