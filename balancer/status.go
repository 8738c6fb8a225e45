package balancer

// The status of the endpoints, as a Balancer reports it. This file makes no load-balancing
// decisions.

import "time"

// Counts returns the number of listed endpoints, and how many of those that are listed as ready get
// no regular requests, for any InactiveReason. Its cost does not depend on the length of the list.
func (b *Balancer) Counts() (listed, unselectable int) {
	unselectable = b.readyCount - len(b.activeHeap.endpoints)
	for id := range b.disabled {
		if e := b.byID[id]; e != nil && e.listing.state == Ready {
			unselectable++
		}
	}
	return b.listedCount, unselectable
}

// EndpointStatus is the status of an endpoint at a Balancer.
type EndpointStatus struct {
	ID            string
	State         State
	Inactive      InactiveReason // why it gets no regular requests; empty: it does
	Weight        float64        // smoothed latency ratio: latency divided by the baseline latency
	Errors        float64        // share of recent outcomes that were errors
	InFlight      int            // attempts in flight
	CapacityShare float64        // share of its full capacity that it has at least; below 1 during slow start
	SinceResponse time.Duration  // time since its latest response; below 0: no response yet
	NextTrial     time.Duration  // while inactive: time until its next trial; below 0: a trial is in flight
}

// EndpointStatuses returns the status of all listed endpoints, in order of insertion.
func (b *Balancer) EndpointStatuses(now time.Duration) []EndpointStatus {
	var statuses []EndpointStatus
	for _, e := range b.endpoints {
		if e.State != Removed {
			statuses = append(statuses, b.endpointStatus(now, e))
		}
	}
	return statuses
}

// endpointStatus returns the status of one endpoint.
func (b *Balancer) endpointStatus(now time.Duration, e *endpoint) EndpointStatus {
	s := EndpointStatus{
		ID: e.ID, State: e.State, Weight: e.weight(), InFlight: e.inFlight, CapacityShare: b.capacityShare(now, e),
		Errors:        e.outcomes.errorShare(),
		SinceResponse: -1,
	}
	if e.connection.respondedAt > 0 {
		s.SinceResponse = now - e.connection.respondedAt
	}
	switch {
	case b.disabled[e.ID]:
		s.Inactive = InactiveDisabled
	case !e.active:
		s.Inactive = e.inactiveReason
		s.NextTrial = e.trial.remaining(now)
	case !e.inSubset && e.State == Ready:
		s.Inactive = InactiveOutsideSubset
	}
	return s
}
