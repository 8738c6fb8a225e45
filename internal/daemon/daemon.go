// Package daemon runs one installation: many listeners, routes and pools from one configuration
// file, replaced as a unit at each reload. It connects HTTP servers, pools and endpoint sources and
// makes no decision of its own: package route finds routes, package ratelimit enforces limits, and
// package balancer selects endpoints.
//
// # Locks
//
// Daemon.reloadMu serializes all changes of the configuration in force. Daemon.mu guards what each
// request reads. A routeLimiter and a pool have locks of their own. They are acquired in this
// order: reloadMu, mu, routeLimiter.mu.
package daemon

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"rowancart/internal/config"
	"rowancart/internal/filewatch"
	"rowancart/internal/hotrestart/successor"
	"rowancart/internal/logkey"
)

// shutdownAccept is how long new connections are accepted after the signal to stop: clients go on
// opening them for a while.
const shutdownAccept = 600 * time.Millisecond

// Daemon is one installation. New opens its listeners; Run serves, then drains, and returns once
// all goroutines have ended.
type Daemon struct {
	log      *slog.Logger
	seed     uint64 // of the balancers
	source   configSource
	metrics  *metrics
	onApply  func(*config.Config) // may be nil
	admin    net.Listener         // nil: no admin interface
	handover handover

	requestIDs requestIDs
	restored   restoredSnapshot // zero once Run has begun
	snapshots  snapshotWriter

	runCtx context.Context // ends the pools; nil before Run; guarded by reloadMu
	tasks  errgroup.Group  // goroutines that must have ended before Run returns

	reloadMu sync.Mutex // one reload at a time; guards the fields below it
	stopping bool
	pools    []*pool // those of all generations that have users
	retired  retiredGenerations

	// mu guards the fields below it. A request finds its route, limits and pool while it is held
	// once. Current and reloads are written under reloadMu as well, and may be read under either.
	mu        sync.RWMutex
	current   *generation
	limiters  limiterSet
	listeners listenerSet
	reloads   ReloadStatus
}

// Options are what a daemon needs beside its configuration.
type Options struct {
	ConfigPath string
	LookupEnv  func(string) (string, bool) // resolves the variables that the configuration names
	Log        *slog.Logger
	OnApply    func(*config.Config) // called with each configuration put in force, the first included; may be nil

	Predecessor    *successor.Predecessor // has open sockets for this process; nil: there is none
	NewSuccessor   func() *exec.Cmd       // the command of a successor
	HandoverSignal <-chan os.Signal       // each value starts a handover; nil: there is never one
}

// New reads the configuration and opens its listeners. They accept connections once Run is called.
func New(o Options) (*Daemon, error) {
	source := configSource{path: o.ConfigPath, lookupEnv: o.LookupEnv}
	c, err := source.load()
	if err != nil {
		return nil, err
	}
	var seed [8]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, err
	}
	d := &Daemon{
		log:       o.Log,
		seed:      binary.LittleEndian.Uint64(seed[:]),
		source:    source,
		onApply:   o.OnApply,
		handover:  newHandover(o),
		snapshots: snapshotWriter{log: o.Log},
		retired:   newRetiredGenerations(),
		limiters:  limiterSet{},
	}
	d.requestIDs.prefix = d.seed
	d.metrics = newMetrics(d)
	d.logWarnings(c)
	d.restored = restoreSnapshot(c, d.log)
	opened, err := d.openAll(c)
	if err != nil {
		return nil, err
	}
	d.reloads.LastAt = time.Now()
	d.apply(c, opened)
	return d, nil
}

// openAll opens the listeners of the first configuration, its admin interface included: all or,
// with an error, none.
func (d *Daemon) openAll(c *config.Config) (opened []*listener, err error) {
	opened, err = d.openListeners(c)
	if err != nil || c.Admin == "" {
		return opened, err
	}
	if d.admin, err = d.listen(c.Admin); err != nil {
		closeListeners(opened)
		return nil, fmt.Errorf("admin: %w", err)
	}
	return opened, nil
}

// currentGeneration returns the generation in force.
func (d *Daemon) currentGeneration() *generation {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.current
}

