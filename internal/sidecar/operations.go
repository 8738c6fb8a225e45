package sidecar

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"rowancart/internal/hotrestart"
	"rowancart/internal/logkey"
	"rowancart/internal/metrics"
	"rowancart/internal/proxy"
)

// operations executes the commands of the admin interface. It implements admin.Operations.
type operations struct {
	pool      *proxy.Pool
	counters  *metrics.Counters
	readiness *readiness
	sharedDir *hotrestart.SharedDir // nil: disabled endpoints are not stored for the next process
	log       *slog.Logger

	mu            sync.Mutex      // held while an endpoint is disabled or enabled; forwarding requests does not need it
	disabled      map[string]bool // the disabled endpoints, by id
	unstored      map[string]bool // the disabled endpoints that could not be stored in the shared directory yet
	warnedForeign bool            // a warning about foreign files in the shared directory has been logged
}

// Ready implements admin.Operations.
func (o *operations) Ready() error { return o.readiness.check() }

// AppendStats implements admin.Operations.
func (o *operations) AppendStats(b []byte) []byte {
	gauges := o.pool.Gauges()
	return o.counters.Append(b, metrics.Gauges{
		Dispatches:            gauges.RequestsWritten,
		ListedEndpoints:       gauges.Listed,
		UnselectableEndpoints: gauges.Unselectable,
	})
}

// commandListTimeout bounds how long a command waits for the first endpoint list. The response to a
// command is due within 1 s.
const commandListTimeout = 700 * time.Millisecond

// waitUntilKnown waits for the first endpoint list, which may contain the endpoint, for
// commandListTimeout at most. It returns at once if the endpoint is known, or if the list has been
// received or nothing waits for it any more.
func (o *operations) waitUntilKnown(id string) {
	if o.readiness.listSettled() || o.isKnown(id) {
		return
	}
	stop := make(chan struct{})
	timeout := time.AfterFunc(commandListTimeout, func() { close(stop) })
	defer timeout.Stop()
	o.readiness.waitForList(stop)
}

// isKnown reports whether the endpoint is listed or disabled.
func (o *operations) isKnown(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.checkKnownLocked(id) == nil
}

// Disable implements admin.Operations. It disables the endpoint in this process unless the endpoint
// is unknown or its id is too long to be stored. If there is a shared directory and the error is
// nil, this has also been stored for successor processes. If storing fails, syncDisabled retries
// it.
func (o *operations) Disable(id string) error {
	o.waitUntilKnown(id)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.checkKnownLocked(id); err != nil {
		return err
	}
	err := o.storeDisabledLocked(id)
	if errors.Is(err, hotrestart.ErrIDTooLong) {
		return err
	}
	if !o.disabled[id] {
		o.disableLocked(id)
	}
	return err
}

// storeDisabledLocked stores in the shared directory, if there is one, that the endpoint is
// disabled. The caller must hold o.mu.
func (o *operations) storeDisabledLocked(id string) error {
	if o.sharedDir == nil {
		return nil
	}
	err := o.sharedDir.Disable(id)
	if err == nil || errors.Is(err, hotrestart.ErrIDTooLong) {
		return err
	}
	o.unstored[id] = true
	return fmt.Errorf("%q is out in this process, and not stored yet: %w", id, err) // admin protocol: must not change
}

// Enable implements admin.Operations.
func (o *operations) Enable(id string) error {
	o.waitUntilKnown(id)
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

// checkKnownLocked returns proxy.ErrUnknownEndpoint for an endpoint that is neither listed nor
// disabled. The caller must hold o.mu.
func (o *operations) checkKnownLocked(id string) error {
	if !o.disabled[id] && !o.pool.HasEndpoint(id) {
		return fmt.Errorf("%w: %q", proxy.ErrUnknownEndpoint, id)
	}
	return nil
}

// disableLocked disables an endpoint in this process. The caller must hold o.mu.
func (o *operations) disableLocked(id string) {
	o.disabled[id] = true
	o.pool.Disable(id)
	o.log.Info("endpoint disabled", logkey.Endpoint, id)
}

// enableLocked enables a disabled endpoint in this process. The caller must hold o.mu.
func (o *operations) enableLocked(id string) {
	delete(o.disabled, id)
	o.pool.Enable(id)
	o.log.Info("endpoint enabled", logkey.Endpoint, id)
}

// syncDisabled stores the disabled endpoints that could not be stored before, and then applies the
// changes that were made through peer processes. If it returns an error, nothing has been applied.
// It requires a shared directory.
func (o *operations) syncDisabled() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.storeUnstoredLocked(); err != nil {
		return err
	}
	stored, err := o.sharedDir.Disabled()
	if err != nil {
		return err
	}
	if len(stored.ForeignFiles) > 0 && !o.warnedForeign {
		o.warnedForeign = true
		o.log.Warn("foreign files ignored", "files", stored.ForeignFiles)
	}
	o.applyDisabledLocked(stored.IDs)
	return nil
}

// storeUnstoredLocked tries again to store the disabled endpoints that could not be stored before.
// The caller must hold o.mu.
func (o *operations) storeUnstoredLocked() error {
	for id := range o.unstored {
		if err := o.sharedDir.Disable(id); err != nil {
			return err
		}
		delete(o.unstored, id)
	}
	return nil
}

// applyDisabledLocked disables the endpoints with the given ids and enables all others. The caller
// must hold o.mu.
func (o *operations) applyDisabledLocked(ids []string) {
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
}
