package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rowancart/balancer"
	"rowancart/internal/config"
	"rowancart/internal/discovery/file"
	"rowancart/internal/discovery/watch"
	"rowancart/internal/logkey"
	"rowancart/internal/platform"
	"rowancart/internal/proxy"
	"rowancart/internal/recentids"
	"rowancart/internal/subset"
)

const (
	timerResolution = 2 * time.Millisecond // resolution of the balancer's timers
	maxRetryAfter   = 5 * time.Second      // upper bound of the Retry-After of the balancer's rejections
)

// pool is a proxy.Pool together with the endpoint source that supplies its endpoints. Consecutive
// generations share a pool where canReusePool allows that; it is stopped once no generation uses
// it.
type pool struct {
	name     string
	proxy    *proxy.Pool
	log      *slog.Logger
	seed     uint64
	ids      *recentids.Set // of recent requests of all pools
	restored restoredPool
	filter   endpointFilter
	source   sourceStatus
	replaced replacedPools

	listChanges *atomic.Int64 // number of updates of endpoint lists, of all pools

	// Guarded by Daemon.reloadMu.
	settings poolSettings
	runCtx   context.Context
	cancel   context.CancelFunc // ends runCtx; nil before startPool
	watcher  *endpointWatcher   // nil if the endpoint list is static
}

// poolSettings are the settings of a pool from a generation's configuration.
type poolSettings struct {
	config  config.Pool
	classes []balancer.Class
	fleet   config.Fleet
	tenants []balancer.Tenant
}

// endpointFilter reduces updates of the endpoint list to this instance's subset of the endpoints.
// It is safe for concurrent use.
type endpointFilter struct {
	// mu is held while an update is filtered and delivered, so that updates are delivered in the
	// order in which they were filtered.
	mu       sync.Mutex
	filter   *subset.Filter
	received bool // the source has sent a list
}

// reset removes all endpoints from the filter and sets the subset.
func (f *endpointFilter) reset(spec subset.Spec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.filter = subset.NewFilter(spec)
}

// setSpec changes the subset. The next update delivers the resulting changes.
func (f *endpointFilter) setSpec(spec subset.Spec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.filter.SetSpec(spec)
}

// update filters an update of the endpoint list and calls deliver with the resulting update of this
// instance's subset.
func (f *endpointFilter) update(update proxy.EndpointList, deliver func(proxy.EndpointList)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	deliver(f.filter.Apply(update))
}

// updateFromSource is update with an update that the source has sent.
func (f *endpointFilter) updateFromSource(update proxy.EndpointList, deliver func(proxy.EndpointList)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = true
	deliver(f.filter.Apply(update))
}

// updateUnlessListed is update unless the source has sent a list.
func (f *endpointFilter) updateUnlessListed(update proxy.EndpointList, deliver func(proxy.EndpointList)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.received {
		deliver(f.filter.Apply(update))
	}
}

// hasList reports whether the source has sent a list.
func (f *endpointFilter) hasList() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received
}

// endpoints returns all endpoints of the source, including those outside this instance's subset.
func (f *endpointFilter) endpoints() []proxy.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.filter.Endpoints()
}

// sourceStatus records the error that keeps the source's current endpoint list from being in force,
// if any. It is safe for concurrent use.
type sourceStatus struct {
	mu      sync.Mutex
	errText string // empty if the list is in force
}

// set records why the list is not in force; nil means that it is.
func (s *sourceStatus) set(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errText = ""
	if err != nil {
		s.errText = err.Error()
	}
}

// get returns why the list is not in force, or "" if it is.
func (s *sourceStatus) get() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.errText
}

// staleListError is the status of a source that has not sent a list yet, while the pool uses the
// endpoint list of a snapshot. The age is that of the snapshot when the process started.
type staleListError struct{ age time.Duration }

// Error implements error.
func (e *staleListError) Error() string {
	return fmt.Sprintf("restored from a snapshot that was %v old when the process started", e.age.Round(time.Second))
}

// endpointWatcher is a goroutine that watches an endpoint source.
type endpointWatcher struct {
	cancel context.CancelFunc
	done   chan struct{} // closed when the goroutine has ended
}

// startWatcher runs follow in a new goroutine.
func startWatcher(ctx context.Context, follow func(context.Context)) *endpointWatcher {
	ctx, cancel := context.WithCancel(ctx)
	w := &endpointWatcher{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		follow(ctx)
	}()
	return w
}

// stop ends the watcher and waits until it has ended. It does nothing if w is nil.
func (w *endpointWatcher) stop() {
	if w != nil {
		w.cancel()
		<-w.done
	}
}

