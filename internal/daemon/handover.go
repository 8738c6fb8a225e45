package daemon

import (
	"context"
	"net"
	"os"
	"os/exec"

	"rowancart/internal/hotrestart/successor"
	"rowancart/internal/logkey"
)

// handover is the state of a daemon's process handovers: the daemon inherits sockets from a
// predecessor, and starts a successor on request. Only inherit may be called from goroutines other
// than the one that executes Run.
type handover struct {
	predecessor  *successor.Predecessor // nil if there is none
	newSuccessor func() *exec.Cmd
	signal       <-chan os.Signal // each value requests a handover

	inProgress bool
	completed  chan struct{} // closed once a successor serves
	failed     chan struct{} // receives a value when a successor could not take over
}

func newHandover(o Options) handover {
	return handover{
		predecessor:  o.Predecessor,
		newSuccessor: o.NewSuccessor,
		signal:       o.HandoverSignal,
		completed:    make(chan struct{}),
		failed:       make(chan struct{}, 1),
	}
}

// inherit returns the predecessor's socket for an address, or nil if there is no such socket.
func (h *handover) inherit(address string) (net.Listener, error) {
	if h.predecessor == nil {
		return nil, nil
	}
	return h.predecessor.Listener(address)
}

// inheritFile returns the predecessor's file with a name, or nil if there is no such file.
func (h *handover) inheritFile(name string) *os.File {
	if h.predecessor == nil {
		return nil
	}
	return h.predecessor.File(name)
}

// notifyPredecessor tells the predecessor, if there is one, that this process is serving.
func (h *handover) notifyPredecessor() error {
	if h.predecessor == nil {
		return nil
	}
	return h.predecessor.Ready()
}

// begin marks a handover as in progress. It returns false if one already is.
func (h *handover) begin() bool {
	if h.inProgress {
		return false
	}
	h.inProgress = true
	return true
}

// reset marks a failed handover as ended, so that the next signal can start another.
func (h *handover) reset() { h.inProgress = false }

// handOver starts a successor, passes it the open sockets and waits until it serves. If the
// successor fails, or does not serve within the configured timeout, this process goes on serving.
func (d *Daemon) handOver(ctx context.Context) {
	d.saveSnapshot(saveForSuccessor)
	d.mu.RLock()
	timeout := d.current.config.Limits.HandoverTimeout
	sockets := d.openSockets()
	d.mu.RUnlock()
	files := d.recentIDs.files()
	state := d.shareState()
	if state != nil {
		files[handoverStateFile] = state.file
	}
	s, err := successor.Start(d.handover.newSuccessor(), sockets, files)
	if err == nil {
		d.log.Info("handover started", logkey.PID, s.Pid, logkey.Timeout, timeout)
		err = s.Wait(ctx, timeout)
	}
	if err != nil {
		if state != nil {
			state.stop()
		}
		d.log.Error("handover failed", logkey.Err, err)
		d.handover.failed <- struct{}{}
		return
	}
	d.log.Info("handover completed", logkey.PID, s.Pid)
	close(d.handover.completed)
}

// servingContext returns the context that ends when this process has answered its last request.
func (d *Daemon) servingContext() context.Context {
	d.reloadMu.Lock()
	defer d.reloadMu.Unlock()
	return d.runCtx
}

// openSockets returns the sockets that a successor inherits, by their configured address. The
// caller must hold d.mu.
func (d *Daemon) openSockets() map[string]net.Listener {
	sockets := map[string]net.Listener{}
	for _, l := range d.listeners {
		if !l.isRemoved() {
			sockets[l.address] = l.conns.Listener
		}
	}
	if d.admin != nil {
		sockets[d.current.config.Admin] = d.admin
	}
	return sockets
}
