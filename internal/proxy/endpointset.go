package proxy

import (
	"maps"
	"time"

	"rowancart/balancer"
)

// endpointSet is the endpoints of a Pool as they are listed, those that operators have disabled,
// and when the listed ones started. Pool.mu guards it.
type endpointSet struct {
	listed   map[string]Endpoint
	disabled map[string]bool // ids, listed or not
	starts   startTimes
}

func newEndpointSet(c clock) endpointSet {
	return endpointSet{
		listed:   map[string]Endpoint{},
		disabled: map[string]bool{},
		starts:   startTimes{clock: c, byID: map[string]listedStart{}},
	}
}

// entry returns an endpoint of a list as the Balancer takes it, and notes its start.
func (s *endpointSet) entry(now time.Duration, e Endpoint) balancer.Endpoint {
	return balancer.Endpoint{
		ID: e.ID, State: e.State, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell,
		Started: s.starts.instant(now, e.ID, e.StartedMs),
	}
}

// set adds a listed endpoint, or replaces the one of its id.
func (s *endpointSet) set(e Endpoint) { s.listed[e.ID] = e }

// remove removes an endpoint from those that are listed. It stays disabled if it is.
func (s *endpointSet) remove(id string) { delete(s.listed, id) }

// idsNotIn returns the ids of the endpoints that are listed here and not in a complete list.
func (s *endpointSet) idsNotIn(list []Endpoint) []string {
	missing := maps.Clone(s.listed)
	for _, e := range list {
		delete(missing, e.ID)
	}
	ids := make([]string, 0, len(missing))
	for id := range missing {
		ids = append(ids, id)
	}
	return ids
}

// acceptsRequests reports whether an endpoint takes new requests.
func (s *endpointSet) acceptsRequests(id string) bool {
	e, isListed := s.listed[id]
	return isListed && e.State == balancer.Ready && !s.disabled[id]
}

// startTime returns when an endpoint started, as a time with a monotonic reading.
func (s *endpointSet) startTime(id string) time.Time {
	return s.starts.clock.time(s.starts.byID[id].at)
}

// isSameProcess reports whether an endpoint of an earlier list is listed now at the same address
// and with the same start.
func (s *endpointSet) isSameProcess(earlier Endpoint) bool {
	current, isListed := s.listed[earlier.ID]
	return isListed && earlier.Addr == current.Addr && earlier.StartedMs == current.StartedMs
}

// addrs returns the addresses of the listed endpoints by id.
func (s *endpointSet) addrs() map[string]string {
	addrs := make(map[string]string, len(s.listed))
	for id, e := range s.listed {
		addrs[id] = e.Addr
	}
	return addrs
}
