// Package server is the model of one emulated server. It is pure: instants are passed in, and a driver, in virtual time or
// on sockets, asks when the server wants to be looked at next.
//
// A request occupies a slot from its admission to its end, also while it waits for something else, such as the next
// tier. Of the requests in slots, those that compute share the cores evenly (processor sharing); with as many slots as
// cores each has a core to itself, and the server is the M/G/c queue of the textbooks.
package server

import (
	"math"
	"math/rand/v2"
	"time"

	"rowancart/internal/experiment"
)

// warmupStep is how finely the growth of a cold server's capacity is followed.
const warmupStep = 20 * time.Millisecond

// Admission is what becomes of a request that arrives.
type Admission int

// The verdicts.
const (
	Admitted    Admission = iota // it has a slot, or will have one
	Rejected                     // rejected unseen
	Unavailable                  // nobody is there to answer
)

// Job is a request in a server. The driver makes it and keeps it until the server says that it is over.
type Job struct {
	Owner any     // the driver's
	Work  float64 // seconds on a core of speed 1, until the next time that the server hands the job back

	phase       phase
	finishClock float64 // reading of the server's work clock at which it is through
	heapIndex   int     // in the heap of running jobs
	seq         uint64  // tells jobs of the same finish apart
	server      *Server
	incarnation int // of the server, when it came
}

type phase int

const (
	notAdmitted phase = iota
	queued
	running
	blocked // has a slot and does not compute
	finished
)

// Finished reports whether the server has forgotten the job.
func (j *Job) Finished() bool {
	return j.phase == finished || j.server != nil && j.incarnation != j.server.incarnation
}

// Server is one server.
type Server struct {
	kind  experiment.Kind
	spec  experiment.ServerSpec
	rules experiment.Rules
	rng   *rand.Rand

	now         time.Duration
	started     time.Duration // latest start; negative: long ago
	slowdown    float64       // the machine's speed is divided by this
	draining    bool
	down        bool
	incarnation int // crashes so far

	workClock float64 // attained work of a job that has run since the server began
	running   jobHeap
	queue     []*Job
	queueHead int
	slotsUsed int // slots in use
	seq       uint64

	conns int

	overloadedSince time.Duration // too many wait since; negative: not so
	recoveringSince time.Duration
	collapsedAt     time.Duration // negative: not choked

	recentWork    []workArrival // within the window of the rule on cold servers
	recentWorkSum float64
	warmupPeak    float64
	fellOver      bool
	loadReports   []loadReading
	reportedAt    time.Duration // latest refresh that the readings cover
	coreSeconds   float64       // core seconds used
}

type workArrival struct {
	at   time.Duration
	work float64
}

type loadReading struct {
	at       time.Duration
	inFlight float64
}

// never stands for an instant that does not come.
const never = time.Duration(math.MaxInt64)

// New returns a server that started at the instant given, a negative one meaning long ago.
func New(kind experiment.Kind, spec experiment.ServerSpec, rules experiment.Rules, started time.Duration, rng *rand.Rand) *Server {
	return &Server{kind: kind, spec: spec, rules: rules, rng: rng, started: started, slowdown: 1, overloadedSince: -1, recoveringSince: -1,
		collapsedAt: -1, now: max(started, 0)}
}

// Started is the instant of the latest start, negative if that was long ago.
func (s *Server) Started() time.Duration { return s.started }

// InFlight is how many requests the server has, waiting ones included.
func (s *Server) InFlight() int { return s.slotsUsed + s.queued() }

// SlotsUsed is how many requests have a slot.
func (s *Server) SlotsUsed() int { return s.slotsUsed }

// CoreSeconds is the core time used so far, in seconds.
func (s *Server) CoreSeconds() float64 { return s.coreSeconds }

func (s *Server) queued() int { return len(s.queue) - s.queueHead }

// CapacityFraction is the share of its capacity that the server has.
func (s *Server) CapacityFraction(now time.Duration) float64 {
	if s.started < 0 || s.spec.WarmupTime <= 0 || now-s.started >= s.spec.WarmupTime {
		return 1
	}
	return s.spec.InitialCapacity + (1-s.spec.InitialCapacity)*float64(max(now-s.started, 0))/float64(s.spec.WarmupTime)
}

// Capacity is the work that the server can do now, in seconds a second. Faults that slow it do not count: they are not
// what senders can know.
func (s *Server) Capacity(now time.Duration) float64 {
	return float64(s.kind.Cores) * s.kind.Speed * s.CapacityFraction(now)
}

// workRate is the progress of each running job, in work a second.
func (s *Server) workRate(now time.Duration) float64 {
	n := len(s.running)
	if n == 0 || s.down {
		return 0
	}
	speed := s.kind.Speed * s.CapacityFraction(now) / s.slowdown
	if s.collapsedAt >= 0 {
		speed /= s.spec.CollapseSlowdown
	}
	return speed * min(1, float64(s.kind.Cores)/float64(n))
}

