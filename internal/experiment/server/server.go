// Package server is the model of one stand-in server. It is pure: instants are passed in, and a driver, in virtual time or
// on sockets, asks when the box wants to be looked at next.
//
// A request occupies a slot from its admission to its end, also while it waits for something else, such as the next
// tier. Of the requests in slots, those that compute share the cores evenly (processor sharing); with as many slots as
// cores each has a core to itself, and the box is the M/G/c queue of the textbooks.
package server

import (
	"math"
	"math/rand/v2"
	"time"

	"rowancart/internal/experiment"
)

// coldStep is how finely the growth of a cold box's capacity is followed.
const coldStep = 20 * time.Millisecond

// Verdict is what becomes of a request that arrives.
type Verdict int

// The verdicts.
const (
	Admitted Verdict = iota // it has a slot, or will have one
	Declined                // turned away unseen
	Dead                    // nobody is there to answer
)

// Job is a request in a box. The driver makes it and keeps it until the box says that it is over.
type Job struct {
	Owner any     // the driver's
	Work  float64 // seconds on a core of speed 1, until the next time that the box hands the job back

	phase  phase
	finish float64 // reading of the box's work clock at which it is through
	spot   int     // in the heap of running jobs
	seq    uint64  // tells jobs of the same finish apart
	box    *Box
	life   int // of the box, when it came
}

type phase int

const (
	fresh phase = iota
	queued
	running
	holding // has a slot and does not compute
	over
)

// Over tells whether the box has forgotten the job.
func (j *Job) Over() bool { return j.phase == over || j.box != nil && j.life != j.box.life }

// Box is one server.
type Box struct {
	kind experiment.Kind
	spec experiment.BoxSpec
	rule experiment.Rules
	rng  *rand.Rand

	now     time.Duration
	started time.Duration // latest start; negative: long ago
	slow    float64       // the machine's speed is divided by this
	drain   bool
	down    bool
	life    int // crashes so far

	clock float64 // attained work of a job that has run since the box began
	heap  jobs
	queue []*Job
	head  int
	held  int // slots in use
	seq   uint64

	conns int

	overSince time.Duration // too many wait since; negative: not so
	idleSince time.Duration
	chokedAt  time.Duration // negative: not choked

	recent  []arrival // within the window of the rule on cold boxes
	sum     float64
	peak    float64
	fell    bool
	reports []reading
	noted   time.Duration // latest refresh that the readings cover
	busy    float64       // core seconds used
}

type arrival struct {
	at   time.Duration
	work float64
}

type reading struct {
	at   time.Duration
	held float64
}

// never stands for an instant that does not come.
const never = time.Duration(math.MaxInt64)

// New returns a box that started at the instant given, a negative one meaning long ago.
func New(kind experiment.Kind, spec experiment.BoxSpec, rules experiment.Rules, started time.Duration, rng *rand.Rand) *Box {
	return &Box{kind: kind, spec: spec, rule: rules, rng: rng, started: started, slow: 1, overSince: -1, idleSince: -1,
		chokedAt: -1, now: max(started, 0)}
}

// Started is the instant of the latest start, negative if that was long ago.
func (b *Box) Started() time.Duration { return b.started }

// Held is how many requests the box has, waiting ones included.
func (b *Box) Held() int { return b.held + b.waiting() }

// InSlots is how many requests have a slot.
func (b *Box) InSlots() int { return b.held }

// Busy is the core time used so far, in seconds.
func (b *Box) Busy() float64 { return b.busy }

func (b *Box) waiting() int { return len(b.queue) - b.head }

// Warmth is the share of its capacity that the box has.
func (b *Box) Warmth(now time.Duration) float64 {
	if b.started < 0 || b.spec.ColdFor <= 0 || now-b.started >= b.spec.ColdFor {
		return 1
	}
	return b.spec.ColdFrom + (1-b.spec.ColdFrom)*float64(max(now-b.started, 0))/float64(b.spec.ColdFor)
}

// Capacity is the work that the box can do now, in seconds a second. Faults that slow it do not count: they are not
// what senders can know.
func (b *Box) Capacity(now time.Duration) float64 {
	return float64(b.kind.Cores) * b.kind.Speed * b.Warmth(now)
}

// rate is the progress of each running job, in work a second.
func (b *Box) rate(now time.Duration) float64 {
	n := len(b.heap)
	if n == 0 || b.down {
		return 0
	}
	speed := b.kind.Speed * b.Warmth(now) / b.slow
	if b.chokedAt >= 0 {
		speed /= b.spec.ChokeSlower
	}
	return speed * min(1, float64(b.kind.Cores)/float64(n))
}

