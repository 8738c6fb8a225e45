// Package daemon serves a whole installation: many listeners, routes and pools from one configuration, swapped whole at a
// reload. It wires fronts, engines and rosters and keeps no decision of its own: routes are chosen in package route, limits
// held in package limit, endpoints chosen in the decision module.
package daemon

import (
	"bytes"
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
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"rowancart/internal/config"
	"rowancart/internal/filewatch"
	"rowancart/internal/hotrestart/successor"
	"rowancart/internal/httpserver"
)

const linger = 600 * time.Millisecond // new connections go on coming for a while after the signal to stop

// Daemon is an installation that serves. New makes one, Run does the work.
type Daemon struct {
	path    string
	getenv  func(string) (string, bool)
	log     *slog.Logger
	seed    uint64
	meter   *meter
	applied func(*config.Config) // may be nil
	admin   net.Listener         // nil: none

	work  context.Context // ends what serves; nil before Run, guarded by reloading
	parts errgroup.Group  // what has been started and must have ended before Run returns

	old    map[string]*poolState // by pool: what the process before this one knew; only until Run
	oldAgo time.Duration
	keeper keeper

	predecessor *successor.Predecessor
	successor   func() *exec.Cmd
	handOver    <-chan os.Signal

	idle chan struct{} // a generation that is not in force has lost its last user

	reloading sync.Mutex // one reload at a time; guards the next three
	stopping  bool
	pools     []*pool       // all that have not ended
	retired   []*generation // with requests under way

	mu        sync.RWMutex // guards the rest. A request finds its route, its limits and its pool under one hold
	now       *generation
	gates     map[string]*gate // by route
	listeners []*listener
	reloads   reloads

	serial atomic.Uint64 // of requests that bring no id
}

// reloads is what is told of them.
type reloads struct {
	Good    int       `json:"good"`
	Bad     int       `json:"bad"`
	LastAt  time.Time `json:"last_at"`
	LastBad string    `json:"last_error,omitempty"` // why the file as it is now is not in force
}

// listener is an address at which callers are served.
type listener struct {
	name    string
	address string
	conns   *httpserver.Listener
	front   *httpserver.Server
	daemon  *Daemon
	last    *generation // set once the configuration has no such listener: what its connections are served by until they end
}

// Options are what a daemon needs beside its configuration.
type Options struct {
	Path    string                      // of the configuration
	Getenv  func(string) (string, bool) // gives the variables that it asks for by name
	Log     *slog.Logger
	Applied func(*config.Config) // hears of each configuration that is put in force, the first included; nil: nobody does

	Predecessor *successor.Predecessor // gives sockets that are open already; nil: there are none
	Successor   func() *exec.Cmd       // what serves after this process when it is told to hand over; nil: it never is
	HandOver    <-chan os.Signal       // tells it
}

// New reads the configuration and opens its listeners.
func New(o Options) (*Daemon, error) {
	path, getenv, log := o.Path, o.Getenv, o.Log
	c, err := config.Load(path, getenv)
	if err != nil {
		return nil, err
	}
	var seed [8]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, err
	}
	d := &Daemon{path: path, getenv: getenv, log: log, seed: binary.LittleEndian.Uint64(seed[:]),
		gates: map[string]*gate{}, idle: make(chan struct{}, 1), applied: o.Applied, predecessor: o.Predecessor, successor: o.Successor, handOver: o.HandOver}
	d.meter = newMeter(d)
	d.warn(c)
	d.recall(c.State, c.Fleet)
	opened, err := d.open(c)
	if err != nil {
		return nil, err
	}
	if c.Admin != "" {
		if d.admin, err = d.listen(c.Admin); err != nil {
			for _, l := range opened {
				l.conns.Close()
			}
			return nil, fmt.Errorf("admin: %w", err)
		}
	}
	d.reloads.LastAt = time.Now()
	d.swap(c, opened)
	return d, nil
}

const otherDescriptors = 64 // for all but connections