// NextEvent is the instant at which the server wants Advance, or a very late one.
func (s *Server) NextEvent() time.Duration {
	next := never
	if r := s.workRate(s.now); r > 0 {
		left := max(s.running[0].finishClock-s.workClock, 0) / r
		next = s.now + time.Duration(math.Round(left*1e9)) // Advance lets pass what rounding leaves
		if s.CapacityFraction(s.now) < 1 {
			next = min(next, s.now+warmupStep)
		}
	}
	if s.overloadedSince >= 0 && s.collapsedAt < 0 {
		next = min(next, s.overloadedSince+s.spec.CollapseAfter)
	}
	if s.collapsedAt >= 0 {
		if s.spec.MaxCollapse > 0 {
			next = min(next, s.collapsedAt+s.spec.MaxCollapse)
		}
		if s.recoveringSince >= 0 {
			next = min(next, s.recoveringSince+s.spec.RecoveryAfter)
		}
	}
	return max(next, s.now)
}

// Advance moves the server to an instant and appends to done the jobs whose work is through, in order. Each keeps its slot:
// the driver resumes or ends it. The driver must not let more time pass than until Next.
func (s *Server) Advance(now time.Duration, done []*Job) []*Job {
	if now > s.now {
		if r := s.workRate(s.now); r > 0 {
			s.workClock += r * (now - s.now).Seconds()
			s.coreSeconds += (now - s.now).Seconds() * min(float64(len(s.running)), float64(s.kind.Cores))
		}
		s.now = now
	}
	// Instants are whole nanoseconds: what is through but for less than that is through.
	slack := s.workRate(now) * 2e-9
	for len(s.running) > 0 && !s.down && s.running[0].finishClock <= s.workClock+slack {
		j := s.running.pop()
		j.phase = blocked
		done = append(done, j)
	}
	s.updateCollapse()
	return done
}

// updateCollapse follows the slow state of a crowded server.
func (s *Server) updateCollapse() {
	if s.spec.CollapseQueue <= 0 || s.down {
		return
	}
	cores := float64(s.kind.Cores)
	if float64(s.queued()+max(s.slotsUsed-s.kind.Cores, 0)) > s.spec.CollapseQueue*cores {
		if s.overloadedSince < 0 {
			s.overloadedSince = s.now
		}
	} else {
		s.overloadedSince = -1
	}
	if s.collapsedAt < 0 {
		if s.overloadedSince >= 0 && s.now-s.overloadedSince >= s.spec.CollapseAfter {
			s.collapsedAt, s.recoveringSince = s.now, -1
		}
		return
	}
	if float64(s.InFlight()) < s.spec.RecoveryLoad*cores {
		if s.recoveringSince < 0 {
			s.recoveringSince = s.now
		}
	} else {
		s.recoveringSince = -1
	}
	if s.recoveringSince >= 0 && s.now-s.recoveringSince >= s.spec.RecoveryAfter || s.spec.MaxCollapse > 0 && s.now-s.collapsedAt >= s.spec.MaxCollapse {
		s.collapsedAt, s.overloadedSince, s.recoveringSince = -1, -1, -1
	}
}

// Collapsed reports whether the server is in its slow state.
func (s *Server) Collapsed() bool { return s.collapsedAt >= 0 }

// Admit takes a request whose last byte has come. total is all the work that it brings, for the rule on cold servers;
// j.Work is the first part of it. The server must have been advanced to now.
func (s *Server) Admit(now time.Duration, j *Job, total float64) Admission {
	s.recordLoad()
	if s.down {
		return Unavailable
	}
	s.recordWarmupWork(now, total)
	if s.down {
		return Unavailable
	}
	if s.draining || s.slotsUsed >= s.kind.Slots && s.queued() >= s.kind.QueueLimit {
		return Rejected
	}
	s.seq++
	j.seq, j.server, j.incarnation = s.seq, s, s.incarnation
	if s.slotsUsed < s.kind.Slots {
		s.slotsUsed++
		s.startJob(j)
	} else {
		j.phase = queued
		s.queue = append(s.queue, j)
	}
	s.updateCollapse()
	return Admitted
}

// recordWarmupWork counts the work that arrives at a cold server, and knocks the server over when it is too much. One request is free:
// a server so small that a single one is over its budget can be sent nothing otherwise.
func (s *Server) recordWarmupWork(now time.Duration, work float64) {
	if s.rules.WarmupOverload <= 0 || s.CapacityFraction(now) == 1 {
		s.recentWork, s.recentWorkSum = nil, 0
		return
	}
	s.recentWork, s.recentWorkSum = append(s.recentWork, workArrival{now, work}), s.recentWorkSum+work
	for len(s.recentWork) > 0 && s.recentWork[0].at <= now-s.rules.OverloadWindow {
		s.recentWorkSum -= s.recentWork[0].work
		s.recentWork = s.recentWork[1:]
	}
	if len(s.recentWork) > 1 {
		s.warmupPeak = max(s.warmupPeak, s.rules.WarmupOverload*(s.recentWorkSum-work)/s.WarmupBudget(now))
		if s.recentWorkSum-work > s.WarmupBudget(now) {
			s.fellOver, s.down = true, true
		}
	}
}

