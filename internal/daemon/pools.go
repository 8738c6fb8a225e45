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
	"rowancart/internal/discovery/watch"
	"rowancart/internal/platform"
	"rowancart/internal/proxy"
	"rowancart/internal/subset"
)

const (
	timerResolution = 2 * time.Millisecond // of the balancer's timers
	maxRetryAfter   = 5 * time.Second      // most that an endpoint's Retry-After is heeded
)

// pool is a proxy.Pool with the endpoint source that feeds it. It lives as long as a generation
// that has it, and is the same for all generations whose configuration names the same endpoints.
type pool struct {
	name  string
	proxy *proxy.Pool
	log   *slog.Logger
	seed  uint64

	restored    *poolSnapshot // learned state of the process before this one; nil: none
	restoredAge time.Duration

	// Guarded by Daemon.reloadMu.
	runCtx  context.Context
	cancel  context.CancelFunc // ends runCtx; nil before the pool runs
	config  config.Pool
	classes []balancer.Class
	fleet   config.Fleet
	tenants []balancer.Tenant
	watcher *endpointWatcher // nil: the endpoint list is static

	// filterMu guards filter. It is held from the filtering of an update until the update is
	// delivered, so that no update overtakes another.
	filterMu sync.Mutex
	filter   *subset.Filter

	errMu     sync.Mutex
	sourceErr string // why the endpoint list as it is now is not in force; empty: it is
}

// endpointWatcher is the goroutine that follows an endpoint source.
type endpointWatcher struct {
	cancel context.CancelFunc
	done   chan struct{} // closed when the goroutine has ended
}

// stop ends the watcher and waits for its end. It may be called on nil.
func (w *endpointWatcher) stop() {
	if w != nil {
		w.cancel()
		<-w.done
	}
}

// servesSameEndpoints reports whether a pool stays the same pool when its endpoint source changes.
// A static list that has no endpoint in common with the old one makes another pool under the same
// name: requests meant for the old endpoints must not go to the new ones.
func servesSameEndpoints(old, new config.EndpointSource) bool {
	if len(old.Static) == 0 || len(new.Static) == 0 {
		return old.File == new.File && old.Platform == new.Platform
	}
	return slices.ContainsFunc(old.Static, func(e config.Endpoint) bool {
		return slices.ContainsFunc(new.Static, func(o config.Endpoint) bool { return o.ID == e.ID && o.Address == e.Address })
	})
}

// newPool returns a pool that does not run yet. It has its static endpoints, those of the snapshot,
// or none.
func (d *Daemon) newPool(c config.Pool, g *generation) *pool {
	p := &pool{
		name:        c.Name,
		config:      c,
		seed:        d.seed,
		log:         d.log.With("pool", c.Name),
		fleet:       g.config.Fleet,
		tenants:     g.config.Tenants,
		restored:    d.restored[c.Name],
		restoredAge: d.restoredAge,
	}
	p.init()
	return p
}

// init creates the proxy.Pool and restores the learned state. It must not be called once the pool
// runs.
func (p *pool) init() {
	known := staticEndpoints(p.config.Source)
	if len(known.Endpoints) == 0 && p.restored != nil { // until the source has sent its first list
		known.Endpoints = p.restored.Endpoints
		p.errMu.Lock()
		p.sourceErr = fmt.Sprintf("it is as a snapshot told it, %v old at the start", p.restoredAge.Round(time.Second))
		p.errMu.Unlock()
	}
	p.filter = subset.NewFilter(p.subset())
	p.proxy = proxy.New(p.settings(), p.filter.Apply(known), p.options())
	if p.restored != nil {
		p.proxy.Restore(p.restored.Learned, p.restoredAge)
	}
}

// subset returns which part of the endpoints this instance sends to.
func (p *pool) subset() subset.Part {
	part := subset.Part{Place: subset.Place(p.seed), Size: p.config.Subset, Instances: p.fleet.Instances}
	switch {
	case p.fleet.Name != "":
		part.Place = subset.PlaceNamed(p.fleet.Name)
	case p.fleet.Instances > 1: // a single instance may be one of several that do not know of each other
		part.Place = subset.PlaceOf(p.fleet.Index)
	}
	return part
}

// updateEndpoints passes on what an update of the endpoint list changes for this instance's subset.
func (p *pool) updateEndpoints(update proxy.EndpointList) {
	p.filterMu.Lock()
	defer p.filterMu.Unlock()
	p.proxy.UpdateEndpoints(p.filter.Apply(update))
	p.setSourceError(nil)
}

