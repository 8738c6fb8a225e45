package daemon

import (
	"slices"
	"sync"

	"rowancart/balancer"
	"rowancart/internal/proxy"
)

// replacedPools are the pools of the same name that reloads have replaced by a pool and that still
// have requests. They hear from the pool's source about the endpoints that both know: their own
// source may have moved, and say nothing more. It is safe for concurrent use.
type replacedPools struct {
	mu    sync.Mutex
	pools []*pool
}

// set replaces the pools.
func (r *replacedPools) set(pools []*pool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pools = pools
}

// retain removes the pools that are not among those in use.
func (r *replacedPools) retain(inUse []*pool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pools = slices.DeleteFunc(r.pools, func(p *pool) bool { return !slices.Contains(inUse, p) })
}

// all returns the pools.
func (r *replacedPools) all() []*pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.pools)
}

// endpointKey identifies an endpoint in the lists of two sources.
type endpointKey struct{ id, addr string }

// keysOf returns the keys of endpoints.
func keysOf(endpoints []proxy.Endpoint) map[endpointKey]bool {
	keys := make(map[endpointKey]bool, len(endpoints))
	for _, e := range endpoints {
		keys[endpointKey{e.ID, e.Addr}] = true
	}
	return keys
}

// sharedChanges returns the changes that follow for a pool with the endpoints own from a list
// update of another pool, which had the endpoints before. An endpoint that a complete list does not
// contain is removed if the other pool had it; otherwise the other source does not know it.
func sharedChanges(own, before []proxy.Endpoint, update proxy.EndpointList) []proxy.Endpoint {
	known, had := keysOf(own), keysOf(before)
	var changes []proxy.Endpoint
	listed := map[string]bool{}
	for _, e := range update.Endpoints {
		listed[e.ID] = true
		key := endpointKey{e.ID, e.Addr}
		isRemoved := e.State == balancer.Removed // its address may be missing
		if known[key] || isRemoved && isShared(e.ID, own, had) {
			changes = append(changes, e)
		}
	}
	if !update.Complete {
		return changes
	}
	for _, e := range own {
		if !listed[e.ID] && had[endpointKey{e.ID, e.Addr}] {
			changes = append(changes, proxy.Endpoint{ID: e.ID, State: balancer.Removed})
		}
	}
	return changes
}

// isShared reports whether the endpoint with an ID is in own and in had, with the same address.
func isShared(id string, own []proxy.Endpoint, had map[endpointKey]bool) bool {
	return slices.ContainsFunc(own, func(e proxy.Endpoint) bool {
		return e.ID == id && had[endpointKey{e.ID, e.Addr}]
	})
}

// updateReplaced applies an update from the source of p to the pools that p has replaced. before
// are the endpoints of p before the update.
func (p *pool) updateReplaced(before []proxy.Endpoint, update proxy.EndpointList) {
	for _, old := range p.replaced.all() {
		changes := sharedChanges(old.filter.endpoints(), before, update)
		if len(changes) > 0 {
			old.updateEndpoints(proxy.EndpointList{Endpoints: changes})
		}
	}
}
