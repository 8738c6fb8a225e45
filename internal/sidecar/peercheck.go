package sidecar

import (
	"errors"
	"io/fs"
	"time"

	"rowancart/internal/hotrestart"
)

// The check for the other processes of the sidecar: what is read from the shared directory, ten
// times a second, and what is written there until it has succeeded.

// sharedDirWarnInterval is the least time between two warnings that the shared directory fails.
const sharedDirWarnInterval = 10 * time.Second

// checkPeers applies what has changed since the latest check: processes that have come or gone, and
// endpoints disabled or enabled through another process. What can't be read stays as it is.
func (h *handover) checkPeers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	err := h.updatePresenceLocked()
	if bansErr := h.operations.syncBans(); bansErr == nil {
		h.bansApplied = true
	} else {
		err = errors.Join(err, bansErr)
	}
	if h.presence != nil {
		peers, peersErr := h.presence.Peers()
		if peersErr == nil {
			h.applyPeersLocked(peers)
		}
		err = errors.Join(err, peersErr)
	}
	if err != nil {
		h.warnFailedLocked(err)
	}
}

// updatePresenceLocked registers this process, and marks it as serving once it does, unless that
// has been done. The caller must hold h.mu.
func (h *handover) updatePresenceLocked() error {
	if h.presence == nil {
		if err := h.sharedDir.Create(); err != nil {
			return err
		}
		presence, err := h.sharedDir.Register(time.Now())
		if err != nil {
			return err
		}
		h.presence = presence
	}
	if h.serving && !h.markedServing {
		if err := h.presence.MarkServing(); err != nil {
			if errors.Is(err, fs.ErrNotExist) { // something has removed the file: the next check registers anew
				h.presence.Unregister()
				h.presence = nil
			}
			return err
		}
		h.markedServing = true
	}
	return nil
}

// applyPeersLocked applies which other processes run. The caller must hold h.mu.
func (h *handover) applyPeersLocked(peers hotrestart.Peers) {
	if peers.Alive != h.peerRunning {
		h.setPeerRunningLocked(peers.Alive)
	}
	if next := h.phase.afterPeerCheck(peers.Successor); next != h.phase {
		h.setPhaseLocked(next)
	}
}

// warnFailedLocked logs that a check has failed, unless one was logged recently. The caller
// must hold h.mu.
func (h *handover) warnFailedLocked(err error) {
	if time.Since(h.warnedAt) <= sharedDirWarnInterval {
		return
	}
	h.warnedAt = time.Now()
	h.log.Warn("the shared directory fails; keeping the current state", "err", err)
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