// Next is the instant at which the box wants Advance, or a very late one.
func (b *Box) Next() time.Duration {
	next := never
	if r := b.rate(b.now); r > 0 {
		left := max(b.heap[0].finish-b.clock, 0) / r
		next = b.now + time.Duration(math.Round(left*1e9)) // Advance lets pass what rounding leaves
		if b.Warmth(b.now) < 1 {
			next = min(next, b.now+coldStep)
		}
	}
	if b.overSince >= 0 && b.chokedAt < 0 {
		next = min(next, b.overSince+b.spec.ChokeOver)
	}
	if b.chokedAt >= 0 {
		if b.spec.ChokeMost > 0 {
			next = min(next, b.chokedAt+b.spec.ChokeMost)
		}
		if b.idleSince >= 0 {
			next = min(next, b.idleSince+b.spec.ChokeRest)
		}
	}
	return max(next, b.now)
}

// Advance moves the box to an instant and appends to done the jobs whose work is through, in order. Each keeps its slot:
// the driver resumes or ends it. The driver must not let more time pass than until Next.
func (b *Box) Advance(now time.Duration, done []*Job) []*Job {
	if now > b.now {
		if r := b.rate(b.now); r > 0 {
			b.clock += r * (now - b.now).Seconds()
			b.busy += (now - b.now).Seconds() * min(float64(len(b.heap)), float64(b.kind.Cores))
		}
		b.now = now
	}
	// Instants are whole nanoseconds: what is through but for less than that is through.
	slack := b.rate(now) * 2e-9
	for len(b.heap) > 0 && !b.down && b.heap[0].finish <= b.clock+slack {
		j := b.heap.pop()
		j.phase = holding
		done = append(done, j)
	}
	b.choke()
	return done
}

// choke follows the slow state of a crowded box.
func (b *Box) choke() {
	if b.spec.ChokeAt <= 0 || b.down {
		return
	}
	cores := float64(b.kind.Cores)
	if float64(b.waiting()+max(b.held-b.kind.Cores, 0)) > b.spec.ChokeAt*cores {
		if b.overSince < 0 {
			b.overSince = b.now
		}
	} else {
		b.overSince = -1
	}
	if b.chokedAt < 0 {
		if b.overSince >= 0 && b.now-b.overSince >= b.spec.ChokeOver {
			b.chokedAt, b.idleSince = b.now, -1
		}
		return
	}
	if float64(b.Held()) < b.spec.ChokeBelow*cores {
		if b.idleSince < 0 {
			b.idleSince = b.now
		}
	} else {
		b.idleSince = -1
	}
	if b.idleSince >= 0 && b.now-b.idleSince >= b.spec.ChokeRest || b.spec.ChokeMost > 0 && b.now-b.chokedAt >= b.spec.ChokeMost {
		b.chokedAt, b.overSince, b.idleSince = -1, -1, -1
	}
}

// Choked tells whether the box is in its slow state.
func (b *Box) Choked() bool { return b.chokedAt >= 0 }

// Arrive takes a request whose last byte has come. total is all the work that it brings, for the rule on cold boxes;
// j.Work is the first part of it. The box must have been advanced to now.
func (b *Box) Arrive(now time.Duration, j *Job, total float64) Verdict {
	b.note()
	if b.down {
		return Dead
	}
	b.press(now, total)
	if b.down {
		return Dead
	}
	if b.drain || b.held >= b.kind.Slots && b.waiting() >= b.kind.Queue {
		return Declined
	}
	b.seq++
	j.seq, j.box, j.life = b.seq, b, b.life
	if b.held < b.kind.Slots {
		b.held++
		b.run(j)
	} else {
		j.phase = queued
		b.queue = append(b.queue, j)
	}
	b.choke()
	return Admitted
}

// press counts the work that arrives at a cold box, and knocks the box over when it is too much. One request is free:
// a box so small that a single one is over its budget can be sent nothing otherwise.
func (b *Box) press(now time.Duration, work float64) {
	if b.rule.FallOver <= 0 || b.Warmth(now) == 1 {
		b.recent, b.sum = nil, 0
		return
	}
	b.recent, b.sum = append(b.recent, arrival{now, work}), b.sum+work
	for len(b.recent) > 0 && b.recent[0].at <= now-b.rule.FallWindow {
		b.sum -= b.recent[0].work
		b.recent = b.recent[1:]
	}
	if len(b.recent) > 1 {
		b.peak = max(b.peak, b.rule.FallOver*(b.sum-work)/b.Budget(now))
		if b.sum-work > b.Budget(now) {
			b.fell, b.down = true, true
		}
	}
}

