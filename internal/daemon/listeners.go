package daemon

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"rowancart/internal/config"
	"rowancart/internal/httpserver"
)

// listener is an address at which clients are served.
type listener struct {
	name    string // changes with the configuration; guarded by Daemon.mu
	address string
	conns   *httpserver.Listener
	server  *httpserver.Server
	daemon  *Daemon

	// drainingFor is the last generation that had the listener: its connections are served by that
	// until they end. It is nil while the configuration has the listener, and guarded by Daemon.mu.
	drainingFor *generation
}

// Addr returns the address at which the listener of that name is open, or nil if there is none.
func (d *Daemon) Addr(name string) net.Addr {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, l := range d.listeners {
		if l.name == name && l.drainingFor == nil {
			return l.conns.Addr()
		}
	}
	return nil
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
	if d.predecessor != nil {
		if l, err := d.predecessor.Listener(address); l != nil || err != nil {
			return l, err
		}
	}
	path, isUnix := strings.CutPrefix(address, "unix:")
	if !isUnix {
		return net.Listen("tcp", address)
	}
	if nc, err := net.Dial("unix", path); err == nil {
		nc.Close()
		return nil, fmt.Errorf("listen %s: another process serves there", address)
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
		isOpen := func(l *listener) bool { return l.address == want.Address && l.drainingFor == nil }
		if slices.ContainsFunc(d.listeners, isOpen) {
			continue
		}
		nl, err := d.listen(want.Address)
		if err != nil {
			closeListeners(opened)
			return nil, fmt.Errorf("listener %q: %w", want.Name, err)
		}
		l := &listener{name: want.Name, address: want.Address, daemon: d}
		l.conns = httpserver.NewSheddingListener(nl, connsPerListener(c))
		l.server = httpserver.New(l, "rowancart", want.Address, d.log)
		l.server.RoundRetryAfter()
		opened = append(opened, l)
	}
	return opened, nil
}

// connsPerListener returns how many client connections each listener may have open.
func connsPerListener(c *config.Config) int { return c.Limits.MaxConns / len(c.Listeners) }

func closeListeners(listeners []*listener) {
	for _, l := range listeners {
		l.conns.Close()
	}
}

// startListener serves a listener's connections. The server retries failures to accept by itself,
// with a backoff.
func (d *Daemon) startListener(l *listener) {
	d.tasks.Go(func() error {
		err := ignoreClosed(l.server.Serve(l.conns))
		if err != nil {
			d.log.Error("a listener has ended", "addr", l.address, "err", err)
		}
		return err
	})
	d.log.Info("listening", "listener", l.name, "addr", l.conns.Addr().String())
}

// syncListeners makes the listeners those of the configuration, and returns those that it no longer
// has, which are now draining. The caller must hold d.reloadMu and d.mu.
func (d *Daemon) syncListeners(c *config.Config, opened []*listener) (removed []*listener) {
	d.listeners = append(d.listeners, opened...)
	for _, l := range d.listeners {
		if l.drainingFor != nil {
			continue
		}
		i := slices.IndexFunc(c.Listeners, func(want config.Listener) bool { return want.Address == l.address })
		if i < 0 {
			l.drainingFor = d.retired[len(d.retired)-1]
			l.drainingFor.users.Add(1) // cannot be 0 yet: apply releases that generation later
			removed = append(removed, l)
			continue
		}
		l.name = c.Listeners[i].Name
		l.conns.SetMaxConns(connsPerListener(c))
	}
	return removed
}

// drainRemoved lets a listener finish that the configuration no longer has.
func (d *Daemon) drainRemoved(l *listener) {
	l.server.StartDraining()
	d.tasks.Go(func() error {
		err := ignoreClosed(l.conns.Drain(0, time.Time{}))
		d.mu.Lock()
		d.listeners = slices.DeleteFunc(d.listeners, func(o *listener) bool { return o == l })
		d.mu.Unlock()
		l.drainingFor.release()
		return err
	})
}

// drainListeners waits until all listeners have answered what they accepted. Connections open at
// the timeout are aborted.
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
		d.log.Error("stopped with connections open: the time for it is over")
		for _, l := range listeners {
			l.conns.Abort()
		}
		return <-drained
	}
}
