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

// listWithin is how long a start waits for discovery's word; then the list that the configuration has must do.
const listWithin = 2 * time.Second

// welcome knows whether requests can be served: the list has come, or has been waited for long enough, and connections are taken.
type welcome struct {
	heard chan struct{} // closed when the list has come
	once  sync.Once
	until time.Time
	open  atomic.Bool
}

func newWelcome() *welcome {
	return &welcome{heard: make(chan struct{}), until: time.Now().Add(listWithin)}
}

func (w *welcome) hear() { w.once.Do(func() { close(w.heard) }) }

// wait returns when the list has come or has been waited for long enough, or stop says so.
func (w *welcome) wait(stop <-chan struct{}) {
	late := time.NewTimer(time.Until(w.until))
	defer late.Stop()
	select {
	case <-w.heard:
	case <-late.C:
	case <-stop:
	}
}

func (w *welcome) listed() bool {
	select {
	case <-w.heard:
		return true
	default:
		return time.Now().After(w.until)
	}
}

var (
	errNoList  = errors.New("discovery has not told its list yet")
	errNotOpen = errors.New("connections are not taken yet")
)

// operator carries out what comes over the console.
type operator struct {
	engine  *proxy.Pool
	figures *metrics.Counters
	welcome *welcome
	folder  *hotrestart.SharedDir // nil: bans end with this process
	log     *slog.Logger

	mu      sync.Mutex      // held while a ban changes; not on the way of requests
	out     map[string]bool // the endpoints taken out
	foreign bool            // that files in the folder stand for no ban has been told
}

// Ready implements console.Operated.
func (o *operator) Ready() error {
	switch {
	case !o.welcome.listed():
		return errNoList
	case !o.welcome.open.Load():
		return errNotOpen
	}
	return nil
}

// AppendStats implements console.Operated.
func (o *operator) AppendStats(b []byte) []byte {
	g := o.engine.Gauges()
	return o.figures.Append(b, metrics.Gauges{Dispatches: g.Dispatches, Listed: g.Listed, Avoided: g.Avoided})
}

// Disable implements console.Operated. A yes means that the ban is in force here and outlives this process.
func (o *operator) Disable(id string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.out[id] && !o.engine.HasEndpoint(id) {
		return fmt.Errorf("%w: %q", proxy.ErrUnknownEndpoint, id)
	}
	if o.folder != nil {
		if err := o.folder.Disable(id); err != nil {
			return err
		}
	}
	if !o.out[id] {
		o.take(id)
	}
	return nil
}

// Enable implements console.Operated.
func (o *operator) Enable(id string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.out[id] && !o.engine.HasEndpoint(id) {
		return fmt.Errorf("%w: %q", proxy.ErrUnknownEndpoint, id)
	}
	if o.folder != nil {
		if err := o.folder.Enable(id); err != nil {
			return err
		}
	}
	if o.out[id] {
		o.put(id)
	}
	return nil
}

// take takes an endpoint out. o.mu is held.
func (o *operator) take(id string) {
	o.out[id] = true
	o.engine.Disable(id)
	o.log.Info("an endpoint is taken out by hand", "id", id)
}

// put puts an endpoint back. o.mu is held.
func (o *operator) put(id string) {
	delete(o.out, id)
	o.engine.Enable(id)
	o.log.Info("an endpoint is put back by hand", "id", id)
}

// reconcile takes up what was said to another process of the sidecar. What can't be read changes nothing.
func (o *operator) reconcile() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	ids, foreign, err := o.folder.Disabled()
	if err != nil {
		return err
	}
	if len(foreign) > 0 && !o.foreign {
		o.foreign = true
		o.log.Warn("files that stand for no ban are passed over", "names", foreign)
	}
	for _, id := range ids {
		if !o.out[id] {
			o.take(id)
		}
	}
	for id := range o.out {
		if !slices.Contains(ids, id) {
			o.put(id)
		}
	}
	return nil
}
