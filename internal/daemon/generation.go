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

// generation is one configuration in force, or that requests still go by which came while it was. It is immutable but for
// the count of those.
type generation struct {
	n      int
	conf   *config.Config
	pools  map[string]*pool
	tables map[string]*table // by listener
	users  atomic.Int64      // requests, and listeners that are about to end
	daemon *Daemon
}

// table finds the routes of one listener.
type table struct {
	*route.Table
	routes []*served // by the number that the table gives
}

// served is a route with its parts at hand.
type served struct {
	config.Route
	pool  *pool
	class string // as the pool's engine knows it
	gate  *gate
	meter *routeMeter
}

// gate holds a route's traffic to its limits, across generations.
type gate struct {
	mu sync.Mutex
	l  *ratelimit.Limiter
}

// release counts a user out. The last user of a generation that is not in force any more sees to what it leaves.
func (g *generation) release() {
	if g.users.Add(-1) == 0 {
		select {
		case g.daemon.idle <- struct{}{}:
		default: // that has been told already
		}
	}
}

// className names a route's class to an engine. What differs in any way has another name, so that a request under way keeps
// the class that it came with, whatever becomes of the route.
func className(r config.Route) string {
	return fmt.Sprintf("%s~%016x", r.Class.Name, xxhash.Sum64String(fmt.Sprintf("%+v", r.Module(""))))
}

// swap puts a configuration in force. What it needs is there before the first request goes by it: pools have heard of its
// classes, and listeners are open. d.reloading is held, or nothing runs yet.
func (d *Daemon) swap(c *config.Config, opened []*listener) {
	g := &generation{n: 1, conf: c, pools: map[string]*pool{}, tables: map[string]*table{}, daemon: d}
	g.users.Store(1) // it is in force
	old := d.now
	if old != nil {
		g.n = old.n + 1
		d.retired = append(d.retired, old)
	}
	for _, pc := range c.Pools {
		var p *pool
		if old != nil {
			p = old.pools[pc.Name]
		}
		if p == nil || !sameServers(p.conf.Roster, pc.Roster) {
			p = d.newPool(pc, g)
			d.pools = append(d.pools, p)
			if d.work != nil { // else Run starts it
				d.startPool(p)
			}
		}
		g.pools[pc.Name] = p
	}
	d.settle(g)

	d.mu.Lock()
	names := map[string]bool{}
	for _, r := range c.Routes {
		names[r.Name] = true
		gt := d.gates[r.Name]
		if gt == nil {
			gt = &gate{l: ratelimit.New(r.Policy.Rules())}
			d.gates[r.Name] = gt
		}
		gt.mu.Lock()
		gt.l.Configure(time.Now(), r.Policy.Rules())
		gt.mu.Unlock()
	}
	for name := range d.gates {
		if !names[name] {
			delete(d.gates, name)
			d.meter.forget(name)
		}
	}
	for _, l := range c.Listeners {
		g.tables[l.Name] = d.table(g, l.Name)
	}
	d.now = g
	gone := d.follow(c, opened)
	d.mu.Unlock()

	for _, l := range gone {
		d.end(l)
	}
	if old != nil {
		old.release()
	}
	if d.applied != nil {
		d.applied(c)
	}
}

// table gathers the routes of a listener. d.mu is held.
func (d *Daemon) table(g *generation, listener string) *table {
	t := &table{}
	var matches []route.Match
	for _, r := range g.conf.Routes {
		if len(r.Listeners) > 0 && !slices.Contains(r.Listeners, listener) {
			continue
		}
		matches = append(matches, r.Match)
		t.routes = append(t.routes, &served{Route: r, pool: g.pools[r.Pool], class: className(r), gate: d.gates[r.Name], meter: d.meter.route(r.Name, r.Class.Worth)})
	}
	t.Table = route.New(matches)
	return t
}

// follow makes the listeners those of the configuration, and gives those that it has no more. d.mu is held.
func (d *Daemon) follow(c *config.Config, opened []*listener) (gone []*listener) {
	d.listeners = append(d.listeners, opened...)
	for _, l := range d.listeners {
		if l.last != nil {
			continue
		}
		i := slices.IndexFunc(c.Listeners, func(want config.Listener) bool { return want.Address == l.address })
		if i < 0 {
			l.last = d.retired[len(d.retired)-1]
			l.last.users.Add(1) // it is in force until this returns: its count is above 0
			gone = append(gone, l)
			continue
		}
		l.name = c.Listeners[i].Name
		l.conns.SetMaxConns(c.Limits.Connections / len(c.Listeners))
	}
	return gone
}

// end lets a listener that is not wanted any more finish.
func (d *Daemon) end(l *listener) {
	l.front.StartDraining()
	d.parts.Go(func() error {
		err := ignoreClosed(l.conns.Drain(0, time.Time{}))
		d.mu.Lock()
		d.listeners = slices.DeleteFunc(d.listeners, func(o *listener) bool { return o == l })
		d.mu.Unlock()
		l.last.release()
		return err
	})
}

// settle tells the pools what the generations want of them that are in force or have requests under way. The newest has the
// say in all but which classes there are. d.reloading is held.
func (d *Daemon) settle(newest *generation) {
	classes := map[*pool]map[string]balancer.Class{}
	for _, g := range append([]*generation{newest}, d.retired...) {
		for _, r := range g.conf.Routes {
			p, name := g.pools[r.Pool], className(r)
			if classes[p] == nil {
				classes[p] = map[string]balancer.Class{}
			}
			classes[p][name] = r.Module(name)
		}
	}
	for _, p := range d.pools {
		// In one order, whatever was first: the module's sums over classes must not depend on it.
		list := slices.SortedFunc(maps.Values(classes[p]), func(x, y balancer.Class) int { return cmp.Compare(x.Name, y.Name) })
		p.settle(newest, list)
	}
}

// clean forgets generations that nobody goes by any more, and ends the pools that only they had. d.reloading is held.
func (d *Daemon) clean() {
	before := len(d.retired)
	d.retired = slices.DeleteFunc(d.retired, func(g *generation) bool { return g.users.Load() == 0 })
	if len(d.retired) == before {
		return
	}
	wanted := map[*pool]bool{}
	for _, g := range append([]*generation{d.now}, d.retired...) {
		for _, p := range g.pools {
			wanted[p] = true
		}
	}
	d.pools = slices.DeleteFunc(d.pools, func(p *pool) bool {
		if !wanted[p] {
			p.stop()
			d.log.Info("pool ended", "pool", p.name)
		}
		return !wanted[p]
	})
	d.settle(d.now)
}