// endpoints returns all endpoints of the source, of this instance's subset or not.
func (p *pool) endpoints() []proxy.Endpoint {
	p.filterMu.Lock()
	defer p.filterMu.Unlock()
	return p.filter.Endpoints()
}

func staticEndpoints(source config.EndpointSource) proxy.EndpointList {
	list := proxy.EndpointList{Complete: true}
	for _, e := range source.Static {
		list.Endpoints = append(list.Endpoints, proxy.Endpoint{
			ID: e.ID, Addr: e.Address, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell,
		})
	}
	return list
}

func (p *pool) settings() balancer.Settings {
	index := p.fleet.Index
	if p.fleet.Name != "" { // the number is unknown: index 0 for all instances would synchronize them
		index = -1
	}
	return balancer.Settings{
		Seed:              p.seed,
		Instances:         p.fleet.Instances,
		Index:             index,
		TiersBelow:        p.config.TiersBelow,
		Classes:           p.classes,
		Tenants:           p.tenants,
		CancelAllowed:     true,
		MaxRetryAfter:     maxRetryAfter,
		RetryBudget:       p.config.RetryBudget,
		Resolution:        timerResolution,
		SlowStartCapacity: p.config.SlowStartCapacity,
		SlowStartWindow:   p.config.SlowStartWindow,
		SlowStartShare:    p.config.SlowStartShare,
	}
}

func (p *pool) options() proxy.Options {
	return proxy.Options{
		IdleTimeout: p.config.ConnIdleTimeout,
		DialTimeout: p.config.DialTimeout,
		MaxConns:    p.config.MaxConns,
		PassThrough: true,
		Subscribe:   func() {},
		Log:         p.log,
	}
}

// startPool runs a pool and follows its endpoint source. The caller must hold d.reloadMu.
func (d *Daemon) startPool(p *pool) {
	ctx, cancel := context.WithCancel(d.runCtx)
	p.runCtx, p.cancel = ctx, cancel
	d.tasks.Go(func() error { p.proxy.Run(ctx); return nil })
	p.watchEndpoints()
}

// stop ends a pool to which no request goes any more.
func (p *pool) stop() {
	p.watcher.stop()
	if p.cancel != nil {
		p.cancel()
	}
}

// configure applies what a generation's configuration says of the pool, with these classes. A pool
// that no longer belongs to that generation keeps its configuration. The caller must hold
// Daemon.reloadMu, except before Run.
func (p *pool) configure(g *generation, classes []balancer.Class) {
	old := p.config
	for _, c := range g.config.Pools {
		if g.pools[c.Name] == p {
			p.config = c
		}
	}
	fleet, tenants := g.config.Fleet, g.config.Tenants
	if reflect.DeepEqual(old, p.config) && reflect.DeepEqual(p.classes, classes) &&
		p.fleet == fleet && reflect.DeepEqual(p.tenants, tenants) {
		return
	}
	p.classes, p.fleet, p.tenants = classes, fleet, tenants
	if p.cancel == nil { // not running yet: nothing handles events
		p.init()
		return
	}
	p.proxy.Configure(p.settings(), p.options())
	p.filterMu.Lock()
	p.filter.SetPart(p.subset())
	p.filterMu.Unlock()
	p.updateEndpoints(proxy.EndpointList{}) // delivers what the new subset changes
	if !reflect.DeepEqual(old.Source, p.config.Source) {
		p.updateEndpoints(staticEndpoints(p.config.Source)) // another source that is not static would be another pool
	}
}

// watchEndpoints follows an endpoint source that is not static.
func (p *pool) watchEndpoints() {
	var follow func(ctx context.Context)
	switch source := p.config.Source; {
	case source.File != "":
		follow = func(ctx context.Context) { file.Follow(ctx, source.File, p.updateEndpoints, p.setSourceError, p.log) }
	case source.Platform != "":
		follow = watch.New(watch.Options{
			Addr:     source.Platform,
			OnUpdate: func(update platform.EndpointList) { p.updateEndpoints(watch.PoolList(update)) },
			Log:      p.log,
		}).Run
	default:
		return
	}
	ctx, cancel := context.WithCancel(p.runCtx)
	w := &endpointWatcher{cancel: cancel, done: make(chan struct{})}
	p.watcher = w
	go func() {
		defer close(w.done)
		follow(ctx)
	}()
}

// setSourceError records why the endpoint list as it is now is not in force; nil: it is.
func (p *pool) setSourceError(err error) {
	p.errMu.Lock()
	defer p.errMu.Unlock()
	p.sourceErr = ""
	if err != nil {
		p.sourceErr = err.Error()
	}
}

func (p *pool) sourceError() string {
	p.errMu.Lock()
	defer p.errMu.Unlock()
	return p.sourceErr
}
