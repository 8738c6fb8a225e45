package testbed

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"rowancart/internal/experiment"
	"rowancart/internal/experiment/counters"
	"rowancart/internal/experiment/server"
	"rowancart/internal/experiment/traffic"
	"rowancart/internal/platform"
)

const (
	// startedLongAgo is the start of servers that have warmed up before the run begins.
	startedLongAgo = time.Duration(-1)

	// modelSeedName is part of the names from which the seeds of the models are derived. Another name
	// would change what a run's seed draws.
	modelSeedName = "box "

	acceptRetryWait = 10 * time.Millisecond // after an accept that failed, as when no descriptor is free
)

// emulatedServer is the model of a server behind a listener. It reads HTTP/1.1 by itself, so that
// it knows when a request's first and last byte arrived and can break connections where a fault
// requires it.
type emulatedServer struct {
	run        *testRun
	tier       int
	index      int // in the tier
	generation int // number of predecessors
	name       string
	listener   net.Listener
	sidecar    *sidecar // through which it calls the next tier; nil: it makes no calls
	addedAt    time.Duration
	removedAt  time.Duration // 0: not removed

	mu           sync.Mutex
	model        *server.Server
	timer        *time.Timer   // of the model's next event
	finishedJobs []*server.Job // buffer of advanceTo
	stats        counters.Server
	rng          *rand.Rand // of the faults
	conns        map[net.Conn]bool
	crashed      chan struct{}        // closed at a crash; a restart makes a new one
	faults       traffic.ServerFaults // in force
	recovered    chan struct{}        // closed when a fault ends, which makes a new one
	closed       bool
}

// newServer creates a server that accepts connections at once. The run's mu is held, or no other
// goroutine uses the run.
func (r *testRun) newServer(tier, index, generation int, started time.Duration) (*emulatedServer, error) {
	t := r.experiment.Site.Tiers[tier]
	kind := traffic.KindOf(t, index)
	name := traffic.ServerName(t, index, generation)
	l, err := net.Listen("tcp", r.serverAddrs.next())
	if err != nil {
		return nil, fmt.Errorf("server %s: %w", name, err)
	}
	s := &emulatedServer{
		run:        r,
		tier:       tier,
		index:      index,
		generation: generation,
		name:       name,
		listener:   l,
		addedAt:    max(started, 0),
		model:      server.New(kind, t.Server, r.experiment.Site.Rules, started, experiment.Rand(r.seed, modelSeedName+name)),
		stats:      counters.Server{Name: name, Kind: kind.Name, Cores: kind.Cores, AddedDuringRun: started >= 0},
		rng:        experiment.Rand(r.seed, "faults of "+name),
		conns:      map[net.Conn]bool{},
		crashed:    make(chan struct{}),
		recovered:  make(chan struct{}),
	}
	s.timer = time.AfterFunc(time.Hour, s.onTimer)
	r.goroutines.Go(s.accept)
	return s, nil
}

// listedEndpoint returns the server as discovery lists it now.
func (s *emulatedServer) listedEndpoint(state platform.State) platform.Endpoint {
	e := platform.Endpoint{
		ID:     s.name,
		Addr:   s.listener.Addr().String(),
		Zone:   "here",
		Kind:   s.stats.Kind,
		State:  state,
		Weight: platform.WriteOnly[float64]{Value: 1},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if started := s.model.Started(); started >= 0 {
		e.StartedMs = s.run.startTime().Add(started).UnixMilli()
	}
	return e
}

// draining reports whether the server is draining.
func (s *emulatedServer) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Draining()
}

// advance moves the model to now, which it returns. The model must be advanced at each of its
// events, so the events since the last call are caught up one by one. mu must be held.
func (s *emulatedServer) advance() time.Duration {
	now := s.run.now()
	for next := s.model.NextEvent(); next < now; next = s.model.NextEvent() {
		s.advanceTo(next)
	}
	s.advanceTo(now)
	return now
}

