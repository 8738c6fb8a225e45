package daemon

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"rowancart/balancer"
	"rowancart/internal/config"
	"rowancart/internal/logkey"
	"rowancart/internal/route"
)

// generation is a configuration that is in force, or one that was replaced but is still in use by
// requests or listeners. Apart from the count of its users it is immutable.
//
// The current generation is retired when the next one is applied, and removed once it has no users.
// Its users are:
//   - the daemon, while the generation is current
//   - each request that it routed, until the request has been answered
//   - each listener that the next generation removed, until the listener has drained
type generation struct {
	number int
	config *config.Config
	pools  map[string]*pool       // by name
	tables map[string]*routeTable // by listener name
	users  atomic.Int64
	unused chan<- struct{} // receives a value when the last user has released the generation
}

// routeTable finds the routes of one listener.
type routeTable struct {
	*route.Table
	entries []*routeEntry // by the index that Table.Find returns
}

// routeEntry is a route of a generation, with the route's pool, limiter and metrics.
type routeEntry struct {
	config.Route
	pool    *pool
	class   string // name of the route's class within the pool, as className returns it
	limiter *routeLimiter
	metrics *routeMetrics
}

// acquire adds a user. The generation must already have one, unless it is new.
func (g *generation) acquire() { g.users.Add(1) }

// release removes a user. If it was the last one, the daemon is notified and removes the
// generation.
func (g *generation) release() {
	if g.users.Add(-1) > 0 {
		return
	}
	select {
	case g.unused <- struct{}{}:
	default: // a notification is already pending
	}
}

// className returns the name of a route's class within its pool. The name contains a hash of all
// settings that the balancer gets from the route's class and policy. Classes that differ in any
// setting thus have different names, and a request in flight keeps the settings that it had on
// arrival, even if a reload changes the class or the policy of the route.
func className(r config.Route) string {
	return fmt.Sprintf("%s~%016x", r.Class.Name, xxhash.Sum64String(fmt.Sprintf("%+v", r.BalancerClass(""))))
}

// apply puts a configuration in force. Before the first request is routed by it, its pools have its
// classes, and its new listeners, which are passed in opened, are open. The caller must hold
// d.reloadMu, except before Run.
func (d *Daemon) apply(c *config.Config, opened []*listener) {
	old := d.current
	g := newGeneration(c, old, d.retired.unused)
	if old != nil {
		d.retired.add(old)
	}
	d.addPools(g, old)
	d.configurePools(g)
	d.memory.SetLimit(requestMemory(c))

	d.mu.Lock()
	for _, route := range d.limiters.update(time.Now(), c.Routes) {
		d.metrics.deleteRoute(route)
	}
	for _, l := range c.Listeners {
		g.tables[l.Name] = d.newRouteTable(g, l.Name)
	}
	d.current = g
	removed := d.updateListeners(c, opened, old)
	d.mu.Unlock()

	for _, l := range removed {
		d.drainRemoved(l)
	}
	if old != nil {
		old.release()
	}
	if d.onApply != nil {
		d.onApply(c)
	}
}

// newGeneration returns the generation of a configuration. It follows the generation old, which is
// nil for the first. Its one user is the daemon, which releases it when the next one is applied.
func newGeneration(c *config.Config, old *generation, unused chan<- struct{}) *generation {
	g := &generation{
		number: 1,
		config: c,
		pools:  map[string]*pool{},
		tables: map[string]*routeTable{},
		unused: unused,
	}
	if old != nil {
		g.number = old.number + 1
	}
	g.acquire()
	return g
}

// addPools sets the pools of the generation g. It reuses a pool of the previous generation, old, if
// canReusePool allows that, and creates a new one otherwise.
func (d *Daemon) addPools(g, old *generation) {
	for _, pc := range g.config.Pools {
		var p *pool
		if old != nil {
			p = old.pools[pc.Name]
		}
		if p == nil || !canReusePool(p.settings.config.Source, pc.Source) {
			replaced := p
			p = d.newPool(pc, g)
			if replaced != nil {
				p.replaced.set(append(replaced.replaced.all(), replaced))
			}
			d.pools = append(d.pools, p)
			if d.runCtx != nil { // otherwise Run starts the pool
				d.startPool(p)
			}
		}
		g.pools[pc.Name] = p
	}
}

