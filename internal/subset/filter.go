package subset

import (
	"cmp"
	"maps"
	"slices"

	"rowancart/balancer"
	"rowancart/internal/proxy"
)

// Filter reduces the updates of an endpoint list to updates for one instance, which contain only
// the endpoints in its subset.
//
// An endpoint that leaves the subset while it is ready is delivered as balancer.Removed: it gets no
// new requests, and those in flight complete. When an endpoint in the subset begins to drain,
// another one replaces it at once. The draining endpoint stays in the instance's list until the
// endpoint list removes it.
//
// A Filter is not safe for concurrent use.
type Filter struct {
	spec        Spec
	specChanged bool                      // whether spec was changed since the latest update
	added       map[string]bool           // endpoints added to ring by the current update
	ring        Ring                      // ready endpoints
	all         map[string]proxy.Endpoint // the complete list, by id
	delivered   map[string]proxy.Endpoint // endpoints as last delivered to the instance, by id
}

// Spec determines the subset of an instance.
type Spec struct {
	Position Position
	Size     int // number of endpoints; 0: all
	// Instances is the number of instances of the fleet, if known. If it is small, but more than 1,
	// subsets are larger than Size, so that together they cover all endpoints.
	Instances int
}

// minInstancesPerEndpoint is the minimum number of instances for each endpoint, on average, if
// several instances are known. Each of 2 or 3 instances gets all endpoints.
const minInstancesPerEndpoint = 3

// SizeOf returns the size of the subset if there are n endpoints.
func (s Spec) SizeOf(n int) int {
	if s.Size == 0 {
		return n
	}
	if s.Instances > 1 {
		minSize := (minInstancesPerEndpoint*n + s.Instances - 1) / s.Instances
		return min(max(s.Size, minSize), n)
	}
	return min(s.Size, n)
}

// NewFilter returns a filter with an empty endpoint list.
func NewFilter(s Spec) *Filter {
	return &Filter{
		spec:      s,
		added:     map[string]bool{},
		all:       map[string]proxy.Endpoint{},
		delivered: map[string]proxy.Endpoint{},
	}
}

// SetSpec changes the subset. The next Apply delivers the change.
func (f *Filter) SetSpec(s Spec) {
	f.specChanged = f.specChanged || s != f.spec
	f.spec = s
}

// Apply records an update of the endpoint list and returns the resulting update for the instance.
// If update is a complete list, the result is complete too.
func (f *Filter) Apply(update proxy.EndpointList) proxy.EndpointList {
	f.record(update)
	if f.spec.Size == 0 && !f.specChanged {
		f.deliverAll(update)
		return update
	}
	selected := f.selectEndpoints()
	out := proxy.EndpointList{Complete: update.Complete, Unlisted: f.ring.Len() - len(selected)}
	out.Endpoints = f.updateDelivered(selected, update.Complete)
	out.Endpoints = append(out.Endpoints, f.deliverNew(selected)...)
	if update.Complete { // complete lists contain no removed endpoints
		out.Endpoints = slices.DeleteFunc(out.Endpoints, func(e proxy.Endpoint) bool { return e.State == balancer.Removed })
	}
	return out
}

// Endpoints returns all endpoints of the list, in the subset or not, sorted by id.
func (f *Filter) Endpoints() []proxy.Endpoint {
	return slices.SortedFunc(maps.Values(f.all), func(x, y proxy.Endpoint) int { return cmp.Compare(x.ID, y.ID) })
}

// record applies an update to the list of all endpoints.
func (f *Filter) record(update proxy.EndpointList) {
	listed := map[string]bool{}
	for _, e := range update.Endpoints {
		listed[e.ID] = true
		f.recordEndpoint(e)
	}
	if !update.Complete {
		return
	}
	for id := range f.all {
		if !listed[id] {
			f.recordEndpoint(proxy.Endpoint{ID: id, State: balancer.Removed})
		}
	}
}

func (f *Filter) recordEndpoint(e proxy.Endpoint) {
	if e.State == balancer.Ready {
		if f.ring.Add(e.ID) {
			f.added[e.ID] = true
		}
	} else {
		f.ring.Remove(e.ID)
		delete(f.added, e.ID)
	}
	if e.State == balancer.Removed {
		delete(f.all, e.ID)
		return
	}
	f.all[e.ID] = e
}

// deliverAll records that an update is delivered to the instance unchanged.
func (f *Filter) deliverAll(update proxy.EndpointList) {
	clear(f.added)
	if update.Complete {
		f.delivered = maps.Clone(f.all)
		return
	}
	for _, e := range update.Endpoints {
		if e.State == balancer.Removed {
			delete(f.delivered, e.ID)
		} else {
			f.delivered[e.ID] = e
		}
	}
}

// selectEndpoints selects the subset after the latest update, and returns the ids of its endpoints.
func (f *Filter) selectEndpoints() map[string]bool {
	size := f.spec.SizeOf(f.ring.Len())
	var ids []string
	if f.specChanged {
		ids = f.ring.From(f.spec.Position, size)
	} else {
		isDelivered := func(id string) bool { _, ok := f.delivered[id]; return ok }
		isAdded := func(id string) bool { return f.added[id] }
		ids = f.ring.Select(f.spec.Position, size, isDelivered, isAdded)
	}
	f.specChanged = false
	clear(f.added)
	selected := map[string]bool{}
	for _, id := range ids {
		selected[id] = true
	}
	return selected
}

// updateDelivered returns the entries for endpoints that were delivered earlier: those that have
// changed or have left the subset; if complete, also the unchanged ones.
func (f *Filter) updateDelivered(selected map[string]bool, complete bool) []proxy.Endpoint {
	var updates []proxy.Endpoint
	for _, id := range slices.Sorted(maps.Keys(f.delivered)) {
		current, listed := f.all[id]
		last := f.delivered[id]
		leftSubset := current.State == balancer.Ready && !selected[id]
		switch {
		case !listed || leftSubset:
			last.State = balancer.Removed
			updates = append(updates, last)
			delete(f.delivered, id)
		case current != last || complete:
			updates = append(updates, current)
			f.delivered[id] = current
		}
	}
	return updates
}

// deliverNew returns the entries for endpoints in the subset that were not delivered yet.
func (f *Filter) deliverNew(selected map[string]bool) []proxy.Endpoint {
	var updates []proxy.Endpoint
	for _, id := range slices.Sorted(maps.Keys(selected)) {
		if _, delivered := f.delivered[id]; !delivered {
			updates = append(updates, f.all[id])
			f.delivered[id] = f.all[id]
		}
	}
	return updates
}
