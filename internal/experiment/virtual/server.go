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

// serverNode is a server in the world: the model, what strikes it, and the instance that makes its calls.
type serverNode struct {
	eventSource
	sim                *simulation
	tier               int
	index              int
	generation         int
	name               string
	model              *server.Server
	stats              counters.Server
	rng                *rand.Rand
	sidecar            *instance
	addedAt, removedAt time.Duration
	incarnation        int // crashes so far: connections of an earlier one are broken

	nextWakeup   time.Duration // for which the server is scheduled
	tasks        []*task       // what it has in hand
	finishedJobs []*server.Job

	slowdowns         map[experiment.FaultKind]float64
	fastErrorRate     float64 // chance of a fast error
	breakBeforeRate   float64 // of a break before the last byte
	breakAfterRate    float64 // and after it
	breakResponseRate float64 // and within the answer, or of one that is garbled
	responseDelay     time.Duration
	unresponsive      bool
	acceptStalled     bool

	arrivalsBySecond []int64 // by second, of a fresh server
}

// task is a request in a server.
type task struct {
	server.Job
	attempt        *attempt
	class          int
	workAfterCalls float64 // work left for after the calls
	offCPUTime     time.Duration
	callsLeft      int // left to make
	totalWork      float64
	index          int
	callsMade      int // calls made
}

// applyFault begins or ends a fault.
func (n *serverNode) applyFault(c traffic.FaultEvent) {
	size, period := 0.0, time.Duration(0)
	if c.On {
		size, period = c.Fault.Size, c.Fault.Period
	}
	switch c.Kind {
	case experiment.FastErrors:
		n.fastErrorRate = size
	case experiment.BreakBeforeRequest:
		n.breakBeforeRate = size
	case experiment.BreakAfterRequest:
		n.breakAfterRate = size
	case experiment.TruncateResponse, experiment.CorruptResponse:
		n.breakResponseRate = size
	case experiment.SlowResponse:
		n.responseDelay = period
	case experiment.Unresponsive:
		n.unresponsive = c.On
	case experiment.StallAccept:
		n.acceptStalled = c.On
	case experiment.NoisyNeighbour, experiment.SharedSlowdown:
		factor := 1.0
		if c.On {
			factor = c.Fault.Size
			if c.Kind == experiment.NoisyNeighbour {
				factor = 1 / (1 - min(c.Fault.Size, 0.99))
			}
		}
		n.slowdowns[c.Kind] = factor
		all := 1.0
		for _, kind := range []experiment.FaultKind{experiment.NoisyNeighbour, experiment.SharedSlowdown} {
			if f := n.slowdowns[kind]; f > 0 {
				all *= f
			}
		}
		n.model.SetSlowdown(all)
	}
}

func (n *serverNode) advance(now time.Duration) {
	n.finishedJobs = n.model.Advance(now, n.finishedJobs[:0])
	for _, j := range n.finishedJobs {
		n.continueTask(now, j.Owner.(*task))
	}
}

// reschedule makes sure that the server is looked at when it wants to be. Wakes that came to be too early do no harm.
func (n *serverNode) reschedule() {
	next := n.model.NextEvent()
	if next > n.sim.e.Duration+time.Hour || n.nextWakeup > n.sim.now && n.nextWakeup <= next {
		return
	}
	n.nextWakeup = next
	n.sim.schedule(&n.eventSource, next, n, 0)
}

func (n *serverNode) act(now time.Duration, _ int) {
	if n.nextWakeup == now {
		n.nextWakeup = 0
	}
	n.advance(now)
	n.reschedule()
}

// countArrival notes when requests come, for h.full.
func (n *serverNode) countArrival(now time.Duration) {
	add := func(list []int64, i int) []int64 {
		for len(list) <= i {
			list = append(list, 0)
		}
		list[i]++
		return list
	}
	second := int(now / time.Second)
	n.sim.arrivalsBySecond[n.tier] = add(n.sim.arrivalsBySecond[n.tier], second)
	if n.stats.AddedDuringRun {
		n.arrivalsBySecond = add(n.arrivalsBySecond, second)
	}
}

// fullLoadFraction is the share of an even part from which a fresh server carries as much as the others.
const fullLoadFraction = 0.85

// timeToFullLoad is how long after its coming a fresh server first had an even part of its tier's requests for a whole second.
func (n *serverNode) timeToFullLoad() time.Duration {
	servers := float64(len(n.sim.servers[n.tier]))
	for s := int(n.addedAt/time.Second) + 1; s < len(n.arrivalsBySecond); s++ {
		if float64(n.arrivalsBySecond[s])*servers >= fullLoadFraction*float64(n.sim.arrivalsBySecond[n.tier][s]) {
			return time.Duration(s)*time.Second - n.addedAt
		}
	}
	return 0
}

