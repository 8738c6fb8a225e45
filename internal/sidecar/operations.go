package sidecar

import (
	"fmt"
	"log/slog"
	"slices"
	"sync"

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

// Disable implements admin.Operations. Once it returns nil the ban is in force here and outlives
// this process.
func (o *operations) Disable(id string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.checkKnownLocked(id); err != nil {
		return err
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

// Enable implements admin.Operations.
func (o *operations) Enable(id string) error {
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

// applySharedBans applies the bans that other processes of the sidecar have been told of, and lifts
// those that are gone. An error changes nothing. It must only be called where there is a shared
// directory.
func (o *operations) applySharedBans() error {
	o.mu.Lock()
	defer o.mu.Unlock()
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