// advanceTo moves the model to an instant and notifies the goroutines whose jobs are done. mu must
// be held.
func (s *emulatedServer) advanceTo(at time.Duration) {
	s.finishedJobs = s.model.Advance(at, s.finishedJobs[:0])
	for _, j := range s.finishedJobs {
		j.Owner.(chan struct{}) <- struct{}{} // does not block: its capacity is one, and a job is done once at a time
	}
}

// reschedule sets the timer for the model's next event. mu must be held.
func (s *emulatedServer) reschedule() {
	if next := s.model.NextEvent() - s.run.now(); next < time.Hour {
		s.timer.Reset(max(next, 0))
	}
}

// onTimer advances the model at its next event.
func (s *emulatedServer) onTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.reschedule()
}

// accept accepts connections until the server is closed or the run ends.
func (s *emulatedServer) accept() {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptRetryWait)
			continue
		}
		accepting := s.waitWhile(func(f *traffic.ServerFaults) bool { return f.Unresponsive || f.AcceptStalled }, nil)
		if !accepting {
			nc.Close()
			return
		}
		crashed, ok := s.addConn(nc)
		if !ok {
			resetConn(nc)
			continue
		}
		s.run.goroutines.Go(func() { s.serve(nc, crashed) })
	}
}

// addConn counts a connection, and returns the channel that is closed when the process dies. It
// reports false if the model rejects the connection.
func (s *emulatedServer) addConn(nc net.Conn) (crashed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.model.Connect() {
		return nil, false
	}
	s.conns[nc] = true
	return s.crashed, true
}

// removeConn closes a connection.
func (s *emulatedServer) removeConn(nc net.Conn) {
	nc.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[nc] { // otherwise a crash has removed it
		delete(s.conns, nc)
		s.model.Disconnect()
	}
}

// waitWhile waits while a condition of the faults holds. It reports false if crashed was closed or
// the run ended before. A nil channel is never closed.
func (s *emulatedServer) waitWhile(holds func(*traffic.ServerFaults) bool, crashed <-chan struct{}) bool {
	for {
		s.mu.Lock()
		waiting, recovered := holds(&s.faults), s.recovered
		s.mu.Unlock()
		if !waiting {
			return true
		}
		select {
		case <-recovered:
		case <-crashed:
			return false
		case <-s.run.ctx.Done():
			return false
		}
	}
}

// waitResponsive waits while the machine sends nothing, but no longer than the process or the run
// lasts.
func (s *emulatedServer) waitResponsive(crashed <-chan struct{}) {
	s.waitWhile(func(f *traffic.ServerFaults) bool { return f.Unresponsive }, crashed)
}

// resetConn closes a connection so that the peer sees a reset.
func resetConn(nc net.Conn) {
	if t, ok := nc.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	nc.Close()
}

// crash ends the process: its connections are reset and new ones rejected.
func (s *emulatedServer) crash() {
	s.mu.Lock()
	s.advance()
	s.model.Crash()
	conns := s.conns
	s.conns = map[net.Conn]bool{}
	select {
	case <-s.crashed:
	default:
		close(s.crashed)
	}
	s.mu.Unlock()
	for nc := range conns {
		resetConn(nc)
	}
}

// restart starts a crashed process again, which has to warm up.
func (s *emulatedServer) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Restart(s.run.now())
	s.crashed = make(chan struct{})
}

// close ends the server for good. It may be called twice.
func (s *emulatedServer) close() {
	s.mu.Lock()
	s.closed = true
	s.timer.Stop()
	s.mu.Unlock()
	s.listener.Close()
	s.crash()
	if s.sidecar != nil {
		s.sidecar.conns.close()
	}
}

// applyFault begins or ends a fault.
func (s *emulatedServer) applyFault(event traffic.FaultEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.faults.Apply(event)
	s.model.SetSlowdown(s.faults.Slowdown())
	if !event.On {
		close(s.recovered)
		s.recovered = make(chan struct{})
	}
	s.reschedule()
}

// draws reports whether a fault of a rate strikes a request. mu must be held.
func (s *emulatedServer) draws(rate float64) bool { return rate > 0 && s.rng.Float64() < rate }
