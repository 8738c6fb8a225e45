package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"reflect"
	"slices"
	"sync"
	"time"

	"rowancart/balancer"
	"rowancart/internal/config"
	"rowancart/internal/discovery/file"
	"rowancart/internal/discovery/platform"
	"rowancart/internal/proxy"
	"rowancart/internal/subset"
)

const (
	resolution    = 2 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// pool is an engine and the roster that it hears.
type pool struct {
	name   string
	engine *proxy.Pool
	cancel context.CancelFunc // ends the engine; nil before it runs
	log    *slog.Logger
	seed   uint64

	old    *poolState // what the process before this one knew; nil: nothing
	oldAgo time.Duration

	// The daemon's reloads guard these:
	work    context.Context
	conf    config.Pool
	classes []balancer.Class
	fleet   config.Fleet
	tenants []balancer.Tenant
	follow  *following // nil: a static roster

	part struct {
		sync.Mutex // also from one message's filtering to its delivery: they must not overtake each other
		*subset.Filter
	}

	mu  sync.Mutex
	bad string // why the roster as it is now is not in force
}

// following is a roster that changes by itself.
type following struct {
	cancel context.CancelFunc
	ended  chan struct{}
}

func (f *following) stop() {
	if f != nil {
		f.cancel()
		<-f.ended
	}
}

// sameServers tells whether a pool whose roster becomes another one is still the same pool. One that lists none of the servers
// that it had is another under the same name: requests that were meant for the old servers must not go to the new ones.
func sameServers(was, is config.Roster) bool {
	if len(was.Static) > 0 && len(is.Static) > 0 {
		return slices.ContainsFunc(was.Static, func(e config.Endpoint) bool {
			return slices.ContainsFunc(is.Static, func(o config.Endpoint) bool { return o.ID == e.ID && o.Address == e.Address })
		})
	}
	return was.File == is.File && was.Platform == is.Platform
}

// newPool makes a pool that knows its static roster, or nobody yet.
func (d *Daemon) newPool(c config.Pool, g *generation) *pool {
	p := &pool{name: c.Name, conf: c, seed: d.seed, log: d.log.With("pool", c.Name)}
	p.fleet, p.tenants = g.conf.Fleet, g.conf.Tenants
	p.old, p.oldAgo = d.old[c.Name], d.oldAgo
	p.make()
	return p
}

// make makes the engine, which begins where the snapshot says.
func (p *pool) make() {
	known := static(p.conf.Roster)
	if len(known.Endpoints) == 0 && p.old != nil { // the roster has yet to speak
		known.Endpoints = p.old.Roster
		p.mu.Lock()
		p.bad = fmt.Sprintf("it is as a snapshot told it, %v old at the start", p.oldAgo.Round(time.Second))
		p.mu.Unlock()
	}
	p.part.Filter = subset.NewFilter(p.place())
	p.engine = proxy.New(p.settings(), p.part.Apply(known), p.options())
	if p.old != nil {
		p.engine.Restore(p.old.Memory, p.oldAgo)
	}
}

// place is this instance's part of the endpoints.
func (p *pool) place() subset.Part {
	out := subset.Part{Place: subset.Place(p.seed), Size: p.conf.Subset, Instances: p.fleet.Instances}
	switch {
	case p.fleet.Name != "":
		out.Place = subset.PlaceNamed(p.fleet.Name)
	case p.fleet.Instances > 1: // else it knows nothing of others, and may have some
		out.Place = subset.PlaceOf(p.fleet.Index)
	}
	return out
}

// hear passes on what the roster says of this instance's part.
func (p *pool) hear(m proxy.EndpointList) {
	p.part.Lock()
	defer p.part.Unlock()
	p.engine.UpdateEndpoints(p.part.Apply(m))
	p.told(nil)
}

func static(r config.Roster) proxy.EndpointList {
	out := proxy.EndpointList{Complete: true}
	for _, e := range r.Static {
		out.Endpoints = append(out.Endpoints, proxy.Endpoint{ID: e.ID, Addr: e.Address, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell})
	}
	return out
}

func (p *pool) settings() balancer.Settings {
	index := p.fleet.Index
	if p.fleet.Name != "" { // it knows no number: one of 0 for all would set them in step
		index = -1
	}
	return balancer.Settings{Seed: p.seed, Instances: p.fleet.Instances, Index: index, TiersBelow: p.conf.TiersBelow, Classes: p.classes,
		Tenants: p.tenants, CancelAllowed: true, MaxRetryAfter: maxRetryAfter, RetryBudget: p.conf.Resends, Resolution: resolution,
		SlowStartCapacity: p.conf.ColdFrom, SlowStartWindow: p.conf.ColdFor, SlowStartShare: p.conf.ColdShare}
}

func (p *pool) options() proxy.Options {
	return proxy.Options{ConnIdle: p.conf.ConnIdle, DialTimeout: p.conf.DialTimeout, MaxConns: p.conf.Connections, PassThrough: true,
		Subscribe: func() {}, Log: p.log}
}

// startPool runs a pool's engine and follows its roster. d.reloading is held.
func (d *Daemon) startPool(p *pool) {
	ctx, cancel := context.WithCancel(d.work)
	p.cancel, p.work = cancel, ctx
	d.parts.Go(func() error { p.engine.Run(ctx); return nil })
	p.followRoster()
}

// stop ends a pool that no request goes to any more.
func (p *pool) stop() {
	p.follow.stop()
	if p.cancel != nil {
		p.cancel()
	}
}

// settle takes what a configuration says of a pool.
func (p *pool) settle(g *generation, classes []balancer.Class) {
	was := p.conf
	for _, c := range g.conf.Pools {
		if g.pools[c.Name] == p {
			p.conf = c
		}
	}
	if reflect.DeepEqual(was, p.conf) && reflect.DeepEqual(p.classes, classes) && p.fleet == g.conf.Fleet && reflect.DeepEqual(p.tenants, g.conf.Tenants) {
		return
	}
	p.classes, p.fleet, p.tenants = classes, g.conf.Fleet, g.conf.Tenants
	if p.cancel == nil { // nobody handles events yet: the engine is made anew
		p.make()
		return
	}
	p.engine.Configure(p.settings(), p.options())
	p.part.Lock()
	p.part.Resize(p.place())
	p.part.Unlock()
	p.hear(proxy.EndpointList{}) // what follows from a new place or size
	if reflect.DeepEqual(was.Roster, p.conf.Roster) {
		return
	}
	p.hear(static(p.conf.Roster)) // one that is followed elsewhere has made the pool another
}

// followRoster follows a roster that changes by itself.
func (p *pool) followRoster() {
	var run func(ctx context.Context)
	switch r := p.conf.Roster; {
	case r.File != "":
		run = func(ctx context.Context) { file.Follow(ctx, r.File, p.hear, p.told, p.log) }
	case r.Platform != "":
		run = platform.New(platform.Options{Addr: r.Platform, OnUpdate: func(m platform.EndpointList) { p.hear(m.ForPool()) },
			Log: p.log}).Run
	default:
		return
	}
	ctx, cancel := context.WithCancel(p.work)
	f := &following{cancel: cancel, ended: make(chan struct{})}
	p.follow = f
	go func() {
		defer close(f.ended)
		run(ctx)
	}()
}

// told notes whether the roster is good.
func (p *pool) told(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bad = ""
	if err != nil {
		p.bad = err.Error()
	}
}

func (p *pool) fault() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bad
}
