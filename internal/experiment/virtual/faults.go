package virtual

import (
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment"
	"rowancart/internal/experiment/traffic"
)

// applyFault executes one step of a fault. It schedules follow-up steps as events of source.
func (s *simulation) applyFault(now time.Duration, source *eventSource, event traffic.FaultEvent) {
	switch event.Kind {
	case experiment.DiscoveryDelay:
		s.discoveryDelay = 0
		if event.On {
			s.discoveryDelay = event.Fault.Period
		}
	case experiment.DiscoverySilence:
		s.setDiscoverySilent(now, event.On)
	case experiment.KillSidecar:
		in := s.frontInstances[event.Server%len(s.frontInstances)]
		if !in.down {
			in.kill(now)
			s.scheduleFunc(source, now+event.Fault.Duration, func(now time.Duration) { in.start(now) })
		}
	default:
		s.applyServerFault(now, source, event)
	}
}

// applyServerFault executes one step of a fault that affects a server.
func (s *simulation) applyServerFault(now time.Duration, source *eventSource, event traffic.FaultEvent) {
	n := s.servers[event.Tier][event.Server]
	n.advance(now)
	switch {
	case event.Kind == experiment.RollingDeploy:
		s.replaceServer(now, source, n, event.Fault.Period)
	case event.Kind == experiment.Crash && event.On:
		n.crash(now)
		s.publishEndpoint(now, n.tier, n.endpoint(balancer.Removed))
	case event.Kind == experiment.Crash:
		if n.model.Down() {
			n.model.Restart(now)
			s.startSidecar(now, n)
			s.publishStarted(now, n)
		}
	default:
		n.applyFault(event)
		n.reschedule()
	}
}

// replaceServer drains a server for the time drain, then stops it and starts its successor, which
// warms up.
func (s *simulation) replaceServer(now time.Duration, source *eventSource, n *serverNode, drain time.Duration) {
	n.model.Drain()
	s.publishEndpoint(now, n.tier, n.endpoint(balancer.Draining))
	s.scheduleFunc(source, now+drain, func(now time.Duration) {
		n.advance(now)
		n.crash(now)
		n.removedAt = now
		s.publishEndpoint(now, n.tier, n.endpoint(balancer.Removed))
		successor := s.newServer(n.tier, n.index, n.generation+1, now)
		s.servers[n.tier][n.index] = successor
		s.allServers = append(s.allServers, successor)
		s.startSidecar(now, successor)
		s.publishStarted(now, successor)
	})
}

// startSidecar starts the sidecar through which a server calls the next tier, if it has one.
func (s *simulation) startSidecar(now time.Duration, n *serverNode) {
	if n.sidecar != nil {
		n.sidecar.start(now)
	}
}
