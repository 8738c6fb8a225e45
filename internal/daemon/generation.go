package daemon

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"rowancart/balancer"
	"rowancart/internal/config"
	"rowancart/internal/ratelimit"
	"rowancart/internal/route"
)

// generation is one configuration that is in force, or that was when requests came which are still
// in flight. It is immutable but for the count of its users.
//
// A generation is current, then retired when the next one is applied, and removed once it has no
// users. Its users are the daemon while it is current, each request that it routed, and each
// listener that drains since its successor.
type generation struct {
	number int
	config *config.Config
	pools  map[string]*pool       // by name
	tables map[string]*routeTable // by listener
	users  atomic.Int64
	daemon *Daemon
}

// routeTable finds the routes of one listener.
type routeTable struct {
	*route.Table
	entries []*routeEntry // by the index that the table returns
}

// routeEntry is a route of a generation with all that serves it.
type routeEntry struct {
	config.Route
	pool    *pool
	class   string // name of the route's class in the pool
	limiter *routeLimiter
	metrics *routeMetrics
}

// routeLimiter holds a route to its limits, across generations.
type routeLimiter struct {
	mu      sync.Mutex
	limiter *ratelimit.Limiter
}

func (l *routeLimiter) acquire(now time.Time, tenant string) (ratelimit.Permit, ratelimit.Exceeded) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Acquire(now, tenant)
}

func (l *routeLimiter) release(permit ratelimit.Permit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Release(permit)
}

func (l *routeLimiter) configure(now time.Time, limits ratelimit.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Configure(now, limits)
}

// usage returns how many requests are in flight, and how many tenants are tracked.
func (l *routeLimiter) usage() (inFlight, tenants int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Usage()
}

// release ends one use. With the last use of a retired generation the daemon is notified to remove
// it.
func (g *generation) release() {
	if g.users.Add(-1) == 0 {
		select {
		case g.daemon.generationIdle <- struct{}{}:
		default: // notified already
		}
	}
}

// className returns the name of a route's class in its pool. Classes that differ in any way have
// different names, so that a request in flight keeps the class that it came with, whatever becomes
// of the route.
func className(r config.Route) string {
	return fmt.Sprintf("%s~%016x", r.Class.Name, xxhash.Sum64String(fmt.Sprintf("%+v", r.BalancerClass(""))))
}

// apply puts a configuration in force. What it needs is ready before the first request is routed by
// it: pools are configured with its classes, and listeners are open. The caller must hold
// d.reloadMu, except before Run.
func (d *Daemon) apply(c *config.Config, opened []*listener) {
	g := &generation{number: 1, config: c, pools: map[string]*pool{}, tables: map[string]*routeTable{}, daemon: d}
	g.users.Store(1) // the daemon, while it is current
	old := d.current
	if old != nil {
		g.number = old.number + 1
		d.retired = append(d.retired, old)
	}
	d.addPools(g, old)
	d.configurePools(g)

	d.mu.Lock()
	d.syncLimiters(c)
	for _, l := range c.Listeners {
		g.tables[l.Name] = d.newRouteTable(g, l.Name)
	}
	d.current = g
	removed := d.syncListeners(c, opened)
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

// addPools gives a generation its pools: those of the generation before it where they serve the
// same endpoints, else new ones.
func (d *Daemon) addPools(g, old *generation) {
	for _, pc := range g.config.Pools {
		var p *pool
		if old != nil {
			p = old.pools[pc.Name]
		}
		if p == nil || !servesSameEndpoints(p.config.Source, pc.Source) {
			p = d.newPool(pc, g)
			d.pools = append(d.pools, p)
			if d.runCtx != nil { // otherwise Run starts it
				d.startPool(p)
			}
		}
		g.pools[pc.Name] = p
	}
}

// syncLimiters makes the limiters those of the configuration's routes. The caller must hold d.mu.
func (d *Daemon) syncLimiters(c *config.Config) {
	routes := map[string]bool{}
	for _, r := range c.Routes {
		routes[r.Name] = true
		limits := r.Policy.Limits()
		l := d.limiters[r.Name]
		if l == nil {
			l = &routeLimiter{limiter: ratelimit.New(limits)}
			d.limiters[r.Name] = l
		}
		l.configure(time.Now(), limits)
	}
	for name := range d.limiters {
		if !routes[name] {
			delete(d.limiters, name)
			d.metrics.deleteRoute(name)
		}
	}
}

// newRouteTable collects the routes of a listener. The caller must hold d.mu.
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

// configurePools configures each pool for all generations that have users. The newest decides all
// but the classes, which are those of all of them. The caller must hold d.reloadMu, except before
// Run.
func (d *Daemon) configurePools(newest *generation) {
	classes := map[*pool]map[string]balancer.Class{}
	for _, g := range append([]*generation{newest}, d.retired...) {
		for _, r := range g.config.Routes {
			p, name := g.pools[r.Pool], className(r)
			if classes[p] == nil {
				classes[p] = map[string]balancer.Class{}
			}
			classes[p][name] = r.BalancerClass(name)
		}
	}
	for _, p := range d.pools {
		// The order must not depend on that of the generations: the balancer sums over classes in it.
		byName := func(x, y balancer.Class) int { return cmp.Compare(x.Name, y.Name) }
		p.configure(newest, slices.SortedFunc(maps.Values(classes[p]), byName))
	}
}

// removeUnusedGenerations forgets retired generations without users, and stops the pools that only
// they had. The caller must hold d.reloadMu.
func (d *Daemon) removeUnusedGenerations() {
	before := len(d.retired)
	d.retired = slices.DeleteFunc(d.retired, func(g *generation) bool { return g.users.Load() == 0 })
	if len(d.retired) == before {
		return
	}
	used := map[*pool]bool{}
	for _, g := range append([]*generation{d.current}, d.retired...) {
		for _, p := range g.pools {
			used[p] = true
		}
	}
	d.pools = slices.DeleteFunc(d.pools, func(p *pool) bool {
		if !used[p] {
			p.stop()
			d.log.Info("pool ended", "pool", p.name)
		}
		return !used[p]
	})
	d.configurePools(d.current)
}
