package daemon

import (
	"context"
	"net"

	"rowancart/internal/hotrestart/successor"
)

// handOver starts a successor with the open sockets and waits until it serves: then it closes done.
// If it does not get to serve in time it sends on failed, and this process goes on as before.
func (d *Daemon) handOver(ctx context.Context, done chan<- struct{}, failed chan<- struct{}) {
	d.saveSnapshot(saveForSuccessor)
	d.mu.RLock()
	timeout := d.current.config.Limits.HandoverTimeout
	sockets := d.openSockets()
	d.mu.RUnlock()
	s, err := successor.Start(d.newSuccessor(), sockets)
	if err == nil {
		d.log.Info("handing over", "pid", s.Pid, "within", timeout)
		err = s.Wait(ctx, timeout)
	}
	if err != nil {
		d.log.Error("no successor: this process goes on", "err", err)
		failed <- struct{}{}
		return
	}
	d.log.Info("handed over", "pid", s.Pid)
	close(done)
}

// openSockets returns the sockets that a successor takes over, by address. The caller must hold
// d.mu.
func (d *Daemon) openSockets() map[string]net.Listener {
	sockets := map[string]net.Listener{}
	for _, l := range d.listeners {
		if l.drainingFor == nil {
			sockets[l.address] = l.conns.Listener
		}
	}
	if d.admin != nil {
		sockets[d.current.config.Admin] = d.admin
	}
	return sockets
}
