package testbed

import (
	"time"

	"rowancart/internal/experiment"
	"rowancart/internal/experiment/traffic"
	"rowancart/internal/platform"
)

// applyFault applies one fault event and returns when the event is complete, for example when a
// killed sidecar has been restarted. Each event is applied in a separate goroutine.
func (r *testRun) applyFault(event traffic.FaultEvent) {
	switch event.Kind {
	case experiment.DiscoveryDelay:
		delay := time.Duration(0)
		if event.On {
			delay = event.Fault.Period
		}
		r.discoveryFaults.setDelay(delay)
	case experiment.DiscoverySilence:
		if event.On {
			r.discoveryFaults.silence()
			return
		}
		for _, u := range r.discoveryFaults.resume() {
			r.publish(u.tier, u.endpoint)
		}
	case experiment.SilentPeer, experiment.PartialRequestPeer, experiment.OversizedPeer:
		r.runImproperPeer(event.Kind, r.frontSidecars[event.Server%len(r.frontSidecars)])
	case experiment.KillSidecar, experiment.TermSidecar, experiment.DiscoveryMove:
		r.disruptSidecar(event, r.frontSidecars[event.Server%len(r.frontSidecars)])
	default:
		r.applyServerFault(event)
	}
}

// applyServerFault applies one event of a fault that affects a server.
func (r *testRun) applyServerFault(event traffic.FaultEvent) {
	r.mu.Lock()
	s := r.servers[event.Tier][event.Server]
	r.mu.Unlock()
	switch {
	case event.Kind == experiment.RollingDeploy:
		r.replaceServer(s, event.Fault.Period)
	case event.Kind == experiment.Crash && event.On:
		r.crashServer(s)
	case event.Kind == experiment.Crash:
		s.restart()
		r.putInService(s)
	default:
		s.applyFault(event)
	}
}

// crashServer crashes a server's process, kills its sidecar, if there is one, and removes the
// server from the endpoint list.
func (r *testRun) crashServer(s *emulatedServer) {
	s.crash()
	if s.sidecar != nil {
		s.sidecar.kill()
	}
	r.publish(s.tier, s.listedEndpoint(platform.StateRemoved))
}

// putInService starts the sidecar of a server that has started, if there is one, and adds the
// server to the endpoint list.
func (r *testRun) putInService(s *emulatedServer) {
	if s.sidecar != nil {
		if err := s.sidecar.start(r.ctx); err != nil {
			r.fail(err)
			return
		}
	}
	r.publish(s.tier, s.listedEndpoint(platform.StateReady))
}

// disruptSidecar kills or terminates a sidecar before the first tier and restarts it after the
// fault's duration, or moves its discovery address.
func (r *testRun) disruptSidecar(event traffic.FaultEvent, s *sidecar) {
	switch event.Kind {
	case experiment.DiscoveryMove:
		if err := s.moveDiscovery(); err != nil {
			r.fail(err)
		}
		return
	case experiment.KillSidecar:
		s.kill()
	case experiment.TermSidecar:
		s.terminate()
	}
	s.conns.close()
	if r.sleepUntil(r.now() + event.Fault.Duration) {
		if err := s.start(r.ctx); err != nil {
			r.fail(err)
		}
	}
}

// moveDiscovery moves the sidecar's discovery server to a new address and makes the program reload
// its configuration, which contains the address.
func (s *sidecar) moveDiscovery() error {
	s.mu.Lock()
	p := s.running
	s.mu.Unlock()
	if p == nil {
		return nil
	}
	if err := s.discovery.moveAddress(); err != nil {
		return err
	}
	return p.Reload(s.config())
}

// replaceServer drains a server for the duration drain, closes it and starts a successor, which
// must warm up.
func (r *testRun) replaceServer(s *emulatedServer, drain time.Duration) {
	s.mu.Lock()
	s.model.Drain()
	s.mu.Unlock()
	r.publish(s.tier, s.listedEndpoint(platform.StateDraining))
	if !r.sleepUntil(r.now() + drain) {
		return
	}
	s.removedAt = r.now()
	if s.sidecar != nil {
		s.sidecar.kill()
	}
	s.close()
	r.publish(s.tier, s.listedEndpoint(platform.StateRemoved))
	successor, err := r.addSuccessor(s)
	if err != nil {
		r.fail(err)
		return
	}
	r.putInService(successor)
}

// addSuccessor creates a server that takes the place of another one. If the servers of its tier
// call the next tier, it also creates the sidecar, which the caller must start.
func (r *testRun) addSuccessor(s *emulatedServer) (*emulatedServer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	successor, err := r.newServer(s.tier, s.index, s.generation+1, r.now())
	if err != nil {
		return nil, err
	}
	r.servers[s.tier][s.index] = successor
	r.allServers = append(r.allServers, successor)
	if r.callsNextTier(s.tier) {
		return successor, r.addServerSidecar(successor)
	}
	return successor, nil
}
