package virtual

import (
	"math/rand/v2"
	"strconv"
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment"
	"rowancart/internal/experiment/counters"
	"rowancart/internal/experiment/invariant"
	"rowancart/internal/experiment/server"
	"rowancart/internal/experiment/traffic"
)

// host is a box in the world: the model, what strikes it, and the instance that makes its calls.
type host struct {
	party
	w          *world
	tier       int
	place      int
	generation int
	name       string
	box        *server.Box
	stats      counters.Box
	rng        *rand.Rand
	below      *instance
	came, gone time.Duration
	life       int // crashes so far: connections of an earlier one are broken

	wake time.Duration // for which the box is scheduled
	work []*errand     // what it has in hand
	done []*server.Job

	slow     map[experiment.FaultKind]float64
	failing  float64 // chance of a fast error
	before   float64 // of a break before the last byte
	after    float64 // and after it
	within   float64 // and within the answer, or of one that is garbled
	delay    time.Duration
	vanished bool
	stalled  bool

	arrived []int64 // by second, of a fresh box
}

// errand is a request in a box.
type errand struct {
	server.Job
	a     *attempt
	class int
	rest  float64 // work left for after the calls
	wait  time.Duration
	calls int // left to make
	total float64
	spot  int
	n     int // calls made
}

// strike begins or ends a fault.
func (h *host) strike(c traffic.Change) {
	size, period := 0.0, time.Duration(0)
	if c.On {
		size, period = c.Fault.Size, c.Fault.Period
	}
	switch c.Kind {
	case experiment.FastErrors:
		h.failing = size
	case experiment.BreakBefore:
		h.before = size
	case experiment.BreakAfter:
		h.after = size
	case experiment.BreakAnswer, experiment.GarbleAnswer:
		h.within = size
	case experiment.SlowAnswer:
		h.delay = period
	case experiment.Vanish:
		h.vanished = c.On
	case experiment.StallAccept:
		h.stalled = c.On
	case experiment.Neighbour, experiment.SharedSlow:
		factor := 1.0
		if c.On {
			factor = c.Fault.Size
			if c.Kind == experiment.Neighbour {
				factor = 1 / (1 - min(c.Fault.Size, 0.99))
			}
		}
		h.slow[c.Kind] = factor
		all := 1.0
		for _, kind := range []experiment.FaultKind{experiment.Neighbour, experiment.SharedSlow} {
			if f := h.slow[kind]; f > 0 {
				all *= f
			}
		}
		h.box.Slow(all)
	}
}

func (h *host) advance(now time.Duration) {
	h.done = h.box.Advance(now, h.done[:0])
	for _, j := range h.done {
		h.through(now, j.Owner.(*errand))
	}
}

// reschedule makes sure that the box is looked at when it wants to be. Wakes that came to be too early do no harm.
func (h *host) reschedule() {
	next := h.box.Next()
	if next > h.w.e.Duration+time.Hour || h.wake > h.w.now && h.wake <= next {
		return
	}
	h.wake = next
	h.w.plan(&h.party, next, h, 0)
}

func (h *host) act(now time.Duration, _ int) {
	if h.wake == now {
		h.wake = 0
	}
	h.advance(now)
	h.reschedule()
}

// count notes when requests come, for h.full.
func (h *host) count(now time.Duration) {
	add := func(list []int64, i int) []int64 {
		for len(list) <= i {
			list = append(list, 0)
		}
		list[i]++
		return list
	}
	second := int(now / time.Second)
	h.w.arrived[h.tier] = add(h.w.arrived[h.tier], second)
	if h.stats.Fresh {
		h.arrived = add(h.arrived, second)
	}
}

// fullPart is the share of an even part from which a fresh box carries as much as the others.
const fullPart = 0.85

// full is how long after its coming a fresh box first had an even part of its tier's requests for a whole second.
func (h *host) full() time.Duration {
	boxes := float64(len(h.w.boxes[h.tier]))
	for s := int(h.came/time.Second) + 1; s < len(h.arrived); s++ {
		if float64(h.arrived[s])*boxes >= fullPart*float64(h.w.arrived[h.tier][s]) {
			return time.Duration(s)*time.Second - h.came
		}
	}
	return 0
}