// warn tells what is legal and hardly meant, and what this process cannot hold.
func (d *Daemon) warn(c *config.Config) {
	need := uint64(c.Limits.Connections + otherDescriptors)
	for _, p := range c.Pools {
		need += uint64(p.Connections)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && need > limit.Cur {
		c.Warnings = append(c.Warnings, fmt.Sprintf("%s: callers and pools may open %d connections together, and the process has %d descriptors",
			c.File, need, limit.Cur))
	}
	for _, w := range c.Warnings {
		d.log.Warn(w)
	}
}

// listen opens an address of the configuration, or takes it over.
func (d *Daemon) listen(address string) (net.Listener, error) {
	if d.predecessor != nil {
		if l, err := d.predecessor.Listener(address); l != nil || err != nil {
			return l, err
		}
	}
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		if nc, err := net.Dial("unix", path); err == nil {
			nc.Close()
			return nil, fmt.Errorf("listen %s: another process serves there", address)
		}
		if info, err := os.Stat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
			_ = os.Remove(path) // left behind by one that did not end in order
		}
		return net.Listen("unix", path)
	}
	return net.Listen("tcp", address)
}

// open opens the listeners that a configuration has beyond those that are there.
func (d *Daemon) open(c *config.Config) (opened []*listener, err error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, want := range c.Listeners {
		if slices.ContainsFunc(d.listeners, func(l *listener) bool { return l.address == want.Address && l.last == nil }) {
			continue
		}
		nl, err := d.listen(want.Address)
		if err != nil {
			for _, l := range opened {
				l.conns.Close()
			}
			return nil, fmt.Errorf("listener %q: %w", want.Name, err)
		}
		l := &listener{name: want.Name, address: want.Address, conns: httpserver.NewSheddingListener(nl, c.Limits.Connections/len(c.Listeners)), daemon: d}
		l.front = httpserver.New(l, "rowancart", want.Address, d.log)
		l.front.RoundRetryAfter()
		opened = append(opened, l)
	}
	return opened, nil
}

// Addr tells where the listener of a name is open, nil if there is none.
func (d *Daemon) Addr(name string) net.Addr {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, l := range d.listeners {
		if l.name == name && l.last == nil {
			return l.conns.Addr()
		}
	}
	return nil
}

// Admin tells where the admin listener is open, nil if there is none.
func (d *Daemon) Admin() net.Addr {
	if d.admin == nil {
		return nil
	}
	return d.admin.Addr()
}

// Run serves until ctx ends, and then until all that was taken has been answered or the time for that is over. Each value
// on hup, and each change of the file, is a reload.
func (d *Daemon) Run(ctx context.Context, hup <-chan os.Signal) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	d.reloading.Lock()
	d.work = work
	for _, p := range d.pools {
		d.startPool(p)
	}
	d.mu.RLock()
	for _, l := range d.listeners {
		d.startListener(l)
		d.log.Info("listening", "listener", l.name, "addr", l.conns.Addr().String())
	}
	d.mu.RUnlock()
	known := d.now.conf.Text
	d.old = nil // pools that come later begin anew
	d.reloading.Unlock()

	if d.admin != nil {
		admin := &http.Server{Handler: d.handler(), ReadHeaderTimeout: 5 * time.Second}
		d.log.Info("listening", "listener", "admin", "addr", d.admin.Addr().String())
		d.parts.Go(func() error { return ignoreClosed(admin.Serve(d.admin)) })
		defer func() { admin.Close(); _ = d.parts.Wait() }()
	}
	following, unfollow := context.WithCancel(ctx)
	defer unfollow()
	changed := make(chan struct{}, 1)
	d.parts.Go(func() error {
		err := filewatch.File(following, d.path, known, func([]byte) {
			select {
			case changed <- struct{}{}:
			default:
			}
		})
		if err != nil {
			d.log.Error("the configuration is not followed: only signals reload it", "err", err)
		}
		return nil
	})
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		d.keep(following)
	}()
	if d.predecessor != nil {
		if err := d.predecessor.Ready(); err != nil {
			d.log.Warn("the predecessor was not told that this process serves", "err", err)
		}
	}
	succeeded, failed := make(chan struct{}), make(chan struct{}, 1)
	for handing := false; ctx.Err() == nil; {
		select {
		case <-ctx.Done():
		case <-succeeded:
			unfollow()
			return d.drain(stop, kept, 0)
		case <-d.handOver:
			if !handing {
				handing = true
				d.parts.Go(func() error { d.succeed(ctx, succeeded, failed); return nil })
			}
		case <-failed:
			handing = false
		case <-hup:
			_ = d.Reload() // told in the log and the status
		case <-changed:
			_ = d.take(false)
		case <-d.idle:
			d.reloading.Lock()
			d.clean()
			d.reloading.Unlock()
		}
	}
	unfollow()
	return d.drain(stop, kept, linger)
}