// Budget is the work that a cold box may be sent within the rule's window, in seconds.
func (b *Box) Budget(now time.Duration) float64 {
	return b.rule.FallOver * b.Capacity(now) * b.rule.FallWindow.Seconds()
}

// Peak is the most work that the box was sent within the rule's window while cold, in multiples of what it could do then.
func (b *Box) Peak() float64 { return b.peak }

// Fell tells whether the box was sent too much while cold and has fallen over.
func (b *Box) Fell() bool { return b.fell }

func (b *Box) run(j *Job) {
	j.phase, j.finish = running, b.clock+j.Work
	b.heap.push(j)
}

// Resume lets a job that waits compute on, for j.Work.
func (b *Box) Resume(j *Job) {
	if j.phase == holding && !j.Over() {
		b.run(j)
	}
}

// End takes a job off the box and gives its slot to the next that waits. A job that is over already is left alone.
func (b *Box) End(j *Job) {
	if j.Over() {
		return
	}
	b.note()
	switch j.phase {
	case queued:
		for i := b.head; i < len(b.queue); i++ {
			if b.queue[i] == j {
				copy(b.queue[i:], b.queue[i+1:])
				b.queue[len(b.queue)-1] = nil
				b.queue = b.queue[:len(b.queue)-1]
				break
			}
		}
	case running:
		b.heap.remove(j)
		b.release()
	case holding:
		b.release()
	}
	j.phase = over
	b.choke()
}

func (b *Box) release() {
	b.held--
	if b.waiting() > 0 {
		j := b.queue[b.head]
		b.queue[b.head] = nil
		b.head++
		if b.head == len(b.queue) || b.head > 1024 {
			b.queue = append(b.queue[:0], b.queue[b.head:]...)
			b.head = 0
		}
		b.held++
		b.run(j)
	}
}

// Slow sets how many times slower than usual the machine is. The box must have been advanced to now.
func (b *Box) Slow(factor float64) { b.slow = factor }

// Drain makes the box turn new requests away.
func (b *Box) Drain() { b.drain = true }

// Drains tells whether the box turns new requests away.
func (b *Box) Drains() bool { return b.drain }

// Down tells whether the process is gone.
func (b *Box) Down() bool { return b.down }

// Crash ends the process: all jobs are over, none answered.
func (b *Box) Crash() {
	b.life++
	b.down, b.heap, b.queue, b.head, b.held, b.conns = true, nil, nil, 0, 0, 0
	b.overSince, b.idleSince, b.chokedAt = -1, -1, -1
}

// Restart brings a crashed process back, cold.
func (b *Box) Restart(now time.Duration) {
	b.now, b.started, b.down, b.drain, b.fell = now, now, false, false, false
	b.recent, b.sum = nil, 0
}

// Connect takes a new connection, or tells that there are too many, or nobody is there.
func (b *Box) Connect() bool {
	if b.down || b.spec.ConnLimit > 0 && b.conns >= b.spec.ConnLimit {
		return false
	}
	b.conns++
	return true
}

// Disconnect gives a connection back.
func (b *Box) Disconnect() { b.conns = max(b.conns-1, 0) }

// note records the load as it has been up to now, at the instants at which reports are refreshed. The driver calls what
// changes the load only through methods that note first, so one reading stands for all refreshes up to the next.
func (b *Box) note() {
	every := b.spec.ReportEvery
	if every <= 0 || b.now < b.noted+every {
		return
	}
	b.reports = append(b.reports, reading{b.noted + every, float64(b.Held())})
	b.noted = b.now / every * every
	for len(b.reports) > 1 && b.reports[1].at <= b.now-b.spec.ReportDelay {
		b.reports = b.reports[1:]
	}
}

// Report is the load report as it stands in an answer now: late and noisy. Without reports, ok is false.
func (b *Box) Report(now time.Duration) (held float64, ok bool) {
	b.note()
	if b.spec.ReportEvery <= 0 {
		return 0, false
	}
	for _, r := range b.reports {
		if r.at <= now-b.spec.ReportDelay {
			held = r.held
		}
	}
	return max(held*(1+b.spec.ReportNoise*b.rng.NormFloat64()), 0), true
}

// Fails draws whether a request fails in ordinary times.
func (b *Box) Fails() bool { return b.spec.ErrorShare > 0 && b.rng.Float64() < b.spec.ErrorShare }