// exitReason is the reason for which Daemon.handleEvents returns.
type exitReason int

const (
	exitStopped    exitReason = iota // the context ended
	exitHandedOver                   // a successor serves
)

// Run serves until ctx ends or a successor serves, and then drains: it returns once all accepted
// requests have been answered or the configured timeout has passed. Each value on hup, and each
// change of the file, is a reload.
func (d *Daemon) Run(ctx context.Context, hup <-chan os.Signal) error {
	runCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	configText := d.start(runCtx)
	if d.admin != nil {
		stopAdmin := d.serveAdmin()
		defer stopAdmin()
	}
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	fileChanged := d.watchConfig(watchCtx, configText)
	saverDone := make(chan struct{})
	go func() {
		defer close(saverDone)
		d.saveSnapshots(watchCtx)
	}()
	if err := d.handover.notifyPredecessor(); err != nil {
		d.log.Warn("predecessor not notified", logkey.Err, err)
	}
	reason := d.handleEvents(ctx, hup, fileChanged)
	stopWatching()
	acceptFor := shutdownAccept
	if reason == exitHandedOver {
		acceptFor = 0 // the successor accepts
	}
	return d.drain(stopServing, saverDone, acceptFor)
}

// start runs the pools and listeners of the first configuration. It returns the configuration's
// text.
func (d *Daemon) start(runCtx context.Context) []byte {
	d.reloadMu.Lock()
	defer d.reloadMu.Unlock()
	d.runCtx = runCtx
	for _, p := range d.pools {
		d.startPool(p)
	}
	d.mu.RLock()
	for _, l := range d.listeners {
		d.startListener(l)
	}
	d.mu.RUnlock()
	d.restored = restoredSnapshot{} // pools added by a reload start without learned state
	return d.current.config.Text
}

// watchConfig watches the configuration file until ctx ends. The channel receives a value after
// changes of its text.
func (d *Daemon) watchConfig(ctx context.Context, text []byte) <-chan struct{} {
	changed := make(chan struct{}, 1)
	d.tasks.Go(func() error {
		err := filewatch.File(ctx, d.source.path, text, func([]byte) {
			select {
			case changed <- struct{}{}:
			default: // a reload is pending already
			}
		})
		if err != nil { // signals still reload it
			d.log.Error("configuration file not watched", logkey.Path, d.source.path, logkey.Err, err)
		}
		return nil
	})
	return changed
}

// handleEvents reloads, hands over and removes unused generations, until ctx ends or a successor
// serves.
func (d *Daemon) handleEvents(ctx context.Context, hup <-chan os.Signal, fileChanged <-chan struct{}) exitReason {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-d.handover.served:
			return exitHandedOver
		case <-d.handover.signal:
			if d.handover.begin() {
				d.tasks.Go(func() error {
					d.handOver(ctx)
					return nil
				})
			}
		case <-d.handover.failed:
			d.handover.reset()
		case <-hup:
			_ = d.Reload() // the log and the status have its error
		case <-fileChanged:
			_ = d.reloadFor(reloadFileChanged)
		case <-d.retired.unused:
			d.removeUnusedGenerations()
		}
	}
	return exitStopped
}

// drain stops accepting after acceptFor, waits until all accepted requests have been answered, and
// then stops the rest.
func (d *Daemon) drain(stopServing context.CancelFunc, saverDone <-chan struct{}, acceptFor time.Duration) error {
	d.reloadMu.Lock()
	d.stopping = true
	d.reloadMu.Unlock()
	d.mu.RLock()
	limit := d.current.config.Limits.StopTimeout
	listeners := slices.Clone(d.listeners)
	d.mu.RUnlock()
	d.log.Info("shutdown started", logkey.Timeout, limit)
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	time.Sleep(min(acceptFor, limit/2))
	err := d.drainListeners(listeners, timeout.C)
	d.saveFinalSnapshot(saverDone)
	stopServing()
	if d.admin != nil {
		d.admin.Close()
	}
	return errors.Join(err, d.tasks.Wait())
}

// ignoreClosed returns nil for the errors of a server that was closed on purpose, and err for
// others.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
