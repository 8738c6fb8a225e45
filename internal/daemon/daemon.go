// Package daemon runs a whole installation: many listeners, routes and pools from one configuration
// file, replaced as a unit at each reload. It connects HTTP servers, pools and endpoint sources and
// makes no decision of its own: package route chooses routes, package ratelimit enforces limits,
// and package balancer chooses endpoints.
//
// # Locks
//
// Daemon.reloadMu serializes whatever changes the configuration in force. Daemon.mu guards what
// each request reads. A routeLimiter and a pool have locks of their own. They are acquired in this
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
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"rowancart/internal/config"
	"rowancart/internal/filewatch"
	"rowancart/internal/hotrestart/successor"
)

// acceptAfterStop is how long new connections are accepted after the signal to stop: clients go on
// opening them for a while.
const acceptAfterStop = 600 * time.Millisecond

// Daemon is one installation. New opens its listeners; Run serves, then drains, and returns once
// nothing of it is left running.
type Daemon struct {
	configPath string
	lookupEnv  func(string) (string, bool)
	log        *slog.Logger
	seed       uint64
	metrics    *metrics
	onApply    func(*config.Config) // may be nil
	admin      net.Listener         // nil: no admin interface

	runCtx context.Context // what serves ends with it; nil before Run; guarded by reloadMu
	tasks  errgroup.Group  // goroutines that must have ended before Run returns

	restored    map[string]*poolSnapshot // learned state of the process before this one, by pool; nil once Run has begun
	restoredAge time.Duration
	snapshots   snapshotWriter

	predecessor    *successor.Predecessor
	newSuccessor   func() *exec.Cmd
	handoverSignal <-chan os.Signal

	// generationIdle receives a value when a generation that is no longer in force has lost its last
	// user.
	generationIdle chan struct{}

	reloadMu sync.Mutex // one reload at a time; guards the fields below it
	stopping bool
	pools    []*pool       // all that have not ended
	retired  []*generation // no longer in force, with requests in flight

	// mu guards the fields below it. A request finds its route, limits and pool under one hold.
	// Current and reloads are written under reloadMu as well, and may be read under either.
	mu        sync.RWMutex
	current   *generation
	limiters  map[string]*routeLimiter // by route
	listeners []*listener
	reloads   ReloadStatus

	requestSerial atomic.Uint64 // number of requests that came without an id
}

// Options are what a daemon needs beside its configuration.
type Options struct {
	ConfigPath string
	LookupEnv  func(string) (string, bool) // resolves the variables that the configuration names
	Log        *slog.Logger
	OnApply    func(*config.Config) // called with each configuration put in force, the first included; may be nil

	Predecessor    *successor.Predecessor // passes on sockets that are already open; nil: there is none
	NewSuccessor   func() *exec.Cmd       // the process that takes over at a handover
	HandoverSignal <-chan os.Signal       // each value starts a handover; nil: there is never one
}

// New reads the configuration and opens its listeners. They accept connections once Run is called.
func New(o Options) (*Daemon, error) {
	c, err := config.Load(o.ConfigPath, o.LookupEnv)
	if err != nil {
		return nil, err
	}
	var seed [8]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, err
	}
	d := &Daemon{
		configPath:     o.ConfigPath,
		lookupEnv:      o.LookupEnv,
		log:            o.Log,
		seed:           binary.LittleEndian.Uint64(seed[:]),
		onApply:        o.OnApply,
		limiters:       map[string]*routeLimiter{},
		generationIdle: make(chan struct{}, 1),
		predecessor:    o.Predecessor,
		newSuccessor:   o.NewSuccessor,
		handoverSignal: o.HandoverSignal,
	}
	d.metrics = newMetrics(d)
	d.logWarnings(c)
	d.readSnapshot(c.Snapshot, c.Fleet)
	opened, err := d.openListeners(c)
	if err != nil {
		return nil, err
	}
	if c.Admin != "" {
		if d.admin, err = d.listen(c.Admin); err != nil {
			closeListeners(opened)
			return nil, fmt.Errorf("admin: %w", err)
		}
	}
	d.reloads.LastAt = time.Now()
	d.apply(c, opened)
	return d, nil
}

// exitCause says why Daemon.handleEvents returned.
type exitCause int

const (
	exitStopped    exitCause = iota // the context ended
	exitHandedOver                  // a successor serves
)

// Run serves until ctx ends or a successor has taken over, and then drains: it returns once all
// requests accepted have been answered or the configured time for that has passed. Each value on
// hup, and each change of the file, is a reload.
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
	if d.predecessor != nil {
		if err := d.predecessor.Ready(); err != nil {
			d.log.Warn("the predecessor was not notified that this process serves", "err", err)
		}
	}
	cause := d.handleEvents(ctx, hup, fileChanged)
	stopWatching()
	acceptFor := acceptAfterStop
	if cause == exitHandedOver {
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
	d.restored = nil // pools added by a reload start without learned state
	return d.current.config.Text
}

// watchConfig follows the configuration file until ctx ends. The channel receives a value after
// changes of its text.
func (d *Daemon) watchConfig(ctx context.Context, text []byte) <-chan struct{} {
	changed := make(chan struct{}, 1)
	d.tasks.Go(func() error {
		err := filewatch.File(ctx, d.configPath, text, func([]byte) {
			select {
			case changed <- struct{}{}:
			default: // a reload is pending already
			}
		})
		if err != nil {
			d.log.Error("the configuration is not followed: only signals reload it", "err", err)
		}
		return nil
	})
	return changed
}

// handleEvents reloads, hands over and removes unused generations, until ctx ends or a successor
// serves.
func (d *Daemon) handleEvents(ctx context.Context, hup <-chan os.Signal, fileChanged <-chan struct{}) exitCause {
	handoverDone, handoverFailed := make(chan struct{}), make(chan struct{}, 1)
	handingOver := false
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-handoverDone:
			return exitHandedOver
		case <-d.handoverSignal:
			if !handingOver {
				handingOver = true
				d.tasks.Go(func() error { d.handOver(ctx, handoverDone, handoverFailed); return nil })
			}
		case <-handoverFailed:
			handingOver = false
		case <-hup:
			_ = d.Reload() // the log and the status have its error
		case <-fileChanged:
			_ = d.reloadFor(reloadFileChanged)
		case <-d.generationIdle:
			d.reloadMu.Lock()
			d.removeUnusedGenerations()
			d.reloadMu.Unlock()
		}
	}
	return exitStopped
}

// drain ends the clients' side, waits until all accepted requests have been answered, and then
// stops the rest. Connections are accepted as before for acceptFor.
func (d *Daemon) drain(stopServing context.CancelFunc, saverDone <-chan struct{}, acceptFor time.Duration) error {
	d.reloadMu.Lock()
	d.stopping = true
	d.reloadMu.Unlock()
	d.mu.RLock()
	limit := d.current.config.Limits.StopTimeout
	listeners := slices.Clone(d.listeners)
	d.mu.RUnlock()
	d.log.Info("stopping", "within", limit)
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

// ignoreClosed returns nil for the errors with which a server ends that was closed on purpose, and
// err for others.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
