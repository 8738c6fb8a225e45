package daemon

import (
	"context"
	"net"
	"os"
	"os/exec"

	"rowancart/internal/hotrestart/successor"
	"rowancart/internal/logkey"
)

// handover is a daemon's part in process handovers: it inherits sockets from a predecessor, and
// starts a successor at a signal. All but inherit is for the goroutine of Run.
type handover struct {
	predecessor  *successor.Predecessor // nil: there is none
	newSuccessor func() *exec.Cmd
	signal       <-chan os.Signal // each value requests a handover

	inProgress bool
	served     chan struct{} // closed when a successor serves
	failed     chan struct{} // receives a value when a successor has not got to serve
}

func newHandover(o Options) handover {
	return handover{
		predecessor:  o.Predecessor,
		newSuccessor: o.NewSuccessor,
		signal:       o.HandoverSignal,
		served:       make(chan struct{}),
		failed:       make(chan struct{}, 1),
	}
}

// inherit returns the predecessor's socket for an address, or nil if there is none.
func (h *handover) inherit(address string) (net.Listener, error) {
	if h.predecessor == nil {
		return nil, nil
	}
	return h.predecessor.Listener(address)
}

// notifyPredecessor notifies the predecessor, if there is one, that this process serves.
func (h *handover) notifyPredecessor() error {
	if h.predecessor == nil {
		return nil
	}
	return h.predecessor.Ready()
}

// begin begins a handover and returns true, or returns false if one is in progress.
func (h *handover) begin() bool {
	if h.inProgress {
		return false
	}
	h.inProgress = true
	return true
}

// reset ends a handover that has failed, so that the next signal begins another.
func (h *handover) reset() { h.inProgress = false }

// handOver starts a successor with the open sockets and waits until it serves. If it does not
// within the configured timeout, this process goes on serving.
func (d *Daemon) handOver(ctx context.Context) {
	d.saveSnapshot(saveForSuccessor)
	d.mu.RLock()
	timeout := d.current.config.Limits.HandoverTimeout
	sockets := d.openSockets()
	d.mu.RUnlock()
	s, err := successor.Start(d.handover.newSuccessor(), sockets)
	if err == nil {
		d.log.Info("handover started", logkey.PID, s.Pid, logkey.Timeout, timeout)
		err = s.Wait(ctx, timeout)
	}
	if err != nil {
		d.log.Error("handover failed", logkey.Err, err)
		d.handover.failed <- struct{}{}
		return
	}
	d.log.Info("handover completed", logkey.PID, s.Pid)
	close(d.handover.served)
}

// openSockets returns the sockets that a successor inherits, by address. The caller must hold d.mu.
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
