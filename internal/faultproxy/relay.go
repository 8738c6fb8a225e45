// Package faultproxy injects network faults between processes on one machine, for tests and
// experiments. A relay on loopback forwards TCP connections to one target. A script or a test makes
// it delay, reject, reset, half-open or partition them. Targets must be loopback addresses, and
// each relay has limits on its connections, bytes and lifetime.
package faultproxy

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Options configures a relay. A limit of zero means the default.
type Options struct {
	Seed        uint64        // of the random numbers for Loss and Jitter
	Script      Script        // faults, timed from the relay's start; Set overrides them
	Conns       int           // maximum of concurrent client connections; more are rejected (default 64)
	MaxBytes    int64         // limit for both directions together; no data passes beyond it (default 64 MiB)
	MaxLifetime time.Duration // time after which the relay closes itself (default 2 min)
}

const (
	defaultConns       = 64
	defaultMaxBytes    = 64 << 20
	defaultMaxLifetime = 2 * time.Minute
)

func (o Options) withDefaults() Options {
	if o.Conns <= 0 {
		o.Conns = defaultConns
	}
	if o.MaxBytes <= 0 {
		o.MaxBytes = defaultMaxBytes
	}
	if o.MaxLifetime <= 0 {
		o.MaxLifetime = defaultMaxLifetime
	}
	return o
}

// Stats holds a relay's counters since its start.
type Stats struct {
	Accepted      int   // client connections, including those that were rejected
	Rejected      int   // client connections reset on accept: by a fault, over the limit, or while closing
	Bytes         int64 // forwarded, in both directions
	WaitingChunks int   // chunks that wait now for the end of a partition
}

// Relay forwards TCP connections from a loopback address of its own to one target.
type Relay struct {
	listener net.Listener
	target   string
	options  Options
	start    time.Time
	done     chan struct{}  // closed by shutdown
	tasks    sync.WaitGroup // goroutines that Close waits for

	mu           sync.Mutex // guards the fields below
	rng          *rand.Rand
	override     *Fault                // fault passed to Set; nil: the script decides
	faultChanged chan struct{}         // closed and replaced when the current fault may have changed
	conns        map[net.Conn]struct{} // open connections to clients and to the target
	clients      int                   // number of open connections to clients
	closed       bool
	stats        Stats
}

// Listen starts a relay to a target, which must be a loopback address. The caller must close the
// relay.
func Listen(target string, options Options) (*Relay, error) {
	if err := checkLoopback(target); err != nil {
		return nil, err
	}
	if err := options.Script.Check(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("faultproxy: %w", err)
	}
	r := &Relay{
		listener:     listener,
		target:       target,
		options:      options.withDefaults(),
		start:        time.Now(),
		done:         make(chan struct{}),
		rng:          rand.New(rand.NewPCG(options.Seed, 0xfa17)),
		faultChanged: make(chan struct{}),
		conns:        map[net.Conn]struct{}{},
	}
	r.tasks.Add(2)
	go r.acceptConns()
	go r.runScript()
	return r, nil
}

func checkLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("faultproxy: target %q: %w", addr, err)
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("faultproxy: target %q is not on loopback", addr)
	}
	return nil
}

// Addr returns the address that clients connect to instead of the target's address.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Set puts a fault in force now. It overrides the script until the next call of Set or Heal.
func (r *Relay) Set(f Fault) { r.setOverride(&f) }

// Heal ends the fault that Set put in force. The script then applies again; without a script all
// data passes.
func (r *Relay) Heal() { r.setOverride(nil) }

// Stats returns the relay's current counters.
func (r *Relay) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// Close resets all connections and waits until the relay's goroutines have ended.
func (r *Relay) Close() error {
	err := r.shutdown()
	r.tasks.Wait()
	return err
}

// shutdown closes the relay without waiting for its goroutines, because one of them may be the
// caller.
func (r *Relay) shutdown() error {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return nil
	}
	r.closed = true
	r.resetConns()
	r.mu.Unlock()
	close(r.done)
	return r.listener.Close()
}

func (r *Relay) setOverride(f *Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.override = f
	r.applyFaultChange()
}

// currentFault returns the fault in force, and a channel that is closed when the fault may have
// changed.
func (r *Relay) currentFault() (Fault, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentFaultLocked(), r.faultChanged
}

// currentFaultLocked returns the fault in force. The caller must hold mu, and must keep it while it
// acts on the result, so that a later reset finds every connection that was accepted before it.
func (r *Relay) currentFaultLocked() Fault {
	if r.override != nil {
		return *r.override
	}
	return r.options.Script.At(time.Since(r.start))
}

// applyFaultChange wakes the goroutines that wait for a change of the fault, and resets all
// connections if the current fault is a reset. The caller must hold mu.
func (r *Relay) applyFaultChange() {
	close(r.faultChanged)
	r.faultChanged = make(chan struct{})
	if r.currentFaultLocked().Reset {
		r.resetConns()
	}
}

// resetConns resets all connections. The goroutines that serve them remove them from conns. The
// caller must hold mu.
func (r *Relay) resetConns() {
	for conn := range r.conns {
		resetConn(conn)
	}
}

// runScript applies the script's steps when they are due, and closes the relay at the end of its
// lifetime.
func (r *Relay) runScript() {
	defer r.tasks.Done()
	lifetime := time.NewTimer(r.options.MaxLifetime)
	defer lifetime.Stop()
	step := time.NewTimer(0)
	<-step.C
	defer step.Stop()
	for {
		var nextStep <-chan time.Time
		if at, ok := r.options.Script.Next(time.Since(r.start)); ok {
			step.Reset(time.Until(r.start.Add(at)))
			nextStep = step.C
		}
		select {
		case <-r.done:
			return
		case <-lifetime.C:
			r.shutdown()
			return
		case <-nextStep:
			r.mu.Lock()
			r.applyFaultChange()
			r.mu.Unlock()
		}
	}
}
