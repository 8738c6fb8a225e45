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
	"rowancart/internal/logkey"
	"rowancart/internal/platform"
	"rowancart/internal/proxy"
	"rowancart/internal/subset"
)

const (
	timerResolution = 2 * time.Millisecond // of the balancer's timers
	maxRetryAfter   = 5 * time.Second      // upper bound of an endpoint's Retry-After
)

// pool is a proxy.Pool with the endpoint source that feeds it. It lives as long as a generation
// that has it, and is the same for all generations whose configuration names the same endpoints.
type pool struct {
	name     string
	proxy    *proxy.Pool
	log      *slog.Logger
	seed     uint64
	restored restoredPool
	filter   endpointFilter
	source   sourceStatus

	// Guarded by Daemon.reloadMu.
	settings poolSettings
	runCtx   context.Context
	cancel   context.CancelFunc // ends runCtx; nil before the pool runs
	watcher  *endpointWatcher   // nil: the endpoint list is static
}

// poolSettings is what a generation's configuration says of a pool.
type poolSettings struct {
	config  config.Pool
	classes []balancer.Class
	fleet   config.Fleet
	tenants []balancer.Tenant
}

// endpointFilter passes on this instance's subset of the endpoint list.
type endpointFilter struct {
	// mu is held from the filtering of an update until the update is delivered, so that no update
	// overtakes another.
	mu     sync.Mutex
	filter *subset.Filter
}

// reset forgets all endpoints, and filters for a subset from now on.
func (f *endpointFilter) reset(spec subset.Spec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.filter = subset.NewFilter(spec)
}

// setSpec changes the subset. The next update delivers the change.
func (f *endpointFilter) setSpec(spec subset.Spec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.filter.SetSpec(spec)
}

// update passes what an update of the endpoint list changes for this instance to deliver.
func (f *endpointFilter) update(update proxy.EndpointList, deliver func(proxy.EndpointList)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	deliver(f.filter.Apply(update))
}

// endpoints returns all endpoints of the source, of this instance's subset or not.
func (f *endpointFilter) endpoints() []proxy.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.filter.Endpoints()
}

// sourceStatus says whether the endpoint list in its present form is in force. It is safe for
// concurrent use.
type sourceStatus struct {
	mu      sync.Mutex
	problem string // for which it is not; empty: it is
}

// set records the error for which the list is not in force, nil if it is.
func (s *sourceStatus) set(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problem = ""
	if err != nil {
		s.problem = err.Error()
	}
}

// get returns the problem for which the list is not in force, "" if it is.
func (s *sourceStatus) get() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.problem
}

// staleListError is the error of an endpoint list that was restored from a snapshot.
type staleListError struct{ age time.Duration }

// Error implements error.
func (e *staleListError) Error() string {
	return fmt.Sprintf("restored from a snapshot that was %v old at the start", e.age.Round(time.Second))
}

// endpointWatcher is the goroutine that follows an endpoint source.
type endpointWatcher struct {
	cancel context.CancelFunc
	done   chan struct{} // closed when the goroutine has ended
}

// startWatcher runs follow in a goroutine of its own.
func startWatcher(ctx context.Context, follow func(context.Context)) *endpointWatcher {
	ctx, cancel := context.WithCancel(ctx)
	w := &endpointWatcher{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		follow(ctx)
	}()
	return w
}

// stop ends the watcher and waits for its end. It may be called on nil.
func (w *endpointWatcher) stop() {
	if w != nil {
		w.cancel()
		<-w.done
	}
}

// servesSameEndpoints reports whether a pool stays the same pool when its endpoint source changes.
// A static list that has no endpoint in common with the old one makes a new pool under the same
// name: requests routed to the old endpoints must not be sent to the new ones.
func servesSameEndpoints(old, new config.EndpointSource) bool {
	if len(old.Static) == 0 || len(new.Static) == 0 {
		return old.File == new.File && old.Platform == new.Platform
	}
	return slices.ContainsFunc(old.Static, func(e config.Endpoint) bool {
		isSame := func(other config.Endpoint) bool { return other.ID == e.ID && other.Address == e.Address }
		return slices.ContainsFunc(new.Static, isSame)
	})
}

// newPool returns a pool that does not run yet. It has its static endpoints, those of the snapshot,
// or none.
func (d *Daemon) newPool(c config.Pool, g *generation) *pool {
	p := &pool{
		name:     c.Name,
		settings: poolSettings{config: c, fleet: g.config.Fleet, tenants: g.config.Tenants},
		seed:     d.seed,
		log:      d.log.With(logkey.Pool, c.Name),
		restored: d.restored.pool(c.Name),
	}
	p.init()
	return p
}

// init creates the proxy.Pool and restores the learned state. It must not be called once the pool
// runs.
func (p *pool) init() {
	list := staticEndpoints(p.settings.config.Source)
	restored := p.restored.snapshot
	if len(list.Endpoints) == 0 && restored != nil { // until the source has sent its first list
		list.Endpoints = restored.Endpoints
		p.source.set(&staleListError{p.restored.age})
	}
	p.filter.reset(p.subset())
	p.filter.update(list, func(list proxy.EndpointList) {
		p.proxy = proxy.New(p.balancerSettings(), list, p.options())
	})
	if restored != nil {
		p.proxy.Restore(restored.Learned, p.restored.age)
	}
}

