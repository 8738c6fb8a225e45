package faultproxy

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Options bound a relay and give it its script. Zero values take the defaults named.
type Options struct {
	Seed   uint64        // for losses and jitter
	Script Script        // played from the start; Set overrides it
	Conns  int           // streams at once; more are refused (64)
	Bytes  int64         // carried in all, both ways; then streams are cut (64 MiB)
	Life   time.Duration // the relay closes itself after this (2 min)
}

const (
	defaultConns = 64
	defaultBytes = 64 << 20
	defaultLife  = 2 * time.Minute
	chunk        = 32 << 10
)

// Stats are what a relay has done so far.
type Stats struct {
	Streams int   // taken
	Refused int   // reset at once: by loss, a cut, or over the bound
	Carried int64 // bytes passed on
	Held    int   // chunks waiting for a partition to heal, now
}

// Relay carries TCP streams from its own loopback address to one target.
type Relay struct {
	ln     net.Listener
	target string
	opts   Options
	start  time.Time
	done   chan struct{}
	wg     sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	manual  *Fault
	changed chan struct{} // closed at every change of the fault in force
	conns   map[net.Conn]struct{}
	stats   Stats
	open    int // streams
	closed  bool
}

// Listen starts a relay to target, which must be a loopback address.
func Listen(target string, opts Options) (*Relay, error) {
	if err := loopback(target); err != nil {
		return nil, err
	}
	if err := opts.Script.Check(); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("faultnet: %w", err)
	}
	if opts.Conns <= 0 {
		opts.Conns = defaultConns
	}
	if opts.Bytes <= 0 {
		opts.Bytes = defaultBytes
	}
	if opts.Life <= 0 {
		opts.Life = defaultLife
	}
	r := &Relay{ln: ln, target: target, opts: opts, start: time.Now(), done: make(chan struct{}),
		rng: rand.New(rand.NewPCG(opts.Seed, 0xfa17)), changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	r.wg.Add(2)
	go r.accept()
	go r.play()
	return r, nil
}

func loopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("faultnet: target %q: %w", addr, err)
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("faultnet: target %q is not on loopback", addr)
	}
	return nil
}

// Addr is where callers connect instead of the target.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Set puts a fault in force now, over the script, until the next Set; Heal ends it.
func (r *Relay) Set(f Fault) { r.change(&f) }

// Heal lets the script decide again: with none, everything passes.
func (r *Relay) Heal() { r.change(nil) }

// Stats tells what the relay has done.
func (r *Relay) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// Close ends the relay, resets its streams and waits for all that it started.
func (r *Relay) Close() error {
	err := r.shutdown()
	r.wg.Wait()
	return err
}

func (r *Relay) shutdown() error {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return nil
	}
	r.closed = true
	for c := range r.conns {
		reset(c)
	}
	r.mu.Unlock()
	close(r.done)
	return r.ln.Close()
}

func (r *Relay) fault() (Fault, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inForce(), r.changed
}

// inForce is the fault that holds now. r.mu is held: a stream that is taken in must be seen by the cut that follows.
func (r *Relay) inForce() Fault {
	if r.manual != nil {
		return *r.manual
	}
	return r.opts.Script.At(time.Since(r.start))
}

// change puts a fault in force, nil for the script's, wakes whatever waits on it and resets the streams of a cut.
func (r *Relay) change(manual *Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.manual = manual
	r.wake()
}

// wake tells all that wait that another fault may be in force. r.mu is held.
func (r *Relay) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
	if r.inForce().Cut {
		for c := range r.conns {
			reset(c)
		}
	}
}

// play follows the script's timeline until the relay's life is over.
func (r *Relay) play() {
	defer r.wg.Done()
	life := time.NewTimer(r.opts.Life)
	defer life.Stop()
	step := time.NewTimer(0)
	<-step.C
	defer step.Stop()
	for {
		var next <-chan time.Time
		if at, ok := r.opts.Script.Next(time.Since(r.start)); ok {
			step.Reset(time.Until(r.start.Add(at)))
			next = step.C
		}
		select {
		case <-r.done:
			return
		case <-life.C:
			r.shutdown()
			return
		case <-next:
			r.mu.Lock()
			r.wake()
			r.mu.Unlock()
		}
	}
}

func (r *Relay) accept() {
	defer r.wg.Done()
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		f := r.inForce()
		r.stats.Streams++
		refuse := r.closed || f.Cut || r.open >= r.opts.Conns || f.Loss > 0 && r.rng.Float64() < f.Loss
		if refuse {
			r.stats.Refused++
			r.mu.Unlock()
			reset(c)
			continue
		}
		r.conns[c] = struct{}{}
		r.open++
		r.mu.Unlock()
		r.wg.Add(1)
		go r.carry(c)
	}
}

// carry dials the target for one stream and pumps both ways until either ends.
func (r *Relay) carry(c net.Conn) {
	defer r.wg.Done()
	defer func() {
		r.forget(c)
		r.mu.Lock()
		r.open--
		r.mu.Unlock()
	}()
	d := net.Dialer{Timeout: time.Second}
	t, err := d.Dial("tcp", r.target)
	if err != nil {
		reset(c)
		return
	}
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		reset(t)
		return
	}
	r.conns[t] = struct{}{}
	r.mu.Unlock()
	defer r.forget(t)
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); r.pump(c, t, Forth) }()
	go func() { defer both.Done(); r.pump(t, c, Back) }()
	both.Wait()
}

func (r *Relay) forget(c net.Conn) {
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	c.Close()
}

// pump passes chunks from one side to the other as the fault in force lets it. When it ends it ends the stream
// both ways, as a broken middle box would, except where it stands half-open.
func (r *Relay) pump(from, to net.Conn, w Way) {
	buf := make([]byte, chunk)
	for {
		n, err := from.Read(buf)
		if n > 0 && !r.pass(buf[:n], to, w) {
			return
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				if tc, ok := to.(*net.TCPConn); ok {
					tc.CloseWrite()
					return
				}
			}
			to.Close()
			return
		}
	}
}

// pass waits as the fault says and writes one chunk; false when the stream is over.
func (r *Relay) pass(p []byte, to net.Conn, w Way) bool {
	held := false
	hold := func(is bool) {
		if held == is {
			return
		}
		held = is
		r.mu.Lock()
		defer r.mu.Unlock()
		if held {
			r.stats.Held++
		} else {
			r.stats.Held--
		}
	}
	defer hold(false)
	for {
		f, changed := r.fault()
		if !f.on(w) {
			f = Fault{}
		}
		switch {
		case f.Cut:
			return false
		case f.Half:
			<-r.done // nothing passes this way again; the stream stands until the relay ends
			return false
		case f.Hold:
			hold(true)
			select {
			case <-changed:
				continue
			case <-r.done:
				return false
			}
		}
		hold(false) // before the write: who reads what was held sees it held no more
		if wait := f.Delay + r.jitter(f.Jitter); wait > 0 {
			t := time.NewTimer(wait)
			select {
			case <-t.C:
			case <-r.done:
				t.Stop()
				return false
			}
		}
		r.mu.Lock()
		over := r.stats.Carried+int64(len(p)) > r.opts.Bytes
		if !over {
			r.stats.Carried += int64(len(p))
		}
		r.mu.Unlock()
		if over {
			return false
		}
		_, err := to.Write(p)
		return err == nil
	}
}

func (r *Relay) jitter(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rng.Int64N(int64(most)))
}

// reset closes a connection with a reset, as a cut in the middle shows to both ends.
func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		tc.SetLinger(0)
	}
	c.Close()
}
