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
	// startedLongAgo is the start time of servers that have warmed up before the run begins.
	startedLongAgo = time.Duration(-1)

	// modelPrefix is the prefix of the names from which the seeds of the server models are derived.
	// Another prefix would change the random numbers of existing seeds.
	modelPrefix = "box "

	acceptRetryWait = 10 * time.Millisecond // after a failed accept, for example when no file descriptor is free
)

// emulatedServer accepts connections on a listener and handles requests according to a server
// model. It reads HTTP/1.1 requests from connections and writes responses without net/http's
// server, to measure when the first and the last byte of a request arrive, and to break a
// connection at the point that a fault requires.
type emulatedServer struct {
	run        *testRun
	tier       int
	index      int // in the tier
	generation int // number of servers that had this index before
	name       string
	listener   net.Listener
	sidecar    *sidecar // through which it calls the next tier; nil if it makes no calls
	addedAt    time.Duration
	removedAt  time.Duration // 0 if not removed

	mu           sync.Mutex
	model        *server.Server
	timer        *time.Timer   // fires at the model's next event
	finishedJobs []*server.Job // buffer that advanceTo reuses
	stats        counters.Server
	rng          *rand.Rand // draws the faults
	conns        map[net.Conn]bool
	crashed      chan struct{}        // closed when the process crashes; replaced at a restart
	faults       traffic.ServerFaults // currently active
	faultEnded   chan struct{}        // closed and replaced when a fault ends
	closed       bool
}

// newServer creates a server that accepts connections immediately. The caller must hold the run's
// mu, unless no other goroutine uses the run yet.
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
		model:      server.New(kind, t.Server, r.experiment.Site.Rules, started, experiment.Rand(r.seed, modelPrefix+name)),
		stats:      counters.Server{Name: name, Kind: kind.Name, Cores: kind.Cores, AddedDuringRun: started >= 0},
		rng:        experiment.Rand(r.seed, "faults of "+name),
		conns:      map[net.Conn]bool{},
		crashed:    make(chan struct{}),
		faultEnded: make(chan struct{}),
	}
	s.timer = time.AfterFunc(time.Hour, s.onTimer)
	r.goroutines.Go(s.accept)
	return s, nil
}

// listedEndpoint returns an endpoint list entry for the server, with the given state.
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

// advance advances the model to the current time and returns that time. The model must be advanced
// to each of its events, so advance first processes the events since the last call one by one. mu
// must be held.
func (s *emulatedServer) advance() time.Duration {
	now := s.run.now()
	for next := s.model.NextEvent(); next < now; next = s.model.NextEvent() {
		s.advanceTo(next)
	}
	s.advanceTo(now)
	return now
}

// advanceTo advances the model to the given time and notifies the goroutines whose jobs are done.
// mu must be held.
func (s *emulatedServer) advanceTo(at time.Duration) {
	s.finishedJobs = s.model.Advance(at, s.finishedJobs[:0])
	for _, j := range s.finishedJobs {
		j.Owner.(chan struct{}) <- struct{}{} // does not block: capacity 1, and its value is received before the job resumes
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

// addConn registers a connection and returns the channel that is closed when the process crashes.
// It reports false if the server is closed or the model rejects the connection.
func (s *emulatedServer) addConn(nc net.Conn) (crashed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.model.Connect() {
		return nil, false
	}
	s.conns[nc] = true
	return s.crashed, true
}

// removeConn closes a connection and removes it from the model.
func (s *emulatedServer) removeConn(nc net.Conn) {
	nc.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[nc] { // otherwise a crash has removed it already
		delete(s.conns, nc)
		s.model.Disconnect()
	}
}

// waitWhile waits while a condition on the active faults is true. It reports false if crashed was
// closed or the run ended before. If crashed is nil, only the end of the run interrupts the wait.
func (s *emulatedServer) waitWhile(condition func(*traffic.ServerFaults) bool, crashed <-chan struct{}) bool {
	for {
		s.mu.Lock()
		waiting, faultEnded := condition(&s.faults), s.faultEnded
		s.mu.Unlock()
		if !waiting {
			return true
		}
		select {
		case <-faultEnded:
		case <-crashed:
			return false
		case <-s.run.ctx.Done():
			return false
		}
	}
}

// waitResponsive waits while a fault makes the server unresponsive. It returns early if the process
// crashes or the run ends.
func (s *emulatedServer) waitResponsive(crashed <-chan struct{}) {
	s.waitWhile(func(f *traffic.ServerFaults) bool { return f.Unresponsive }, crashed)
}

// resetConn closes a connection with a TCP reset.
func resetConn(nc net.Conn) {
	if t, ok := nc.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	nc.Close()
}

// crash emulates a crash of the process: it resets all connections, and the model rejects new ones.
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

// restart restarts a crashed process, which must warm up again.
func (s *emulatedServer) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Restart(s.run.now())
	s.crashed = make(chan struct{})
}

// close stops the server permanently. It may be called twice.
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
		close(s.faultEnded)
		s.faultEnded = make(chan struct{})
	}
	s.reschedule()
}

// drawBool returns true with the given probability. It consumes no random number if the probability
// is 0. mu must be held.
func (s *emulatedServer) drawBool(probability float64) bool {
	return probability > 0 && s.rng.Float64() < probability
}
