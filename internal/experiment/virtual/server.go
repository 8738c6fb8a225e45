package virtual

import (
	"math/rand/v2"
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment"
	"rowancart/internal/experiment/counters"
	"rowancart/internal/experiment/invariant"
	"rowancart/internal/experiment/server"
	"rowancart/internal/experiment/traffic"
)

// startedLongAgo is the start time of servers that were warmed up before the run.
const startedLongAgo = time.Duration(-1)

// fastErrorDelay is the time that a server takes to respond with a fast error.
const fastErrorDelay = time.Millisecond

// serverNode is a server of the simulation: its model, its active faults, and the sidecar through
// which it calls the next tier.
type serverNode struct {
	eventSource
	sim        *simulation
	tier       int
	index      int // in the tier
	generation int // number of predecessors at its index
	name       string
	model      *server.Server
	stats      counters.Server
	rng        *rand.Rand // draws which requests the faults affect
	sidecar    *instance  // through which it calls the next tier; nil: it makes no calls
	addedAt    time.Duration
	removedAt  time.Duration // 0: not removed
	// incarnation is the number of crashes so far. Connections to an earlier incarnation are
	// broken.
	incarnation int

	nextWakeup   time.Duration // time of the event that reschedule scheduled last; 0: none
	tasks        []*task       // unordered
	finishedJobs []*server.Job // buffer that advance reuses

	faults traffic.ServerFaults // active faults

	arrivalsBySecond []int64 // requests received in each second of the run; only for servers added during the run
}

// newServer creates a server. If its tier makes calls, it also creates the sidecar through which
// the server makes them.
func (s *simulation) newServer(tier, index, generation int, started time.Duration) *serverNode {
	site := &s.experiment.Site
	t := site.Tiers[tier]
	kind := traffic.KindOf(t, index)
	name := traffic.ServerName(t, index, generation)
	n := &serverNode{
		eventSource: eventSource{rank: experiment.Seed(s.seed, name)},
		sim:         s,
		tier:        tier,
		index:       index,
		generation:  generation,
		name:        name,
		rng:         experiment.Rand(s.seed, "faults of "+name),
		addedAt:     max(started, 0),
		stats:       counters.Server{Name: name, Kind: kind.Name, Cores: kind.Cores, AddedDuringRun: started >= 0},
		model:       server.New(kind, t.Server, site.Rules, started, experiment.Rand(s.seed, "box "+name)),
	}
	s.serverByName[name] = n
	if tier+1 < len(site.Tiers) && t.Calls > 0 {
		n.sidecar = s.newInstance("beside "+name, tier+1, index, t.Servers)
	}
	return n
}

// endpoint returns the server's entry in the endpoint list, without a start time, which only
// publishStarted adds.
func (n *serverNode) endpoint(state balancer.State) balancer.Endpoint {
	return balancer.Endpoint{ID: n.name, Kind: n.stats.Kind, State: state}
}

// applyFault begins or ends a fault.
func (n *serverNode) applyFault(event traffic.FaultEvent) {
	n.faults.Apply(event)
	n.model.SetSlowdown(n.faults.Slowdown())
}

// drawFault draws whether a fault that affects a fraction rate of requests affects one request.
func (n *serverNode) drawFault(rate float64) bool { return rate > 0 && n.rng.Float64() < rate }

// advance advances the model to now and continues the tasks whose current work is done.
func (n *serverNode) advance(now time.Duration) {
	n.finishedJobs = n.model.Advance(now, n.finishedJobs[:0])
	for _, j := range n.finishedJobs {
		n.continueTask(now, j.Owner.(*task))
	}
}

// reschedule schedules an event for the time of the model's next event, unless one is scheduled for
// that time or earlier. An event that turns out to be too early has no effect.
func (n *serverNode) reschedule() {
	next := n.model.NextEvent()
	if next > n.sim.experiment.Duration+time.Hour || n.nextWakeup > n.sim.now && n.nextWakeup <= next {
		return
	}
	n.nextWakeup = next
	n.sim.schedule(&n.eventSource, next, n, 0)
}

// act implements actor. It handles the model's next event.
func (n *serverNode) act(now time.Duration, _ int) {
	if n.nextWakeup == now {
		n.nextWakeup = 0
	}
	n.advance(now)
	n.reschedule()
}

