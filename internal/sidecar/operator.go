package sidecar

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rowancart/internal/hotrestart"
	"rowancart/internal/metrics"
	"rowancart/internal/proxy"
)

// firstListTimeout is how long a start waits for discovery's word; then the list that the configuration has must do.
const firstListTimeout = 2 * time.Second

// readiness knows whether requests can be served: the list has come, or has been waited for long enough, and connections are taken.
type readiness struct {
	listReceived chan struct{} // closed when the list has come
	closeOnce    sync.Once
	deadline     time.Time
	accepting    atomic.Bool
}

func newReadiness() *readiness {
	return &readiness{listReceived: make(chan struct{}), deadline: time.Now().Add(firstListTimeout)}
}

func (r *readiness) markListReceived() { r.closeOnce.Do(func() { close(r.listReceived) }) }

// waitForList returns when the list has come or has been waited for long enough, or stop says so.
func (r *readiness) waitForList(stop <-chan struct{}) {
	late := time.NewTimer(time.Until(r.deadline))
	defer late.Stop()
	select {
	case <-r.listReceived:
	case <-late.C:
	case <-stop:
	}
}

func (r *readiness) hasList() bool {
	select {
	case <-r.listReceived:
		return true
	default:
		return time.Now().After(r.deadline)
	}
}

var (
	errNoList       = errors.New("discovery has not told its list yet")
	errNotAccepting = errors.New("connections are not taken yet")
)

// operations carries out what comes over the console.
type operations struct {
	pool      *proxy.Pool
	counters  *metrics.Counters
	readiness *readiness
	sharedDir *hotrestart.SharedDir // nil: bans end with this process
	log       *slog.Logger

	mu            sync.Mutex      // held while a ban changes; not on the way of requests
	disabled      map[string]bool // the endpoints taken out
	warnedForeign bool            // that files in the folder stand for no ban has been told
}

// Ready implements console.Operated.
func (o *operations) Ready() error {
	switch {
	case !o.readiness.hasList():
		return errNoList
	case !o.readiness.accepting.Load():
		return errNotAccepting
	}
	return nil
}

// AppendStats implements console.Operated.
func (o *operations) AppendStats(b []byte) []byte {
	g := o.pool.Gauges()
	return o.counters.Append(b, metrics.Gauges{Dispatches: g.Dispatches, ListedEndpoints: g.Listed, AvoidedEndpoints: g.Avoided})
}

// Disable implements console.Operated. A yes means that the ban is in force here and outlives this process.
func (o *operations) Disable(id string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.disabled[id] && !o.pool.HasEndpoint(id) {
		return fmt.Errorf("%w: %q", proxy.ErrUnknownEndpoint, id)
	}
	if o.sharedDir != nil {
		if err := o.sharedDir.Disable(id); err != nil {
			return err
		}
	}
	if !o.disabled[id] {
		o.disableLocked(id)
	}
	return nil
}

// Enable implements console.Operated.
func (o *operations) Enable(id string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.disabled[id] && !o.pool.HasEndpoint(id) {
		return fmt.Errorf("%w: %q", proxy.ErrUnknownEndpoint, id)
	}
	if o.sharedDir != nil {
		if err := o.sharedDir.Enable(id); err != nil {
			return err
		}
	}
	if o.disabled[id] {
		o.enableLocked(id)
	}
	return nil
}

// disableLocked takes an endpoint out. o.mu is held.
func (o *operations) disableLocked(id string) {
	o.disabled[id] = true
	o.pool.Disable(id)
	o.log.Info("an endpoint is taken out by hand", "id", id)
}

// enableLocked puts an endpoint back. o.mu is held.
func (o *operations) enableLocked(id string) {
	delete(o.disabled, id)
	o.pool.Enable(id)
	o.log.Info("an endpoint is put back by hand", "id", id)
}

// applySharedBans takes up what was said to another process of the sidecar. What can't be read changes nothing.
func (o *operations) applySharedBans() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	ids, foreign, err := o.sharedDir.Disabled()
	if err != nil {
		return err
	}
	if len(foreign) > 0 && !o.warnedForeign {
		o.warnedForeign = true
		o.log.Warn("files that stand for no ban are passed over", "names", foreign)
	}
	for _, id := range ids {
		if !o.disabled[id] {
			o.disableLocked(id)
		}
	}
	for id := range o.disabled {
		if !slices.Contains(ids, id) {
			o.enableLocked(id)
		}
	}
	return nil
}