// succeed hands the sockets to a successor and tells when it serves, or that it does not: then all is as before.
func (d *Daemon) succeed(ctx context.Context, succeeded chan<- struct{}, failed chan<- struct{}) {
	d.save(true, true) // for it to begin with
	d.mu.RLock()
	within := d.now.conf.Limits.HandOverWithin
	listeners := map[string]net.Listener{}
	for _, l := range d.listeners {
		if l.last == nil {
			listeners[l.address] = l.conns.Listener
		}
	}
	if d.admin != nil {
		listeners[d.now.conf.Admin] = d.admin
	}
	d.mu.RUnlock()
	s, err := successor.Start(d.successor(), listeners)
	if err == nil {
		d.log.Info("handing over", "pid", s.Pid, "within", within)
		err = s.Wait(ctx, within)
	}
	if err != nil {
		d.log.Error("no successor: this process goes on", "err", err)
		failed <- struct{}{}
		return
	}
	d.log.Info("handed over", "pid", s.Pid)
	close(succeeded)
}

// drain ends the callers' side, answers what was taken, and then ends the rest.
// For a while new connections are taken as before, unless another process takes them.
func (d *Daemon) drain(stop context.CancelFunc, kept <-chan struct{}, linger time.Duration) error {
	d.reloading.Lock()
	d.stopping = true
	d.reloading.Unlock()
	d.mu.RLock()
	limit := d.now.conf.Limits.StopWithin
	listeners := slices.Clone(d.listeners)
	d.mu.RUnlock()
	d.log.Info("stopping", "within", limit)
	over := time.NewTimer(limit)
	defer over.Stop()
	time.Sleep(min(linger, limit/2))
	finished := make(chan struct{})
	var all errgroup.Group
	for _, l := range listeners {
		l.front.StartDraining()
		all.Go(func() error { return ignoreClosed(l.conns.Drain(0, time.Time{})) })
	}
	var err error
	go func() { err = all.Wait(); close(finished) }()
	select {
	case <-finished:
	case <-over.C:
		d.log.Error("stopped with connections open: the time for it is over")
		for _, l := range listeners {
			l.conns.Abort()
		}
		<-finished
	}
	d.keepLast(kept)
	stop()
	if d.admin != nil {
		d.admin.Close()
	}
	return errors.Join(err, d.parts.Wait())
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// startListener serves a listener's connections. The front waits longer and longer after each failure to accept, up to a
// second, and goes on.
func (d *Daemon) startListener(l *listener) {
	d.parts.Go(func() error {
		err := ignoreClosed(l.front.Serve(l.conns))
		if err != nil {
			d.log.Error("a listener has ended", "addr", l.address, "err", err)
		}
		return err
	})
}

// Reload reads the configuration and, if it is good, puts it in force at once. A bad one changes nothing.
func (d *Daemon) Reload() error { return d.take(true) }

// take reloads. Unless told to in any case, it leaves what is in force already: a signal may have been quicker.
func (d *Daemon) take(anyway bool) error {
	d.reloading.Lock()
	defer d.reloading.Unlock()
	text, err := os.ReadFile(d.path)
	if err == nil && !anyway && bytes.Equal(text, d.now.conf.Text) && d.reloads.LastBad == "" {
		return nil
	}
	err = d.reload()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reloads.LastAt = time.Now()
	if err != nil {
		d.reloads.Bad++
		d.reloads.LastBad = err.Error()
		d.log.Error("reload: the old configuration stays", "err", err)
		return err
	}
	d.reloads.Good++
	d.reloads.LastBad = ""
	return nil
}

func (d *Daemon) reload() error {
	if d.stopping {
		return errors.New("the daemon is stopping")
	}
	c, err := config.Load(d.path, d.getenv)
	if err != nil {
		return err
	}
	old := d.now.conf // written under reloading only
	if c.Admin != old.Admin {
		return fmt.Errorf("admin: the listener cannot be moved from %q to %q without a restart", old.Admin, c.Admin)
	}
	opened, err := d.open(c)
	if err != nil {
		return err
	}
	d.warn(c)
	d.swap(c, opened)
	if d.work != nil { // else Run starts them
		for _, l := range opened {
			d.startListener(l)
			d.log.Info("listening", "listener", l.name, "addr", l.conns.Addr().String())
		}
	}
	d.log.Info("reloaded", "generation", d.now.n, "changes", strings.Join(old.Compare(c), ", "))
	return nil
}