// receive handles a request when its last byte arrives.
func (n *serverNode) receive(now time.Duration, a *attempt) {
	if n.faults.Unresponsive {
		return
	}
	if n.model.Down() {
		a.sendResult(now, balancer.Reset)
		return
	}
	n.advance(now)
	tier := &n.sim.experiment.Site.Tiers[n.tier]
	work := a.call.work * tier.WorkFraction
	if a.newConn {
		work += tier.Server.ConnWork.Seconds()
	}
	n.countArrival(now)
	n.sim.checker.RecordArrival(invariant.Arrival{
		ID:        a.call.id,
		Server:    n.name,
		FirstByte: now,
		LastByte:  now,
		Digest:    1,
		WarmingUp: n.model.CapacityFraction(now) < 1,
		Work:      work,
	})
	if n.drawFault(n.faults.FastErrorRate) || n.model.DrawError() {
		n.sim.scheduleFunc(&n.eventSource, now+fastErrorDelay, func(now time.Duration) {
			n.respond(now, a, balancer.Errored)
		})
		return
	}
	n.admit(now, a, work)
	n.reschedule()
}

// admit offers a request to the model. If the model does not admit it, the server sends the
// attempt's result at once.
func (n *serverNode) admit(now time.Duration, a *attempt, work float64) {
	t := n.newTask(a, work)
	switch n.model.Admit(now, &t.Job, work) {
	case server.Rejected:
		n.stats.Rejected++
		n.sim.checker.RecordRejection(now, n.name, a.call.id)
		a.connReusable = true
		a.sendResult(now, balancer.Rejected)
	case server.Unavailable:
		if n.model.Overloaded() {
			n.sim.checker.RecordOverload(now, n.name)
			n.crash(now)
		}
		a.sendResult(now, balancer.Reset)
	case server.Admitted:
		n.addTask(t)
		if n.drawFault(n.faults.BreakAfterRate) {
			a.sendResult(now, balancer.Reset) // the work continues
		}
	}
}

// respond sends the response to an attempt.
func (n *serverNode) respond(now time.Duration, a *attempt, r balancer.Result) {
	if r == balancer.OK {
		n.sim.checker.RecordServerResponse(n.name, a.call.id, a.call.digest)
	}
	if n.faults.Unresponsive {
		return
	}
	if n.drawFault(n.faults.TruncateRate) || n.drawFault(n.faults.CorruptRate) {
		a.sendResult(now, balancer.Reset)
		return
	}
	a.connReusable = true
	a.sendResult(now+n.faults.ResponseDelay, r)
}

// crash stops the server's process and its sidecar. Their connections break.
func (n *serverNode) crash(now time.Duration) {
	n.model.Crash()
	tasks := n.tasks
	n.tasks = nil
	for _, t := range tasks {
		t.attempt.task = nil
		if !n.faults.Unresponsive {
			t.attempt.sendResult(now, balancer.Reset)
		}
	}
	n.incarnation++
	if n.sidecar != nil {
		n.sidecar.kill(now)
	}
}

// countArrival counts a request in the second of its arrival.
func (n *serverNode) countArrival(now time.Duration) {
	n.stats.Arrivals++
	second := int(now / time.Second)
	n.sim.arrivalsBySecond[n.tier] = increment(n.sim.arrivalsBySecond[n.tier], second)
	if n.stats.AddedDuringRun {
		n.arrivalsBySecond = increment(n.arrivalsBySecond, second)
	}
}

// increment adds 1 to counts[i], and grows counts as needed.
func increment(counts []int64, i int) []int64 {
	for len(counts) <= i {
		counts = append(counts, 0)
	}
	counts[i]++
	return counts
}

// fullLoadFraction is the fraction of the tier's mean load per server from which a new server
// counts as fully loaded.
const fullLoadFraction = 0.85

// timeToFullLoad returns the time from the server's start to the first whole second in which it
// received at least fullLoadFraction of an equal share of the tier's requests, or 0 if there was
// none.
func (n *serverNode) timeToFullLoad() time.Duration {
	servers := float64(len(n.sim.servers[n.tier]))
	for s := int(n.addedAt/time.Second) + 1; s < len(n.arrivalsBySecond); s++ {
		if float64(n.arrivalsBySecond[s])*servers >= fullLoadFraction*float64(n.sim.arrivalsBySecond[n.tier][s]) {
			return time.Duration(s)*time.Second - n.addedAt
		}
	}
	return 0
}