// WarmupBudget is the work that a cold server may be sent within the rule's window, in seconds.
func (s *Server) WarmupBudget(now time.Duration) float64 {
	return s.rules.WarmupOverload * s.Capacity(now) * s.rules.OverloadWindow.Seconds()
}

// WarmupPeak is the most work that the server was sent within the rule's window while cold, in multiples of what it could do then.
func (s *Server) WarmupPeak() float64 { return s.warmupPeak }

// FellOver reports whether the server was sent too much while cold and has fallen over.
func (s *Server) FellOver() bool { return s.fellOver }

func (s *Server) startJob(j *Job) {
	j.phase, j.finishClock = running, s.workClock+j.Work
	s.running.push(j)
}

// Resume lets a job that waits compute on, for j.Work.
func (s *Server) Resume(j *Job) {
	if j.phase == blocked && !j.Finished() {
		s.startJob(j)
	}
}

// Finish takes a job off the server and returns its slot to the next that waits. A job that is over already is left alone.
func (s *Server) Finish(j *Job) {
	if j.Finished() {
		return
	}
	s.recordLoad()
	switch j.phase {
	case queued:
		for i := s.queueHead; i < len(s.queue); i++ {
			if s.queue[i] == j {
				copy(s.queue[i:], s.queue[i+1:])
				s.queue[len(s.queue)-1] = nil
				s.queue = s.queue[:len(s.queue)-1]
				break
			}
		}
	case running:
		s.running.remove(j)
		s.releaseSlot()
	case blocked:
		s.releaseSlot()
	}
	j.phase = finished
	s.updateCollapse()
}

func (s *Server) releaseSlot() {
	s.slotsUsed--
	if s.queued() > 0 {
		j := s.queue[s.queueHead]
		s.queue[s.queueHead] = nil
		s.queueHead++
		if s.queueHead == len(s.queue) || s.queueHead > 1024 {
			s.queue = append(s.queue[:0], s.queue[s.queueHead:]...)
			s.queueHead = 0
		}
		s.slotsUsed++
		s.startJob(j)
	}
}

// SetSlowdown sets how many times slower than usual the machine is. The server must have been advanced to now.
func (s *Server) SetSlowdown(factor float64) { s.slowdown = factor }

// Drain makes the server reject new requests.
func (s *Server) Drain() { s.draining = true }

// Draining reports whether the server rejects new requests.
func (s *Server) Draining() bool { return s.draining }

// Down reports whether the process is gone.
func (s *Server) Down() bool { return s.down }

// Crash ends the process: all jobs are over, none answered.
func (s *Server) Crash() {
	s.incarnation++
	s.down, s.running, s.queue, s.queueHead, s.slotsUsed, s.conns = true, nil, nil, 0, 0, 0
	s.overloadedSince, s.recoveringSince, s.collapsedAt = -1, -1, -1
}

// Restart brings a crashed process back, cold.
func (s *Server) Restart(now time.Duration) {
	s.now, s.started, s.down, s.draining, s.fellOver = now, now, false, false, false
	s.recentWork, s.recentWorkSum = nil, 0
}

// Connect takes a new connection, or tells that there are too many, or nobody is there.
func (s *Server) Connect() bool {
	if s.down || s.spec.ConnLimit > 0 && s.conns >= s.spec.ConnLimit {
		return false
	}
	s.conns++
	return true
}

// Disconnect closes a connection.
func (s *Server) Disconnect() { s.conns = max(s.conns-1, 0) }

// recordLoad records the load as it has been up to now, at the instants at which reports are refreshed. The driver calls what
// changes the load only through methods that note first, so one reading stands for all refreshes up to the next.
func (s *Server) recordLoad() {
	every := s.spec.ReportInterval
	if every <= 0 || s.now < s.reportedAt+every {
		return
	}
	s.loadReports = append(s.loadReports, loadReading{s.reportedAt + every, float64(s.InFlight())})
	s.reportedAt = s.now / every * every
	for len(s.loadReports) > 1 && s.loadReports[1].at <= s.now-s.spec.ReportDelay {
		s.loadReports = s.loadReports[1:]
	}
}

// LoadReport is the load report as it stands in an answer now: late and noisy. Without reports, ok is false.
func (s *Server) LoadReport(now time.Duration) (inFlight float64, ok bool) {
	s.recordLoad()
	if s.spec.ReportInterval <= 0 {
		return 0, false
	}
	for _, r := range s.loadReports {
		if r.at <= now-s.spec.ReportDelay {
			inFlight = r.inFlight
		}
	}
	return max(inFlight*(1+s.spec.ReportNoise*s.rng.NormFloat64()), 0), true
}

// DrawError draws whether a request fails in ordinary times.
func (s *Server) DrawError() bool { return s.spec.ErrorRate > 0 && s.rng.Float64() < s.spec.ErrorRate }
