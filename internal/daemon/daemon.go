// Package daemon runs the load balancer as a daemon. One configuration file defines any number of
// listeners, routes and pools. A reload replaces the configuration as a unit, but keeps the pools,
// listeners and limiters that the new configuration still contains. The package connects HTTP
// servers, pools and endpoint sources; the decisions are made elsewhere: package route finds
// routes, package ratelimit enforces limits, and package balancer selects endpoints.
//
// # Locks
//
// Daemon.reloadMu serializes all changes of the configuration in force. Daemon.mu guards the state
// that each request reads. Each routeLimiter and each pool has locks of its own. Locks are acquired
// in the order reloadMu, mu, routeLimiter.mu.
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
	"rowancart/internal/membudget"
	"rowancart/internal/shutdown"
)

// shutdownAcceptPeriod is how long the daemon goes on accepting connections after the signal to
// stop, because clients go on opening them for a while.
const shutdownAcceptPeriod = 600 * time.Millisecond

// Daemon serves the listeners of one configuration file. New opens the listeners. Run serves, then
// drains, and returns once all goroutines have ended.
type Daemon struct {
	log      *slog.Logger
	seed     uint64 // random: for the balancers, request ids and positions of subsets
	source   configSource
	metrics  *metrics
	onApply  func(*config.Config) // may be nil
	admin    net.Listener         // nil: no admin interface
	handover handover

	requestIDs requestIDs
	recentIDs  sharedIDs
	restored   restoredSnapshot // snapshot for the first pools; zero once Run has started them
	inherited  *handoverState   // of the predecessor; nil if there is none
	snapshots  snapshotWriter

	runCtx context.Context // stops the pools when it ends; nil before Run; guarded by reloadMu
	tasks  errgroup.Group  // goroutines that must have ended before Run returns

	reloadMu sync.Mutex // held during a reload; guards the fields up to mu
	stopping bool
	pools    []*pool // of all generations that have users
	retired  retiredGenerations

	// mu guards the fields below it. A request acquires it once, to find its route, limits and pool.
	// Writing current or reloads requires reloadMu as well; reading them requires either lock.
	mu        sync.RWMutex
	current   *generation
	limiters  limiterSet
	memory    *membudget.Budget // that all clients' connections share
	listeners listenerSet
	reloads   ReloadStatus
}

// Options are the settings of a daemon that are not in its configuration file.
type Options struct {
	ConfigPath string
	LookupEnv  func(string) (string, bool) // looks up environment variables that the configuration uses
	Log        *slog.Logger
	OnApply    func(*config.Config) // called with each configuration that is put in force, including the first; may be nil

	Predecessor    *successor.Predecessor // provides its open sockets; nil if there is none
	NewSuccessor   func() *exec.Cmd       // returns the command that starts a successor
	HandoverSignal <-chan os.Signal       // each value starts a handover; nil disables handovers
}

// New reads the configuration and opens its listeners. They accept connections only once Run is
// called.
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
		memory:    membudget.New(requestMemory(c)),
	}
	d.requestIDs.prefix = d.seed
	if d.recentIDs, err = openSharedIDs(d.handover.inheritFile(recentIDsFile)); err != nil {
		d.log.Warn("recent ids not shared", logkey.Err, err)
	}
	d.metrics = newMetrics(d)
	d.logWarnings(c)
	d.inherited = d.handover.inheritHandoverState()
	d.restored = d.restoreState(c)
	opened, err := d.openInitialListeners(c)
	if err != nil {
		return nil, err
	}
	d.reloads.LastAt = time.Now()
	d.apply(c, opened)
	return d, nil
}

// openInitialListeners opens the listeners of the first configuration, including that of the admin
// interface. If one of them cannot be opened, it closes the others and returns the error.
func (d *Daemon) openInitialListeners(c *config.Config) (opened []*listener, err error) {
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
	exitStopped    exitReason = iota // the context was canceled
	exitHandedOver                   // a successor has taken over
)