// subset returns the specification of this instance's subset of the endpoints.
func (p *pool) subset() subset.Spec {
	fleet := p.settings.fleet
	spec := subset.Spec{Position: subset.Position(p.seed), Size: p.settings.config.Subset, Instances: fleet.Instances}
	switch {
	case fleet.Name != "":
		spec.Position = subset.PositionOfName(fleet.Name)
	case fleet.Instances > 1: // a single instance may be one of several that do not know of each other
		spec.Position = subset.PositionOf(fleet.Index)
	}
	return spec
}

// updateEndpoints applies an update of the endpoint list.
func (p *pool) updateEndpoints(update proxy.EndpointList) {
	p.filter.update(update, func(list proxy.EndpointList) {
		p.proxy.UpdateEndpoints(list)
		p.source.set(nil)
	})
}

// staticEndpoints returns the complete list of a static source, which is empty for any other.
func staticEndpoints(source config.EndpointSource) proxy.EndpointList {
	list := proxy.EndpointList{Complete: true}
	for _, e := range source.Static {
		list.Endpoints = append(list.Endpoints, proxy.Endpoint{
			ID: e.ID, Addr: e.Address, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell,
		})
	}
	return list
}

// balancerSettings returns the settings of the pool's balancer.
func (p *pool) balancerSettings() balancer.Settings {
	c, fleet := &p.settings.config, &p.settings.fleet
	index := fleet.Index
	if fleet.Name != "" { // the index is unknown: the same one for all instances would synchronize them
		index = -1
	}
	return balancer.Settings{
		Seed:              p.seed,
		Instances:         fleet.Instances,
		Index:             index,
		TiersBelow:        c.TiersBelow,
		Classes:           p.settings.classes,
		Tenants:           p.settings.tenants,
		CancelAllowed:     true,
		MaxRetryAfter:     maxRetryAfter,
		RetryBudget:       c.RetryBudget,
		Resolution:        timerResolution,
		SlowStartCapacity: c.SlowStartCapacity,
		SlowStartWindow:   c.SlowStartWindow,
		SlowStartShare:    c.SlowStartShare,
	}
}

// options returns the options of the proxy.Pool.
func (p *pool) options() proxy.Options {
	c := &p.settings.config
	return proxy.Options{
		IdleTimeout: c.ConnIdleTimeout,
		DialTimeout: c.DialTimeout,
		MaxConns:    c.MaxConns,
		PassThrough: true,
		Subscribe:   func() {},
		Log:         p.log,
	}
}

// startPool runs a pool and follows its endpoint source. The caller must hold d.reloadMu.
func (d *Daemon) startPool(p *pool) {
	ctx, cancel := context.WithCancel(d.runCtx)
	p.runCtx = ctx
	p.cancel = cancel
	d.tasks.Go(func() error {
		p.proxy.Run(ctx)
		return nil
	})
	p.watchEndpoints()
}

// stop ends a pool that no generation has.
func (p *pool) stop() {
	p.watcher.stop()
	if p.cancel != nil {
		p.cancel()
	}
}

// configure applies what a generation's configuration says of the pool, with these classes. A pool
// that the generation does not have keeps its own configuration. The caller must hold
// Daemon.reloadMu, except before Run.
func (p *pool) configure(g *generation, classes []balancer.Class) {
	old := p.settings
	next := poolSettings{config: old.config, classes: classes, fleet: g.config.Fleet, tenants: g.config.Tenants}
	if g.hasPool(p) {
		next.config = g.poolConfig(p.name)
	}
	if reflect.DeepEqual(old, next) {
		return
	}
	p.settings = next
	if p.cancel == nil { // not running yet: nothing handles events
		p.init()
		return
	}
	p.proxy.Configure(p.balancerSettings(), p.options())
	p.filter.setSpec(p.subset())
	p.updateEndpoints(proxy.EndpointList{}) // delivers what the new subset changes
	if !reflect.DeepEqual(old.config.Source, next.config.Source) {
		p.updateEndpoints(staticEndpoints(next.config.Source)) // a source that is not static would make a new pool
	}
}

// poolConfig returns the configuration of a pool, which must be one of the generation's.
func (g *generation) poolConfig(name string) config.Pool {
	i := slices.IndexFunc(g.config.Pools, func(c config.Pool) bool { return c.Name == name })
	return g.config.Pools[i]
}

// watchEndpoints follows the endpoint source, unless it is static.
func (p *pool) watchEndpoints() {
	switch source := p.settings.config.Source; {
	case source.File != "":
		p.watcher = startWatcher(p.runCtx, func(ctx context.Context) {
			file.Follow(ctx, source.File, p.updateEndpoints, p.source.set, p.log)
		})
	case source.Platform != "":
		client := watch.New(watch.Options{
			Addr:     source.Platform,
			OnUpdate: func(update platform.EndpointList) { p.updateEndpoints(watch.ProxyEndpointList(update)) },
			Log:      p.log,
		})
		p.watcher = startWatcher(p.runCtx, client.Run)
	}
}