// canReusePool reports whether a pool can be kept when a reload changes its endpoint source from
// old to new. It cannot if the file or platform address differs, or if two static lists have no
// endpoint in common: requests that were routed to the old endpoints must not be sent to the new
// ones.
func canReusePool(old, new config.EndpointSource) bool {
	if len(old.Static) == 0 || len(new.Static) == 0 {
		return old.File == new.File && old.Platform == new.Platform
	}
	return slices.ContainsFunc(old.Static, func(e config.Endpoint) bool {
		isSame := func(other config.Endpoint) bool { return other.ID == e.ID && other.Address == e.Address }
		return slices.ContainsFunc(new.Static, isSame)
	})
}

// newPool returns a pool that is not running yet. Its endpoints are those of a static source, else
// those of the snapshot, if any.
func (d *Daemon) newPool(c config.Pool, g *generation) *pool {
	p := &pool{
		name:     c.Name,
		settings: poolSettings{config: c, fleet: g.config.Fleet, tenants: g.config.Tenants},
		seed:     d.seed,
		ids:      d.recentIDs.set,
		log:      d.log.With(logkey.Pool, c.Name),
		restored: d.restored.pool(c.Name),

		listChanges: &d.snapshots.listChanges,
	}
	p.init()
	return p
}

// init creates the proxy.Pool and restores the learned state. It may be called again until the pool
// has been started.
func (p *pool) init() {
	list := staticEndpoints(p.settings.config.Source)
	restored := p.restored.snapshot
	if len(list.Endpoints) == 0 && restored != nil { // in use until the source has sent its first list
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
	case fleet.Instances > 1: // a single instance may be one of several that do not know of each other: random position
		spec.Position = subset.PositionOf(fleet.Index)
	}
	return spec
}

// updateFromSource applies an update of the endpoint list that the source has sent.
func (p *pool) updateFromSource(update proxy.EndpointList) {
	before := p.filter.endpoints()
	p.filter.updateFromSource(update, func(list proxy.EndpointList) {
		p.proxy.UpdateEndpoints(list)
		p.source.set(nil)
	})
	p.updateReplaced(before, update)
	p.listChanges.Add(1)
}

// updateEndpoints applies an update of the endpoint list that the configuration causes.
func (p *pool) updateEndpoints(update proxy.EndpointList) {
	p.filter.update(update, p.proxy.UpdateEndpoints)
	p.listChanges.Add(1)
}

// staticEndpoints returns the endpoint list of a static source, and an empty list for other
// sources.
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
	if fleet.Name != "" { // the index is unknown, and a common default would synchronize all instances
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
		RecentIDs:   p.ids,
		IDScope:     p.name,
		Subscribe:   func() {},
		Log:         p.log,
	}
}

// startPool starts a pool and watches its endpoint source. The caller must hold d.reloadMu.
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

// stop stops a pool that no generation uses.
func (p *pool) stop() {
	p.watcher.stop()
	if p.cancel != nil {
		p.cancel()
	}
}

// configure applies the pool's settings from the configuration of generation g, with the given
// classes. If g does not use the pool, the pool keeps its config.Pool. The caller must hold
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
	if p.cancel == nil { // not running yet: the proxy.Pool can still be replaced
		p.init()
		return
	}
	p.proxy.Configure(p.balancerSettings(), p.options())
	p.filter.setSpec(p.subset())
	p.updateEndpoints(proxy.EndpointList{}) // delivers the changes of the subset
	if !reflect.DeepEqual(old.config.Source, next.config.Source) {
		p.updateEndpoints(staticEndpoints(next.config.Source)) // both are static, since a pool is not reused otherwise
	}
}

// poolConfig returns the configuration of the pool with that name, which must be in the
// generation's configuration.
func (g *generation) poolConfig(name string) config.Pool {
	i := slices.IndexFunc(g.config.Pools, func(c config.Pool) bool { return c.Name == name })
	return g.config.Pools[i]
}

// watchEndpoints starts watching the endpoint source, unless it is static.
func (p *pool) watchEndpoints() {
	switch source := p.settings.config.Source; {
	case source.File != "":
		p.watcher = startWatcher(p.runCtx, func(ctx context.Context) {
			file.Follow(ctx, source.File, p.updateFromSource, p.source.set, p.log)
		})
	case source.Platform != "":
		client := watch.New(watch.Options{
			Addr:     source.Platform,
			OnUpdate: func(update platform.EndpointList) { p.updateFromSource(watch.ProxyEndpointList(update)) },
			Log:      p.log,
		})
		p.watcher = startWatcher(p.runCtx, client.Run)
	}
}
