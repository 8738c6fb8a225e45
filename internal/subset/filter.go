package subset

import (
	"cmp"
	"maps"
	"slices"

	"rowancart/balancer"
	"rowancart/internal/proxy"
)

// Filter turns the updates of an endpoint list into updates for one instance, with its subset of
// the endpoints only.
//
// An endpoint that leaves the subset while it is ready is balancer.Removed to the instance: it gets
// nothing new, and requests in flight end there. A draining endpoint of the subset stays known
// until the list removes it, and another replaces it at once.
//
// A Filter is not safe for concurrent use.
type Filter struct {
	part      Part
	resized   bool            // since the latest update
	added     map[string]bool // ready endpoints that are new since the latest update
	ring      Ring            // ready endpoints
	all       map[string]proxy.Endpoint
	delivered map[string]proxy.Endpoint // as the instance knows them
}

// Part says which subset of the endpoints an instance sends to.
type Part struct {
	Place     Place
	Size      int // endpoints; 0: all
	Instances int // of the fleet, if known: subsets of few instances are larger, so that each endpoint is in some
}

// minInstancesPerEndpoint is how many instances send to each endpoint, where the number of
// instances is known.
const minInstancesPerEndpoint = 3

// Of returns the size of the subset of n endpoints.
func (p Part) Of(n int) int {
	if p.Size == 0 {
		return n
	}
	if p.Instances > 1 {
		covering := (minInstancesPerEndpoint*n + p.Instances - 1) / p.Instances
		return min(max(p.Size, covering), n)
	}
	return min(p.Size, n)
}

// NewFilter returns a filter that knows no endpoint yet.
func NewFilter(p Part) *Filter {
	return &Filter{
		part:      p,
		added:     map[string]bool{},
		all:       map[string]proxy.Endpoint{},
		delivered: map[string]proxy.Endpoint{},
	}
}

// SetPart changes the subset. The result of the next Apply has what that changes.
func (f *Filter) SetPart(p Part) {
	f.resized = f.resized || p != f.part
	f.part = p
}

// Apply takes an update of the endpoint list and returns the update for the instance. That is
// complete if the update is.
func (f *Filter) Apply(update proxy.EndpointList) proxy.EndpointList {
	f.record(update)
	if f.part.Size == 0 && !f.resized {
		f.deliverAll(update)
		return update
	}
	selected := f.selectEndpoints()
	out := proxy.EndpointList{Complete: update.Complete, Unlisted: f.ring.Len() - len(selected)}
	out.Endpoints = f.updateDelivered(selected, update.Complete)
	out.Endpoints = append(out.Endpoints, f.deliverNew(selected)...)
	if update.Complete { // which lists no endpoint that is gone
		out.Endpoints = slices.DeleteFunc(out.Endpoints, func(e proxy.Endpoint) bool { return e.State == balancer.Removed })
	}
	return out
}

// Endpoints returns all endpoints of the list, sorted by id.
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

// deliverAll records that an update is delivered as it is.
func (f *Filter) deliverAll(update proxy.EndpointList) {
	clear(f.added)
	if update.Complete {
		f.delivered = maps.Clone(f.all)
		return
	}
	for _, e := range update.Endpoints {
		if f.delivered[e.ID] = e; e.State == balancer.Removed {
			delete(f.delivered, e.ID)
		}
	}
}

// selectEndpoints returns the ids of the subset as it is now.
func (f *Filter) selectEndpoints() map[string]bool {
	size := f.part.Of(f.ring.Len())
	var ids []string
	if f.resized {
		ids = f.ring.From(f.part.Place, size)
	} else {
		isDelivered := func(id string) bool { _, ok := f.delivered[id]; return ok }
		isAdded := func(id string) bool { return f.added[id] }
		ids = f.ring.Select(f.part.Place, size, isDelivered, isAdded)
	}
	f.resized = false
	clear(f.added)
	selected := map[string]bool{}
	for _, id := range ids {
		selected[id] = true
	}
	return selected
}

// updateDelivered returns the endpoints that the instance knows and that have changed or are gone
// for it; with complete also those that have not changed.
func (f *Filter) updateDelivered(selected map[string]bool, complete bool) []proxy.Endpoint {
	var updates []proxy.Endpoint
	for _, id := range slices.Sorted(maps.Keys(f.delivered)) {
		current, listed := f.all[id]
		known := f.delivered[id]
		leftSubset := current.State == balancer.Ready && !selected[id]
		switch {
		case !listed || leftSubset:
			known.State = balancer.Removed
			updates = append(updates, known)
			delete(f.delivered, id)
		case current != known || complete:
			updates = append(updates, current)
			f.delivered[id] = current
		}
	}
	return updates
}

// deliverNew returns the endpoints of the subset that the instance does not know yet.
func (f *Filter) deliverNew(selected map[string]bool) []proxy.Endpoint {
	var updates []proxy.Endpoint
	for _, id := range slices.Sorted(maps.Keys(selected)) {
		if _, known := f.delivered[id]; !known {
			updates = append(updates, f.all[id])
			f.delivered[id] = f.all[id]
		}
	}
	return updates
}
