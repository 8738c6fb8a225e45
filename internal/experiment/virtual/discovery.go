package virtual

import (
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment/invariant"
)

// publishEndpoint changes the endpoint list of a tier and notifies every running instance that
// sends to the tier, each after its own delay. While discovery is silent, changes are stored as
// missed.
func (s *simulation) publishEndpoint(now time.Duration, tier int, e balancer.Endpoint) {
	s.updateEndpointList(tier, e)
	for _, in := range s.instances {
		if in.tier != tier || in.down {
			continue
		}
		if s.discoverySilent {
			in.missedChanges = append(in.missedChanges, e)
			continue
		}
		s.notifyInstance(now, in, e)
	}
}

// publishStarted publishes a server that has just started.
func (s *simulation) publishStarted(now time.Duration, n *serverNode) {
	e := n.endpoint(balancer.Ready)
	e.Started = balancerEpoch + now
	s.publishEndpoint(now, n.tier, e)
}

func (s *simulation) updateEndpointList(tier int, e balancer.Endpoint) {
	list := s.endpointLists[tier]
	for i := range list {
		if list[i].ID != e.ID {
			continue
		}
		if e.State == balancer.Removed {
			s.endpointLists[tier] = append(list[:i:i], list[i+1:]...)
		} else {
			list[i] = e
		}
		return
	}
	if e.State != balancer.Removed {
		s.endpointLists[tier] = append(list, e)
	}
}

// notification returns the checker's record of a change of which the instance is notified.
func (in *instance) notification(e balancer.Endpoint) invariant.Notification {
	return invariant.Notification{Instance: in.name, Server: e.ID, State: e.State, Started: e.Started > 0}
}

// notifyInstance notifies an instance of a change after the instance's delay. Notifications arrive
// in the order of the changes.
func (s *simulation) notifyInstance(now time.Duration, in *instance, e balancer.Endpoint) {
	discovery := s.experiment.Site.Discovery
	at := now + discovery.Delay + s.discoveryDelay + time.Duration(in.discoverySpread*float64(discovery.Spread))
	in.notifiedAt = max(in.notifiedAt, at)
	incarnation := in.incarnation
	s.scheduleFunc(&in.eventSource, in.notifiedAt, func(now time.Duration) {
		if in.down || in.incarnation != incarnation {
			return
		}
		s.checker.RecordNotification(now, in.notification(e))
		in.policy.EndpointList(balancerEpoch+now, balancer.EndpointList{Entries: []balancer.Endpoint{e}})
	})
}

// setDiscoverySilent begins or ends a period in which discovery sends no notifications. At the end
// of the period it sends the changes that the instances missed.
func (s *simulation) setDiscoverySilent(now time.Duration, silent bool) {
	s.discoverySilent = silent
	if silent {
		return
	}
	for _, in := range s.instances {
		for _, e := range in.missedChanges {
			s.notifyInstance(now, in, e)
		}
		in.missedChanges = nil
	}
}