// reach takes a request whose last byte has come.
func (h *host) reach(now time.Duration, a *attempt) {
	if h.vanished {
		return
	}
	if h.box.Down() {
		a.comesBack(now, balancer.Reset)
		return
	}
	h.advance(now)
	q := a.call
	site := &h.w.e.Site
	t := site.Tiers[h.tier]
	work := q.work * t.Work
	if a.dialed {
		work += t.Box.ConnWork.Seconds()
	}
	h.stats.Arrivals++
	h.count(now)
	h.w.ledger.Reached(invariant.Arrival{ID: q.id, Box: h.name, First: now, Last: now, Digest: 1,
		Cold: h.box.Warmth(now) < 1, Work: work})
	if h.failing > 0 && h.rng.Float64() < h.failing || h.box.Fails() {
		h.w.at(&h.party, now+errorAfter, func(now time.Duration) { h.answer(now, a, balancer.Errored) })
		return
	}
	e := &errand{a: a, class: q.class, total: work}
	e.Owner = e
	if h.below != nil {
		e.calls, e.rest = t.Calls, work/2
		e.Work = work - e.rest
	} else {
		e.Work, e.wait = work, site.Classes[q.class].Wait
	}
	switch h.box.Arrive(now, &e.Job, work) {
	case server.Declined:
		h.stats.Declined++
		h.w.ledger.Declined(now, h.name, q.id)
		a.keepAlive = true
		a.comesBack(now, balancer.Rejected)
	case server.Dead:
		if h.box.Fell() {
			h.w.ledger.Fell(now, h.name)
			h.crash(now)
		}
		a.comesBack(now, balancer.Reset)
	case server.Admitted:
		e.spot = len(h.work)
		h.work = append(h.work, e)
		a.errand = e
		if h.after > 0 && h.rng.Float64() < h.after {
			a.comesBack(now, balancer.Reset) // the work goes on
		}
	}
	h.reschedule()
}

// through goes on with a request whose work is through for now: the next call, the rest of the work, the answer.
func (h *host) through(now time.Duration, e *errand) {
	switch {
	case e.calls > 0:
		h.call(now, e)
	case e.rest > 0:
		e.Work, e.rest = e.rest, 0
		h.box.Resume(&e.Job)
		h.reschedule()
	case e.wait > 0:
		wait := e.wait
		e.wait = 0
		h.w.at(&h.party, now+wait, func(now time.Duration) {
			if !e.Over() {
				h.advance(now)
				h.through(now, e)
			}
		})
	default:
		h.end(now, e, balancer.OK)
	}
}

// call asks the next tier, through the box's own instance. It carries no time: the class's whole deadline is told.
func (h *host) call(now time.Duration, e *errand) {
	e.calls--
	e.n++
	q := e.a.call
	h.below.take(now, &call{id: q.id + "." + strconv.Itoa(e.a.n) + "." + strconv.Itoa(e.n), class: q.class, tenant: q.tenant,
		work: q.work, deadline: now + h.w.e.Site.Classes[q.class].Deadline, in: h.below, caller: e})
}

// ended implements caller.
func (e *errand) ended(now time.Duration, c *call) {
	h := e.a.to
	if e.Over() {
		return
	}
	h.advance(now)
	if e.Over() {
		return
	}
	if c.fate == invariant.Served {
		h.through(now, e)
	} else {
		h.end(now, e, balancer.Errored)
	}
	h.reschedule()
}

// outOfTime implements caller: a box waits for its sidecar's answer.
func (e *errand) outOfTime(time.Duration, *call) {}

// end answers a request and frees its slot.
func (h *host) end(now time.Duration, e *errand, r balancer.Result) {
	h.box.End(&e.Job)
	h.drop(e)
	h.reschedule()
	h.answer(now, e.a, r)
}

func (h *host) drop(e *errand) {
	last := len(h.work) - 1
	h.work[e.spot] = h.work[last]
	h.work[e.spot].spot = e.spot
	h.work[last] = nil
	h.work = h.work[:last]
	e.a.errand = nil
}

// answer sends an answer on its way.
func (h *host) answer(now time.Duration, a *attempt, r balancer.Result) {
	if r == balancer.OK {
		h.w.ledger.Made(h.name, a.call.id, a.call.digest)
	}
	if h.vanished {
		return
	}
	if h.within > 0 && h.rng.Float64() < h.within {
		a.comesBack(now, balancer.Reset)
		return
	}
	a.keepAlive = true
	a.comesBack(now+h.delay, r)
}

// crash ends the process: what it had breaks, and the instance beside it goes too.
func (h *host) crash(now time.Duration) {
	h.box.Crash()
	work := h.work
	h.work = nil
	for _, e := range work {
		e.a.errand = nil
		if !h.vanished {
			e.a.comesBack(now, balancer.Reset)
		}
	}
	h.life++
	if h.below != nil {
		h.below.kill(now)
	}
}
