// Package server models one emulated server: its cores, slots and queue, its warm-up and its
// overload collapse. The package has no clock. Callers pass instants in, and the driver, which runs
// in virtual time or on sockets, advances the server at the instants that NextEvent returns.
//
// A request occupies a slot from the time it leaves the queue to its end, even while it waits for
// something else, such as the next tier. Of the requests with a slot, those that compute share the
// cores evenly (processor sharing). With as many slots as cores, each request has a core to itself,
// and the server is an M/G/c queue.
package server

import (
	"math"
	"math/rand/v2"
	"time"

	"rowancart/internal/experiment"
)

// Server is one emulated server. It is not safe for concurrent use.
type Server struct {
	kind  experiment.Kind
	spec  experiment.ServerSpec
	rules experiment.Rules
	rng   *rand.Rand

	now         time.Duration
	started     time.Duration // instant of the latest start; negative: long before the run
	slowdown    float64       // factor by which the machine's speed is divided
	draining    bool
	down        bool
	incarnation int // number of crashes

	workClock   float64 // work that a job would have done if it had computed ever since New, in seconds
	running     jobHeap // jobs that compute
	queue       jobQueue
	slotsUsed   int
	admitted    uint64  // number of jobs admitted so far
	coreSeconds float64 // core time used so far
	conns       int

	warmup   warmupLoad
	collapse collapse
	reports  loadReports
}

// never is the instant of an event that is not scheduled.
const never = time.Duration(math.MaxInt64)

// New returns a server that started at the instant started. A negative instant means that it
// started long before the run and has warmed up.
func New(kind experiment.Kind, spec experiment.ServerSpec, rules experiment.Rules, started time.Duration,
	rng *rand.Rand) *Server {
	return &Server{kind: kind, spec: spec, rules: rules, rng: rng, started: started, slowdown: 1,
		now: max(started, 0), collapse: noCollapse}
}

// Started returns the instant of the latest start, which is negative if that was long before the
// run.
func (s *Server) Started() time.Duration { return s.started }

// InFlight returns the number of requests in the server, including those that wait for a slot.
func (s *Server) InFlight() int { return s.slotsUsed + s.queue.len() }

// SlotsUsed returns the number of requests that have a slot.
func (s *Server) SlotsUsed() int { return s.slotsUsed }

// CoreSeconds returns the core time used so far, in seconds.
func (s *Server) CoreSeconds() float64 { return s.coreSeconds }

// workRate returns the work that each running job does per second.
func (s *Server) workRate(now time.Duration) float64 {
	n := len(s.running)
	if n == 0 || s.down {
		return 0
	}
	speed := s.kind.Speed * s.CapacityFraction(now) / s.slowdown
	if s.Collapsed() {
		speed /= s.spec.CollapseSlowdown
	}
	return speed * min(1, float64(s.kind.Cores)/float64(n))
}

// NextEvent returns the instant at which the server must next be advanced, which is never if no
// event is scheduled.
func (s *Server) NextEvent() time.Duration {
	next := s.nextCollapseChange()
	if r := s.workRate(s.now); r > 0 {
		remaining := max(s.running[0].finishClock-s.workClock, 0) / r
		finish := s.now + time.Duration(math.Round(remaining*1e9)) // Advance tolerates the rounding error
		next = min(next, finish)
		if s.CapacityFraction(s.now) < 1 {
			next = min(next, s.now+warmupStep)
		}
	}
	return max(next, s.now)
}

// roundingError is the possible error of the work clock, in seconds at full speed. It arises
// because instants are whole nanoseconds.
const roundingError = 2e-9

// Advance moves the server's time to now, which must not be after NextEvent. It appends to done the
// jobs whose work is complete, in the order of completion. Each of them keeps its slot, blocked,
// until the driver resumes or finishes it.
func (s *Server) Advance(now time.Duration, done []*Job) []*Job {
	if now > s.now {
		if r := s.workRate(s.now); r > 0 {
			s.workClock += r * (now - s.now).Seconds()
			s.coreSeconds += (now - s.now).Seconds() * min(float64(len(s.running)), float64(s.kind.Cores))
		}
		s.now = now
	}
	slack := s.workRate(now) * roundingError
	for len(s.running) > 0 && !s.down && s.running[0].finishClock <= s.workClock+slack {
		j := s.running.pop()
		j.phase = blocked
		done = append(done, j)
	}
	s.updateCollapse()
	return done
}

// SetSlowdown sets the factor by which the machine is slower than usual. The server must have been
// advanced to the present instant.
func (s *Server) SetSlowdown(factor float64) { s.slowdown = factor }

// Drain makes the server reject new requests.
func (s *Server) Drain() { s.draining = true }

// Draining reports whether the server rejects new requests.
func (s *Server) Draining() bool { return s.draining }

// Down reports whether the process has crashed.
func (s *Server) Down() bool { return s.down }

// Crash ends the process. All jobs are finished and get no response.
func (s *Server) Crash() {
	s.incarnation++
	s.down = true
	s.running = nil
	s.queue = jobQueue{}
	s.slotsUsed = 0
	s.conns = 0
	s.collapse = noCollapse
}

// Restart starts a crashed process again, which then warms up.
func (s *Server) Restart(now time.Duration) {
	s.now = now
	s.started = now
	s.down = false
	s.draining = false
	s.warmup.restart()
}

// Connect opens a connection. It returns false if the server has reached its connection limit or
// has crashed.
func (s *Server) Connect() bool {
	if s.down || s.spec.ConnLimit > 0 && s.conns >= s.spec.ConnLimit {
		return false
	}
	s.conns++
	return true
}

// Disconnect closes a connection.
func (s *Server) Disconnect() { s.conns = max(s.conns-1, 0) }

// DrawError draws whether the server responds to a request with status 500 although no fault is in
// force. The probability is ServerSpec.ErrorRate.
func (s *Server) DrawError() bool { return s.spec.ErrorRate > 0 && s.rng.Float64() < s.spec.ErrorRate }
