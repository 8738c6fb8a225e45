package daemon

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"rowancart/internal/config"
	"rowancart/internal/httpserver"
	"rowancart/internal/logkey"
)

// errSocketInUse means that another process serves at a unix socket of the configuration.
var errSocketInUse = errors.New("another process serves there")

// listener is an address at which clients are served.
type listener struct {
	name    string // changes with the configuration; guarded by Daemon.mu
	address string
	conns   *httpserver.Listener
	server  *httpserver.Server
	daemon  *Daemon

	// lastGeneration is the last generation that had the listener: its connections are served by that
	// until they end. It is nil while the configuration has the listener, and guarded by Daemon.mu.
	lastGeneration *generation
}

// isRemoved reports whether the configuration no longer has the listener, which drains since. The
// caller must hold Daemon.mu.
func (l *listener) isRemoved() bool { return l.lastGeneration != nil }

// listenerSet has all listeners, those included that drain since a reload has removed them.
type listenerSet []*listener

// named returns the listener of a name that the configuration has, or nil.
func (s listenerSet) named(name string) *listener {
	return s.first(func(l *listener) bool { return l.name == name && !l.isRemoved() })
}

// at returns the listener at an address that the configuration has, or nil.
func (s listenerSet) at(address string) *listener {
	return s.first(func(l *listener) bool { return l.address == address && !l.isRemoved() })
}

// first returns the first listener that meets a condition, or nil.
func (s listenerSet) first(meets func(*listener) bool) *listener {
	i := slices.IndexFunc(s, meets)
	if i < 0 {
		return nil
	}
	return s[i]
}

// without returns the listeners but for one, which has ended. It may reuse s.
func (s listenerSet) without(ended *listener) listenerSet {
	return slices.DeleteFunc(s, func(l *listener) bool { return l == ended })
}

// Addr returns the address at which the listener of that name is open, or nil if there is none.
func (d *Daemon) Addr(name string) net.Addr {
	d.mu.RLock()
	defer d.mu.RUnlock()
	l := d.listeners.named(name)
	if l == nil {
		return nil
	}
	return l.conns.Addr()
}

// AdminAddr returns the address of the admin interface, or nil if there is none.
func (d *Daemon) AdminAddr() net.Addr {
	if d.admin == nil {
		return nil
	}
	return d.admin.Addr()
}

// listen opens an address of the configuration, or inherits the predecessor's socket for it.
func (d *Daemon) listen(address string) (net.Listener, error) {
	if l, err := d.handover.inherit(address); l != nil || err != nil {
		return l, err
	}
	path, isUnix := strings.CutPrefix(address, "unix:")
	if !isUnix {
		return net.Listen("tcp", address)
	}
	if nc, err := net.Dial("unix", path); err == nil {
		nc.Close()
		return nil, fmt.Errorf("listen %s: %w", address, errSocketInUse)
	}
	if info, err := os.Stat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		_ = os.Remove(path) // left behind by a process that was killed
	}
	return net.Listen("unix", path)
}

// openListeners opens the listeners of a configuration that are not open yet: all or, with an
// error, none.
func (d *Daemon) openListeners(c *config.Config) (opened []*listener, err error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, want := range c.Listeners {
		if d.listeners.at(want.Address) != nil {
			continue
		}
		socket, err := d.listen(want.Address)
		if err != nil {
			closeListeners(opened)
			return nil, fmt.Errorf("listener %q: %w", want.Name, err)
		}
		opened = append(opened, d.newListener(want, socket, connsPerListener(c)))
	}
	return opened, nil
}

// newListener returns a listener that does not serve yet.
func (d *Daemon) newListener(c config.Listener, socket net.Listener, maxConns int) *listener {
	l := &listener{name: c.Name, address: c.Address, daemon: d}
	l.conns = httpserver.NewSheddingListener(socket, maxConns)
	l.server = httpserver.New(l, "rowancart", c.Address, d.log)
	l.server.RoundRetryAfter()
	return l
}

// connsPerListener returns how many client connections each listener may have open.
func connsPerListener(c *config.Config) int { return c.Limits.MaxConns / len(c.Listeners) }

func closeListeners(listeners []*listener) {
	for _, l := range listeners {
		l.conns.Close()
	}
}

// startListener serves a listener's connections. The server retries failures to accept, with a
// backoff.
func (d *Daemon) startListener(l *listener) {
	d.tasks.Go(func() error {
		err := ignoreClosed(l.server.Serve(l.conns))
		if err != nil {
			d.log.Error("listener failed", logkey.Addr, l.address, logkey.Err, err)
		}
		return err
	})
	d.log.Info("listening", logkey.Listener, l.name, logkey.Addr, l.conns.Addr().String())
}

// updateListeners makes the listeners those of the configuration, and returns those that it no
// longer has, whose last generation is the one that it replaces. The caller must hold d.reloadMu
// and d.mu.
func (d *Daemon) updateListeners(c *config.Config, opened []*listener, replaced *generation) (removed []*listener) {
	d.listeners = append(d.listeners, opened...)
	for _, l := range d.listeners {
		if l.isRemoved() {
			continue
		}
		i := slices.IndexFunc(c.Listeners, func(want config.Listener) bool { return want.Address == l.address })
		if i < 0 {
			l.lastGeneration = replaced
			replaced.acquire() // it still has a user: apply releases it later
			removed = append(removed, l)
			continue
		}
		l.name = c.Listeners[i].Name
		l.conns.SetMaxConns(connsPerListener(c))
	}
	return removed
}

// drainRemoved drains a listener that the configuration no longer has.
func (d *Daemon) drainRemoved(l *listener) {
	l.server.StartDraining()
	d.tasks.Go(func() error {
		err := ignoreClosed(l.conns.Drain(0, time.Time{}))
		d.mu.Lock()
		d.listeners = d.listeners.without(l)
		d.mu.Unlock()
		l.lastGeneration.release()
		return err
	})
}

// drainListeners waits until all listeners have answered the requests that they accepted.
// Connections open at the timeout are aborted.
func (d *Daemon) drainListeners(listeners []*listener, timeout <-chan time.Time) error {
	var all errgroup.Group
	for _, l := range listeners {
		l.server.StartDraining()
		all.Go(func() error { return ignoreClosed(l.conns.Drain(0, time.Time{})) })
	}
	drained := make(chan error, 1)
	go func() { drained <- all.Wait() }()
	select {
	case err := <-drained:
		return err
	case <-timeout:
		d.log.Error("drain timed out")
		for _, l := range listeners {
			l.conns.Abort()
		}
		return <-drained
	}
}