// newRouteTable returns the table of the routes that a listener serves. The caller must hold d.mu.
func (d *Daemon) newRouteTable(g *generation, listener string) *routeTable {
	t := &routeTable{}
	var matches []route.Match
	for _, r := range g.config.Routes {
		if len(r.Listeners) > 0 && !slices.Contains(r.Listeners, listener) {
			continue
		}
		matches = append(matches, r.Match)
		t.entries = append(t.entries, &routeEntry{
			Route:   r,
			pool:    g.pools[r.Pool],
			class:   className(r),
			limiter: d.limiters[r.Name],
			metrics: d.metrics.forRoute(r.Name, r.Class.PriorityWeight),
		})
	}
	t.Table = route.New(matches)
	return t
}

// configurePools configures each pool for all generations that have users. A pool gets the classes
// of all these generations, and its other settings from the newest. The caller must hold
// d.reloadMu, except before Run.
func (d *Daemon) configurePools(newest *generation) {
	classes := classesByPool(append([]*generation{newest}, d.retired.generations...))
	for _, p := range d.pools {
		p.configure(newest, classes[p])
	}
}

// classesByPool returns the classes of each pool in the given generations. They are sorted by name
// because the balancer computes sums over the classes in this order, which must therefore not
// depend on the order of the generations.
func classesByPool(generations []*generation) map[*pool][]balancer.Class {
	byName := map[*pool]map[string]balancer.Class{}
	for _, g := range generations {
		for _, r := range g.config.Routes {
			p, name := g.pools[r.Pool], className(r)
			if byName[p] == nil {
				byName[p] = map[string]balancer.Class{}
			}
			byName[p][name] = r.BalancerClass(name)
		}
	}
	sorted := map[*pool][]balancer.Class{}
	for p, classes := range byName {
		compareNames := func(x, y balancer.Class) int { return cmp.Compare(x.Name, y.Name) }
		sorted[p] = slices.SortedFunc(maps.Values(classes), compareNames)
	}
	return sorted
}

// retiredGenerations contains the generations that are no longer in force but still have users. It
// is guarded by Daemon.reloadMu.
type retiredGenerations struct {
	generations []*generation
	unused      chan struct{} // receives a value when the last user of a generation has released it
}

func newRetiredGenerations() retiredGenerations {
	return retiredGenerations{unused: make(chan struct{}, 1)}
}

// add adds a generation that is no longer in force.
func (r *retiredGenerations) add(g *generation) { r.generations = append(r.generations, g) }

// removeUnused removes the generations without users, and reports whether there were any.
func (r *retiredGenerations) removeUnused() bool {
	before := len(r.generations)
	r.generations = slices.DeleteFunc(r.generations, func(g *generation) bool { return g.users.Load() == 0 })
	return len(r.generations) < before
}

// hasPool reports whether one of the generations uses p.
func (r *retiredGenerations) hasPool(p *pool) bool {
	return slices.ContainsFunc(r.generations, func(g *generation) bool { return g.hasPool(p) })
}

// hasPool reports whether the generation uses p, and not another pool of the same name.
func (g *generation) hasPool(p *pool) bool { return g.pools[p.name] == p }

// removeUnusedGenerations removes retired generations without users, and stops the pools that no
// other generation uses.
func (d *Daemon) removeUnusedGenerations() {
	d.reloadMu.Lock()
	defer d.reloadMu.Unlock()
	if !d.retired.removeUnused() {
		return
	}
	d.pools = slices.DeleteFunc(d.pools, func(p *pool) bool {
		isUsed := d.current.hasPool(p) || d.retired.hasPool(p)
		if !isUsed {
			p.stop()
			d.log.Info("pool removed", logkey.Pool, p.name)
		}
		return !isUsed
	})
	for _, p := range d.pools {
		p.replaced.retain(d.pools)
	}
	d.configurePools(d.current)
}
