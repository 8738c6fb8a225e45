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

// errSocketInUse means that another process accepts connections on a configured unix socket.
var errSocketInUse = errors.New("another process serves there")

// listener accepts and serves the connections of clients at one address.
type listener struct {
	name    string // a reload may change it; guarded by Daemon.mu
	address string
	conns   *httpserver.Listener
	server  *httpserver.Server
	daemon  *Daemon

	// lastGeneration is nil while the configuration contains the listener. After a reload has removed
	// the listener, it is the last generation that had it, which routes the requests on the remaining
	// connections. It is guarded by Daemon.mu.
	lastGeneration *generation
}

// isRemoved reports whether a reload has removed the listener, which is then draining. The caller
// must hold Daemon.mu.
func (l *listener) isRemoved() bool { return l.lastGeneration != nil }

// listenerSet contains all listeners, including those that a reload removed and that are draining.
type listenerSet []*listener

// byName returns the configured listener with that name, or nil.
func (s listenerSet) byName(name string) *listener {
	return s.find(func(l *listener) bool { return l.name == name && !l.isRemoved() })
}

// byAddress returns the configured listener with that address, or nil.
func (s listenerSet) byAddress(address string) *listener {
	return s.find(func(l *listener) bool { return l.address == address && !l.isRemoved() })
}

// find returns the first listener for which matches returns true, or nil.
func (s listenerSet) find(matches func(*listener) bool) *listener {
	i := slices.IndexFunc(s, matches)
	if i < 0 {
		return nil
	}
	return s[i]
}

// without returns the set without one listener. It may modify s.
func (s listenerSet) without(drained *listener) listenerSet {
	return slices.DeleteFunc(s, func(l *listener) bool { return l == drained })
}

// Addr returns the actual address of the configured listener with that name, or nil if there is
// none.
func (d *Daemon) Addr(name string) net.Addr {
	d.mu.RLock()
	defer d.mu.RUnlock()
	l := d.listeners.byName(name)
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

// listen opens a socket for a configured address, or inherits the predecessor's socket for it.
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

// openListeners opens the listeners of a configuration that are not open yet. If one of them cannot
// be opened, it closes the others and returns the error.
func (d *Daemon) openListeners(c *config.Config) (opened []*listener, err error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, want := range c.Listeners {
		if d.listeners.byAddress(want.Address) != nil {
			continue
		}
		socket, err := d.listen(want.Address)
		if err != nil {
			closeListeners(opened)
			return nil, fmt.Errorf("listener %q: %w", want.Name, err)
		}
		opened = append(opened, d.newListener(want, socket, maxConnsPerListener(c)))
	}
	return opened, nil
}

// newListener returns a listener that does not accept connections until startListener is called.
func (d *Daemon) newListener(c config.Listener, socket net.Listener, maxConns int) *listener {
	l := &listener{name: c.Name, address: c.Address, daemon: d}
	l.conns = httpserver.NewSheddingListener(socket, maxConns)
	l.server = httpserver.New(l, "rowancart", c.Address, d.log)
	l.server.RoundRetryAfter()
	l.server.SetMemory(d.memory)
	return l
}

// maxConnsPerListener returns how many client connections each listener may have open. The limit on
// all client connections is divided evenly.
func maxConnsPerListener(c *config.Config) int { return c.Limits.MaxConns / len(c.Listeners) }

func closeListeners(listeners []*listener) {
	for _, l := range listeners {
		l.conns.Close()
	}
}

// startListener starts serving a listener's connections. If accepting fails, the server retries
// with a backoff.
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

// updateListeners adds the opened listeners and applies the configuration to the existing ones. It
// marks listeners that the configuration no longer contains as removed, with replaced as their last
// generation, and returns them. The caller must hold d.reloadMu and d.mu.
func (d *Daemon) updateListeners(c *config.Config, opened []*listener, replaced *generation) (removed []*listener) {
	d.listeners = append(d.listeners, opened...)
	for _, l := range d.listeners {
		if l.isRemoved() {
			continue
		}
		i := slices.IndexFunc(c.Listeners, func(want config.Listener) bool { return want.Address == l.address })
		if i < 0 {
			l.lastGeneration = replaced
			replaced.acquire() // allowed, since it still has a user: apply releases it afterwards
			removed = append(removed, l)
			continue
		}
		l.name = c.Listeners[i].Name
		l.conns.SetMaxConns(maxConnsPerListener(c))
	}
	return removed
}

// drainRemoved starts draining a listener that the configuration no longer contains.
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

// drainListeners drains all listeners and waits until they have answered the requests that they
// accepted. It closes connections that are still open at finalClose.
func (d *Daemon) drainListeners(listeners []*listener, finalClose time.Time) error {
	var all errgroup.Group
	for _, l := range listeners {
		l.server.StartDraining()
		all.Go(func() error { return ignoreClosed(l.conns.Drain(0, finalClose)) })
	}
	timeout := time.AfterFunc(time.Until(finalClose), func() { d.log.Error("drain timed out") })
	defer timeout.Stop()
	return all.Wait()
}
