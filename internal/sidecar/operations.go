package sidecar

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"rowancart/internal/hotrestart"
	"rowancart/internal/metrics"
	"rowancart/internal/proxy"
)

// operations carries out the commands of the admin interface. It implements admin.Operations.
type operations struct {
	pool      *proxy.Pool
	counters  *metrics.Counters
	readiness *readiness
	sharedDir *hotrestart.SharedDir // nil: bans end with this process
	log       *slog.Logger

	mu            sync.Mutex      // held while a ban changes; requests do not wait for it
	disabled      map[string]bool // the endpoints that operators have disabled, by id
	unstored      map[string]bool // of these, the ones that the shared directory does not have yet
	warnedForeign bool            // files in the shared directory that stand for no ban have been logged
}

// Ready implements admin.Operations.
func (o *operations) Ready() error { return o.readiness.check() }

// AppendStats implements admin.Operations.
func (o *operations) AppendStats(b []byte) []byte {
	gauges := o.pool.Gauges()
	return o.counters.Append(b, metrics.Gauges{
		Dispatches:       gauges.Dispatches,
		ListedEndpoints:  gauges.Listed,
		AvoidedEndpoints: gauges.Avoided,
	})
}

// firstListWait is how long an operator's call waits for the first endpoint list. Its answer is due
// within a second.
const firstListWait = 700 * time.Millisecond

// waitUntilListed returns once an endpoint is known, or can't become known by the first list.
func (o *operations) waitUntilListed(id string) {
	if o.readiness.listSettled() || o.isKnown(id) {
		return
	}
	stop := make(chan struct{})
	timeout := time.AfterFunc(firstListWait, func() { close(stop) })
	defer timeout.Stop()
	o.readiness.waitForList(stop)
}

// isKnown reports whether an endpoint is listed or disabled.
func (o *operations) isKnown(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.checkKnownLocked(id) == nil
}

// Disable implements admin.Operations. Once it returns, the ban is in force here; with nil it also
// outlives this process. A ban that could not be stored is stored as soon as the shared directory
// allows it.
func (o *operations) Disable(id string) error {
	o.waitUntilListed(id)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.checkKnownLocked(id); err != nil {
		return err
	}
	var err error
	if o.sharedDir != nil {
		err = o.sharedDir.Disable(id)
	}
	if errors.Is(err, hotrestart.ErrIDTooLong) {
		return err
	}
	if err != nil {
		o.unstored[id] = true
		err = fmt.Errorf("%q is out in this process, and not stored yet: %w", id, err)
	}
	if !o.disabled[id] {
		o.disableLocked(id)
	}
	return err
}

// Enable implements admin.Operations.
func (o *operations) Enable(id string) error {
	o.waitUntilListed(id)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.checkKnownLocked(id); err != nil {
		return err
	}
	if o.sharedDir != nil {
		if err := o.sharedDir.Enable(id); err != nil {
			return err
		}
	}
	delete(o.unstored, id)
	if o.disabled[id] {
		o.enableLocked(id)
	}
	return nil
}

// checkKnownLocked returns proxy.ErrUnknownEndpoint for an id that is neither listed nor disabled.
// The caller must hold o.mu.
func (o *operations) checkKnownLocked(id string) error {
	if !o.disabled[id] && !o.pool.HasEndpoint(id) {
		return fmt.Errorf("%w: %q", proxy.ErrUnknownEndpoint, id)
	}
	return nil
}

// disableLocked ends new requests to an endpoint. The caller must hold o.mu.
func (o *operations) disableLocked(id string) {
	o.disabled[id] = true
	o.pool.Disable(id)
	o.log.Info("endpoint disabled by an operator", "id", id)
}

// enableLocked undoes disableLocked. The caller must hold o.mu.
func (o *operations) enableLocked(id string) {
	delete(o.disabled, id)
	o.pool.Enable(id)
	o.log.Info("endpoint enabled by an operator", "id", id)
}

// syncBans stores the bans that could not be stored before, applies those that other processes of
// the sidecar have been told of, and lifts those that are gone. With an error nothing is lifted or
// applied. It must only be called where there is a shared directory.
func (o *operations) syncBans() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range o.unstored {
		if err := o.sharedDir.Disable(id); err != nil {
			return err
		}
		delete(o.unstored, id)
	}
	ids, foreign, err := o.sharedDir.Disabled()
	if err != nil {
		return err
	}
	if len(foreign) > 0 && !o.warnedForeign {
		o.warnedForeign = true
		o.log.Warn("ignoring files that stand for no ban", "names", foreign)
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