// receive takes a request whose last byte has come.
func (n *serverNode) receive(now time.Duration, a *attempt) {
	if n.unresponsive {
		return
	}
	if n.model.Down() {
		a.sendResult(now, balancer.Reset)
		return
	}
	n.advance(now)
	q := a.call
	site := &n.sim.e.Site
	t := site.Tiers[n.tier]
	work := q.work * t.WorkFraction
	if a.newConn {
		work += t.Server.ConnWork.Seconds()
	}
	n.stats.Arrivals++
	n.countArrival(now)
	n.sim.checker.RecordArrival(invariant.Arrival{ID: q.id, Server: n.name, FirstByte: now, LastByte: now, Digest: 1,
		WarmingUp: n.model.CapacityFraction(now) < 1, Work: work})
	if n.fastErrorRate > 0 && n.rng.Float64() < n.fastErrorRate || n.model.DrawError() {
		n.sim.scheduleFunc(&n.eventSource, now+fastErrorDelay, func(now time.Duration) { n.respond(now, a, balancer.Errored) })
		return
	}
	e := &task{attempt: a, class: q.class, totalWork: work}
	e.Owner = e
	if n.sidecar != nil {
		e.callsLeft, e.workAfterCalls = t.Calls, work/2
		e.Work = work - e.workAfterCalls
	} else {
		e.Work, e.offCPUTime = work, site.Classes[q.class].OffCPUTime
	}
	switch n.model.Admit(now, &e.Job, work) {
	case server.Rejected:
		n.stats.Rejected++
		n.sim.checker.RecordRejection(now, n.name, q.id)
		a.connReusable = true
		a.sendResult(now, balancer.Rejected)
	case server.Unavailable:
		if n.model.FellOver() {
			n.sim.checker.RecordOverload(now, n.name)
			n.crash(now)
		}
		a.sendResult(now, balancer.Reset)
	case server.Admitted:
		e.index = len(n.tasks)
		n.tasks = append(n.tasks, e)
		a.task = e
		if n.breakAfterRate > 0 && n.rng.Float64() < n.breakAfterRate {
			a.sendResult(now, balancer.Reset) // the work goes on
		}
	}
	n.reschedule()
}

// continueTask goes on with a request whose work is through for now: the next call, the rest of the work, the answer.
func (n *serverNode) continueTask(now time.Duration, e *task) {
	switch {
	case e.callsLeft > 0:
		n.callNextTier(now, e)
	case e.workAfterCalls > 0:
		e.Work, e.workAfterCalls = e.workAfterCalls, 0
		n.model.Resume(&e.Job)
		n.reschedule()
	case e.offCPUTime > 0:
		wait := e.offCPUTime
		e.offCPUTime = 0
		n.sim.scheduleFunc(&n.eventSource, now+wait, func(now time.Duration) {
			if !e.Finished() {
				n.advance(now)
				n.continueTask(now, e)
			}
		})
	default:
		n.finishTask(now, e, balancer.OK)
	}
}

// callNextTier asks the next tier, through the server's own instance. It carries no time: the class's whole deadline is told.
func (n *serverNode) callNextTier(now time.Duration, e *task) {
	e.callsLeft--
	e.callsMade++
	q := e.attempt.call
	n.sidecar.receive(now, &call{id: q.id + "." + strconv.Itoa(e.attempt.number) + "." + strconv.Itoa(e.callsMade), class: q.class, tenant: q.tenant,
		work: q.work, deadline: now + n.sim.e.Site.Classes[q.class].Deadline, instance: n.sidecar, origin: e})
}

// callEnded implements callOrigin.
func (t *task) callEnded(now time.Duration, c *call) {
	h := t.attempt.server
	if t.Finished() {
		return
	}
	h.advance(now)
	if t.Finished() {
		return
	}
	if c.outcome == invariant.Served {
		h.continueTask(now, t)
	} else {
		h.finishTask(now, t, balancer.Errored)
	}
	h.reschedule()
}

// callTimedOut implements callOrigin: a server waits for its sidecar's answer.
func (t *task) callTimedOut(time.Duration, *call) {}

// finishTask answers a request and frees its slot.
func (n *serverNode) finishTask(now time.Duration, e *task, r balancer.Result) {
	n.model.Finish(&e.Job)
	n.removeTask(e)
	n.reschedule()
	n.respond(now, e.attempt, r)
}

func (n *serverNode) removeTask(e *task) {
	last := len(n.tasks) - 1
	n.tasks[e.index] = n.tasks[last]
	n.tasks[e.index].index = e.index
	n.tasks[last] = nil
	n.tasks = n.tasks[:last]
	e.attempt.task = nil
}

// respond sends an answer on its way.
func (n *serverNode) respond(now time.Duration, a *attempt, r balancer.Result) {
	if r == balancer.OK {
		n.sim.checker.RecordServerResponse(n.name, a.call.id, a.call.digest)
	}
	if n.unresponsive {
		return
	}
	if n.breakResponseRate > 0 && n.rng.Float64() < n.breakResponseRate {
		a.sendResult(now, balancer.Reset)
		return
	}
	a.connReusable = true
	a.sendResult(now+n.responseDelay, r)
}

// crash ends the process: what it had breaks, and the instance beside it goes too.
func (n *serverNode) crash(now time.Duration) {
	n.model.Crash()
	work := n.tasks
	n.tasks = nil
	for _, e := range work {
		e.attempt.task = nil
		if !n.unresponsive {
			e.attempt.sendResult(now, balancer.Reset)
		}
	}
	n.incarnation++
	if n.sidecar != nil {
		n.sidecar.kill(now)
	}
}
