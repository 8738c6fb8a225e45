// Package faultproxy injects faults between processes on one machine, for tests and experiments: a
// relay on loopback forwards TCP connections to one target and delays, rejects, resets, half-opens
// or partitions them by a script or at a test's request. Targets must be loopback addresses, and
// each relay is bounded in connections, bytes and time.
package faultproxy

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Options configure a relay. A bound of zero means the default.
type Options struct {
	Seed        uint64        // of the random numbers for losses and jitter
	Script      Script        // run from the start of the relay; Set overrides it
	Conns       int           // client connections at a time; more are rejected (default 64)
	MaxBytes    int64         // in both directions together; then nothing passes (default 64 MiB)
	MaxLifetime time.Duration // after which the relay closes itself (default 2 min)
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

// Stats count what a relay has done so far.
type Stats struct {
	Accepted      int   // client connections, including those that were rejected
	Rejected      int   // client connections that were reset at once: by a fault, or over the bound
	Bytes         int64 // forwarded, in both directions
	WaitingChunks int   // waiting at present for the end of a partition
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
	override     *Fault                // of Set; nil: the script decides
	faultChanged chan struct{}         // closed and replaced when the current fault may have changed
	conns        map[net.Conn]struct{} // to clients and to the target
	clients      int                   // connections to clients
	closed       bool
	stats        Stats
}

// Listen starts a relay to a target, which must be a loopback address. The caller must close it.
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

// Addr returns the address to which clients connect instead of the target's.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Set puts a fault in force now, whatever the script says, until the next Set or Heal.
func (r *Relay) Set(f Fault) { r.setOverride(&f) }

// Heal ends the fault of Set: the script decides again. Without a script everything passes.
func (r *Relay) Heal() { r.setOverride(nil) }

// Stats returns what the relay has done so far.
func (r *Relay) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// Close resets all connections and returns when the relay's goroutines have ended.
func (r *Relay) Close() error {
	err := r.shutdown()
	r.tasks.Wait()
	return err
}

// shutdown ends the relay without waiting for its goroutines, one of which may be the caller.
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

// currentFault returns the fault in force, and a channel that is closed when that may have changed.
func (r *Relay) currentFault() (Fault, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentFaultLocked(), r.faultChanged
}

// currentFaultLocked returns the fault in force. The caller must hold mu, also while it acts on the
// result: a later reset must find the connections that were accepted before it.
func (r *Relay) currentFaultLocked() Fault {
	if r.override != nil {
		return *r.override
	}
	return r.options.Script.At(time.Since(r.start))
}

// applyFaultChange wakes the goroutines that wait for a change of the fault, and resets the
// connections if the current fault does so. The caller must hold mu.
func (r *Relay) applyFaultChange() {
	close(r.faultChanged)
	r.faultChanged = make(chan struct{})
	if r.currentFaultLocked().Reset {
		r.resetConns()
	}
}

// resetConns resets all connections. Their own goroutines remove them. The caller must hold mu.
func (r *Relay) resetConns() {
	for conn := range r.conns {
		resetConn(conn)
	}
}

// runScript applies the steps of the script, and closes the relay at the end of its lifetime.
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
