package proxy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rowancart/balancer"
)

// endpointSet holds the endpoint list of a Pool, the endpoints that operators have disabled, and
// the start times of endpoints. It is guarded by Pool.mu.
type endpointSet struct {
	listed   map[string]Endpoint
	disabled map[string]bool // ids, including those of endpoints that are not listed
	starts   startTimes
}

func newEndpointSet(c clock) endpointSet {
	return endpointSet{
		listed:   map[string]Endpoint{},
		disabled: map[string]bool{},
		starts:   startTimes{clock: c, byID: map[string]listedStart{}},
	}
}

// balancerEndpoint converts an entry of an endpoint list to the Balancer's type, and records the
// endpoint's start time.
func (s *endpointSet) balancerEndpoint(now time.Duration, e Endpoint) balancer.Endpoint {
	return balancer.Endpoint{
		ID: e.ID, State: e.State, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell,
		Started: s.starts.instant(now, e.ID, e.StartedMs),
	}
}

// set adds an endpoint to the listed ones, or replaces the one with the same id.
func (s *endpointSet) set(e Endpoint) { s.listed[e.ID] = e }

// remove removes an endpoint from the listed ones. If it is disabled, it stays so.
func (s *endpointSet) remove(id string) { delete(s.listed, id) }

// sorted returns the listed endpoints, sorted by id.
func (s *endpointSet) sorted() []Endpoint {
	return slices.SortedFunc(maps.Values(s.listed), func(x, y Endpoint) int { return cmp.Compare(x.ID, y.ID) })
}

// idsNotIn returns the ids of the listed endpoints that are missing from a new complete list.
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

// acceptsRequests reports whether new requests may be sent to an endpoint.
func (s *endpointSet) acceptsRequests(id string) bool {
	e, isListed := s.listed[id]
	return isListed && e.State == balancer.Ready && !s.disabled[id]
}

// startTime returns when an endpoint started, as a time.Time with a monotonic clock reading.
func (s *endpointSet) startTime(id string) time.Time {
	return s.starts.clock.time(s.starts.byID[id].at)
}

// isSameProcess reports whether an endpoint from an earlier list is still listed with the same
// address and start time, which means that it is still the same process.
func (s *endpointSet) isSameProcess(earlier Endpoint) bool {
	current, isListed := s.listed[earlier.ID]
	return isListed && earlier.Addr == current.Addr && earlier.StartedMs == current.StartedMs
}

// addrs returns the addresses of the listed endpoints, by id.
func (s *endpointSet) addrs() map[string]string {
	addrs := make(map[string]string, len(s.listed))
	for id, e := range s.listed {
		addrs[id] = e.Addr
	}
	return addrs
}
