package subset

import (
	"cmp"
	"maps"
	"slices"

	"rowancart/balancer"
	"rowancart/internal/proxy"
)

// Filter makes of what a roster says of all endpoints what one instance is to hear: its own part. An endpoint that leaves the
// part while it is ready is gone to the instance: nothing new goes there, and what is under way ends there. One that drains
// stays known until the roster says that it is gone, and another takes its place at once. It is not safe for concurrent use.
type Filter struct {
	part    Part
	resized bool            // since the latest message
	fresh   map[string]bool // ready since then
	ring    Ring
	all     map[string]proxy.Endpoint
	inside  map[string]proxy.Endpoint // as the instance was told
}

// Part says which endpoints an instance sends to.
type Part struct {
	Place     Place
	Size      int // endpoints; 0: all
	Instances int // of the fleet, as far as is known: with few of them parts are larger, so that each endpoint has leastEach
}

const leastEach = 3 // instances that send to an endpoint, where their number is known

// Of is how many of so many endpoints belong to the part.
func (p Part) Of(n int) int {
	if p.Size == 0 {
		return n
	}
	if p.Instances > 1 {
		return min(max(p.Size, (leastEach*n+p.Instances-1)/p.Instances), n)
	}
	return min(p.Size, n)
}

// NewFilter returns a filter for an instance.
func NewFilter(p Part) *Filter {
	return &Filter{part: p, fresh: map[string]bool{}, all: map[string]proxy.Endpoint{}, inside: map[string]proxy.Endpoint{}}
}

// Resize sets the part. The next message from Hear has what follows from it.
func (f *Filter) Resize(p Part) {
	f.resized = f.resized || p != f.part
	f.part = p
}

// Apply takes a message from a roster and gives what it means to the instance: what has changed, or after a complete list all.
func (f *Filter) Apply(m proxy.EndpointList) proxy.EndpointList {
	heard := map[string]bool{}
	for _, e := range m.Endpoints {
		heard[e.ID] = true
		f.take(e)
	}
	if m.Complete {
		for id := range f.all {
			if !heard[id] {
				f.take(proxy.Endpoint{ID: id, State: balancer.Gone})
			}
		}
	}
	if f.part.Size == 0 && !f.resized {
		clear(f.fresh)
		for _, e := range m.Endpoints {
			if f.inside[e.ID] = e; e.State == balancer.Gone {
				delete(f.inside, e.ID)
			}
		}
		if m.Complete {
			f.inside = maps.Clone(f.all)
		}
		return m
	}
	part := map[string]bool{}
	for _, id := range f.choose() {
		part[id] = true
	}
	f.resized = false
	clear(f.fresh)
	out := proxy.EndpointList{Complete: m.Complete, Unlisted: f.ring.Len() - len(part)}
	for _, id := range slices.Sorted(maps.Keys(f.inside)) {
		now, known := f.all[id]
		switch was := f.inside[id]; {
		case !known, now.State == balancer.Ready && !part[id]:
			was.State = balancer.Gone
			out.Endpoints = append(out.Endpoints, was)
			delete(f.inside, id)
		case now != was || m.Complete:
			out.Endpoints = append(out.Endpoints, now)
			f.inside[id] = now
		}
	}
	for _, id := range slices.Sorted(maps.Keys(part)) {
		if _, in := f.inside[id]; !in {
			out.Endpoints = append(out.Endpoints, f.all[id])
			f.inside[id] = f.all[id]
		}
	}
	if m.Complete { // what is gone need not be said of a complete list
		out.Endpoints = slices.DeleteFunc(out.Endpoints, func(e proxy.Endpoint) bool { return e.State == balancer.Gone })
	}
	return out
}

// All gives all endpoints that the roster has told of, in the order of their ids.
func (f *Filter) All() []proxy.Endpoint {
	return slices.SortedFunc(maps.Values(f.all), func(x, y proxy.Endpoint) int { return cmp.Compare(x.ID, y.ID) })
}

// choose gives the part as it is now.
func (f *Filter) choose() []string {
	size := f.part.Of(f.ring.Len())
	if f.resized {
		return f.ring.From(f.part.Place, size)
	}
	held := func(id string) bool { _, in := f.inside[id]; return in }
	return f.ring.Keep(f.part.Place, size, held, func(id string) bool { return f.fresh[id] })
}

// take notes what is said of one endpoint.
func (f *Filter) take(e proxy.Endpoint) {
	if e.State == balancer.Ready {
		if f.ring.Add(e.ID) {
			f.fresh[e.ID] = true
		}
	} else {
		f.ring.Remove(e.ID)
		delete(f.fresh, e.ID)
	}
	if e.State == balancer.Gone {
		delete(f.all, e.ID)
		return
	}
	f.all[e.ID] = e
}