// Run serves until ctx ends or a successor has taken over. It then drains: it returns once all
// accepted requests have been answered, or after the configured timeout. Each value from hup and
// each change of the configuration file causes a reload.
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
	acceptFor := shutdownAcceptPeriod
	if reason == exitHandedOver {
		acceptFor = 0 // the successor accepts new connections
	}
	return d.drain(stopServing, saverDone, acceptFor)
}

// start starts the pools and listeners of the first configuration, and returns the text of that
// configuration.
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
	d.restored = restoredSnapshot{} // pools that a reload adds are not restored from it
	if d.inherited != nil {
		d.tasks.Go(func() error {
			d.followState(runCtx, d.inherited)
			return nil
		})
	}
	return d.current.config.Text
}

// watchConfig watches the configuration file until ctx ends. The returned channel receives a value
// after the text has changed. The argument text is the text that was read last.
func (d *Daemon) watchConfig(ctx context.Context, text []byte) <-chan struct{} {
	changed := make(chan struct{}, 1)
	d.tasks.Go(func() error {
		err := filewatch.File(ctx, d.source.path, text, func([]byte) {
			select {
			case changed <- struct{}{}:
			default: // a reload is already pending
			}
		})
		if err != nil { // the file can still be reloaded by signal
			d.log.Error("configuration file not watched", logkey.Path, d.source.path, logkey.Err, err)
		}
		return nil
	})
	return changed
}

// handleEvents handles reloads, handovers and unused generations until ctx ends or a successor has
// taken over.
func (d *Daemon) handleEvents(ctx context.Context, hup <-chan os.Signal, fileChanged <-chan struct{}) exitReason {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-d.handover.completed:
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
			_ = d.Reload() // the error is in the log and the status
		case <-fileChanged:
			_ = d.reloadFor(reloadFileChanged)
		case <-d.retired.unused:
			d.removeUnusedGenerations()
		}
	}
	return exitStopped
}

// drain accepts connections for another acceptFor, but for at most half of the drain timeout. It
// then waits until all accepted requests have been answered. Those that still wait for an endpoint
// shortly before the timeout are rejected or fail, and connections that are open after that are
// closed. It then saves the final snapshot, and stops the rest of the daemon.
func (d *Daemon) drain(stopServing context.CancelFunc, saverDone <-chan struct{}, acceptFor time.Duration) error {
	s := d.beginShutdown(time.Now())
	time.Sleep(min(acceptFor, s.limit/2))
	err := d.drainListeners(s.listeners, s.schedule.FinalClose)
	d.saveFinalSnapshot(saverDone)
	stopServing()
	if d.admin != nil {
		d.admin.Close()
	}
	return errors.Join(err, d.tasks.Wait())
}

// startedShutdown describes a shutdown that has begun.
type startedShutdown struct {
	limit     time.Duration // the drain timeout
	schedule  shutdown.Schedule
	listeners []*listener // including those that a reload removed and that are still draining
}

// beginShutdown ends reloads, and sets the time by which the pools must have a result for every
// request, including the pools of generations that were replaced.
func (d *Daemon) beginShutdown(now time.Time) startedShutdown {
	d.reloadMu.Lock()
	defer d.reloadMu.Unlock()
	d.stopping = true
	d.mu.RLock()
	limit := d.current.config.Limits.StopTimeout
	listeners := slices.Clone(d.listeners)
	d.mu.RUnlock()
	d.log.Info("shutdown started", logkey.Timeout, limit)
	schedule := shutdown.NewSchedule(now, limit)
	for _, p := range d.pools {
		p.proxy.SetFinalDeadline(schedule.FinalResponses)
	}
	return startedShutdown{limit: limit, schedule: schedule, listeners: listeners}
}

// ignoreClosed returns nil if err says that a listener or server was closed, which is done on
// purpose, and otherwise err.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
