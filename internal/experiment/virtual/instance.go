package virtual

import (
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment"
	"rowancart/internal/experiment/baseline"
	"rowancart/internal/experiment/invariant"
)

// call is a request that an instance has taken.
type call struct {
	id          string
	class       int
	tenant      int
	work        float64
	deadline    time.Duration
	clientRetry bool
	digest      uint64
	instance    *instance // that is to take it
	origin      callOrigin

	attempts   []*attempt
	attemptBuf [2]*attempt // room for most
	ended      bool
	outcome    invariant.Outcome // once over
	retryAfter time.Duration
}

// callOrigin is who made a call: a client, or a server for the tier below.
type callOrigin interface {
	callEnded(now time.Duration, c *call)
	callTimedOut(now time.Duration, c *call)
}

// What happens to a call.
const (
	callArrives = iota
	responseArrives
	clientTimesOut
)

func (c *call) act(now time.Duration, what int) {
	switch what {
	case callArrives:
		c.instance.receive(now, c)
	case responseArrives:
		c.origin.callEnded(now, c)
	case clientTimesOut:
		c.origin.callTimedOut(now, c)
	}
}

// end tells the client, after a delay, how its call ended.
func (c *call) end(at time.Duration, f invariant.Outcome, retryAfter time.Duration) {
	c.outcome, c.retryAfter = f, retryAfter
	c.instance.sim.schedule(&c.instance.eventSource, at, c, responseArrives)
}

// attempt is one Send.
type attempt struct {
	instance            *instance
	instanceIncarnation int // of the instance
	call                *call
	number              int
	server              *serverNode
	serverIncarnation   int // of the server, when the connection was made
	sentAt              time.Duration
	newConn             bool // on a new connection
	holdsConn           bool // holds a connection
	connReusable        bool // the connection may serve again
	ended               bool
	task                *task
	timeout             *event // its time-out
}

// instance hosts one policy: it stands in for a sidecar.
type instance struct {
	eventSource
	sim             *simulation
	name            string
	tier            int
	index           int
	count           int
	server          *serverNode
	policy          balancer.Events
	discoverySpread float64 // its place in the discovery service's spread
	notifiedAt      time.Duration
	missedChanges   []balancer.Endpoint
	down            bool
	incarnation     int
	starts          int
	calls           map[string]*call
	idleConns       map[*serverNode][]idleConn
	rings           time.Duration

	learned   balancer.LearnedState // when it was killed
	learnedAt time.Duration
}

// idleConn is a connection that waits for its next request.
type idleConn struct {
	since             time.Duration
	serverIncarnation int
}

func (s *simulation) newInstance(name string, tier, index, count int, beside *serverNode) *instance {
	in := &instance{eventSource: eventSource{rank: experiment.Seed(s.seed, name)}, sim: s, name: name, tier: tier, index: index, count: count,
		server: beside, down: true, discoverySpread: experiment.Rand(s.seed, "spread "+name).Float64()}
	return in
}

// start begins with no knowledge but the discovery service's list.
func (in *instance) start(now time.Duration) {
	w := in.sim
	in.starts++
	in.incarnation++
	in.down = false
	in.calls, in.idleConns, in.missedChanges, in.notifiedAt = map[string]*call{}, map[*serverNode][]idleConn{}, nil, now
	seed := experiment.Seed(w.seed, in.name+" start "+string(rune('0'+in.starts%10)))
	settings := w.variant.ApplyTo(w.e.Site.Settings(in.tier, in.index, in.count, seed))
	if w.variant.Policy == experiment.DesignPolicy {
		in.policy = balancer.New(balancerEpoch+now, settings, (*policyHost)(in))
	} else {
		// The name was checked at the start of the run.
		in.policy, _ = baseline.New(w.variant.Policy, settings, (*policyHost)(in))
	}
	list := w.endpointLists[in.tier]
	for _, e := range list {
		w.checker.RecordNotification(now, in.name, e.ID, e.State, e.Started > 0)
	}
	in.policy.EndpointList(balancerEpoch+now, balancer.EndpointList{Complete: true, Entries: list})
	if b, ok := in.policy.(*balancer.Balancer); ok && w.variant.RestoreLearnedState && in.starts > 1 {
		b.Restore(balancerEpoch+now, in.learned, now-in.learnedAt)
	}
	if in.starts == 1 {
		w.instances = append(w.instances, in)
	}
}

// kill ends the process: its connections break, clients see that at once, and what servers have of it they go on with.
func (in *instance) kill(now time.Duration) {
	if in.down {
		return
	}
	in.down = true
	if b, ok := in.policy.(*balancer.Balancer); ok {
		in.learned, in.learnedAt = b.LearnedState(balancerEpoch+now), now
	}
	in.incarnation++
	in.sim.checker.RecordKill(in.name)
	for h, conns := range in.idleConns { // servers forget them: the order does not matter
		for _, c := range conns {
			if c.serverIncarnation == h.incarnation {
				h.model.Disconnect()
			}
		}
	}
	calls := in.calls
	in.calls = nil
	var open []*call
	for _, c := range calls {
		for _, a := range c.attempts {
			if !a.ended {
				a.ended = true
				in.sim.cancel(a.timeout)
				a.closeConn(now)
			}
		}
		if !c.ended {
			c.ended = true
			open = append(open, c)
		}
	}
	sortCalls(open)
	for _, c := range open {
		c.end(now+in.sim.e.Site.NetworkDelay, invariant.Failed, 0)
	}
}

// retryAfterUnreachable stands for advice where nobody was there to take the request.
const retryAfterUnreachable = time.Duration(-1)

// receive returns the instance a request.
func (in *instance) receive(now time.Duration, c *call) {
	w := in.sim
	if in.down {
		c.end(now+w.e.Site.NetworkDelay, invariant.Failed, retryAfterUnreachable)
		return
	}
	c.digest = experiment.Seed(w.seed, c.id)
	class := &w.e.Site.Classes[c.class]
	w.checker.RecordRequest(now, invariant.Request{ID: c.id, Instance: in.name, Repeat: class.Repeat, Deadline: c.deadline, Digest: 1,
		MaxAttempts: w.variant.ClassPolicy(class.Name).MaxAttempts, NeverRerun: w.variant.ClassPolicy(class.Name).NeverRerun})
	in.calls[c.id] = c
	c.attempts = c.attemptBuf[:0]
	if in.tier == 0 {
		w.counters.Requests++
	}
	r := balancer.Request{ID: c.id, Class: class.Name, Deadline: balancerEpoch + c.deadline, ClientRetry: c.clientRetry}
	if c.tenant >= 0 {
		r.Tenant = w.e.Site.Tenants[c.tenant].Name
	}
	in.policy.Request(balancerEpoch+now, r)
}

// act rings a timer of the life that asked for it.
func (in *instance) act(now time.Duration, life int) {
	if !in.down && in.incarnation == life {
		in.policy.Timer(balancerEpoch + now)
	}
}

// clientLeft reports that the client has gone.
func (in *instance) clientLeft(now time.Duration, c *call) {
	if in.down || c.ended || in.calls[c.id] != c {
		return
	}
	c.ended = true
	in.sim.checker.Waive(c.id)
	in.policy.ClientLeft(balancerEpoch+now, c.id)
	in.removeIfDone(c)
}

// respond returns a request's final answer.
func (in *instance) respond(now time.Duration, c *call, f invariant.Outcome, retryAfter time.Duration) {
	if c == nil || c.ended {
		return
	}
	c.ended = true
	in.sim.checker.RecordResponse(now, c.id, f, c.digest)
	c.end(now+in.sim.networkDelay(), f, retryAfter)
	in.removeIfDone(c)
}

func (in *instance) removeIfDone(c *call) {
	if !c.ended {
		return
	}
	for _, a := range c.attempts {
		if !a.ended {
			return
		}
	}
	delete(in.calls, c.id)
}

// end reports the end of an attempt to the policy.
func (a *attempt) end(now time.Duration, r balancer.Result) {
	if a.ended {
		return
	}
	a.ended = true
	in, c := a.instance, a.call
	in.sim.cancel(a.timeout)
	if r == balancer.OK || a.connReusable && (r == balancer.Errored || r == balancer.Rejected) {
		a.releaseConn(now)
	} else {
		a.closeConn(now)
	}
	o := balancer.Outcome{ID: c.id, Attempt: a.number, Result: r, Latency: now - a.sentAt, Final: c.ended}
	if a.server != nil {
		o.Endpoint = a.server.name
	}
	if r == balancer.OK && !c.ended {
		o.Final = true
		in.respond(now, c, invariant.Served, 0)
	}
	in.policy.Outcome(balancerEpoch+now, o)
	in.removeIfDone(c)
}

// arrivesAtServer is what happens to an attempt at its server; all else that happens is its end, by its result.
const arrivesAtServer = -1

func (a *attempt) act(now time.Duration, what int) {
	switch {
	case what != arrivesAtServer:
		if !a.instance.down && a.instance.incarnation == a.instanceIncarnation {
			a.end(now, balancer.Result(what))
		}
	case a.ended && a.instance.down || a.server.incarnation != a.serverIncarnation: // what was not yet written whole breaks with its sender
		a.sendResult(now, balancer.Reset)
	default:
		a.server.receive(now, a)
	}
}

// scheduleEnd ends the attempt at an instant, if nothing else has by then.
func (a *attempt) scheduleEnd(at time.Duration, r balancer.Result) {
	a.instance.sim.schedule(&a.instance.eventSource, at, a, int(r))
}

// sendResult carries what the server sent, or the break of the connection, to the instance.
func (a *attempt) sendResult(now time.Duration, r balancer.Result) {
	if !a.ended {
		a.scheduleEnd(now+a.instance.sim.networkDelay(), r)
	}
}

// closeConn closes the attempt's connection.
func (a *attempt) closeConn(now time.Duration) {
	if !a.holdsConn {
		return
	}
	a.holdsConn = false
	if a.server.incarnation == a.serverIncarnation {
		a.server.model.Disconnect()
	}
	if e := a.task; e != nil && a.instance.sim.e.Site.Tiers[a.server.tier].Server.CancelStopsWork {
		a.server.advance(now)
		if !e.Finished() {
			a.server.model.Finish(&e.Job)
			a.server.removeTask(e)
			a.server.reschedule()
		}
	}
}

// releaseConn keeps the connection for the next attempt.
func (a *attempt) releaseConn(now time.Duration) {
	if !a.holdsConn {
		return
	}
	a.holdsConn = false
	if a.server.incarnation == a.serverIncarnation {
		a.instance.idleConns[a.server] = append(a.instance.idleConns[a.server], idleConn{now, a.serverIncarnation})
	}
}

// takeIdleConn finds an idle connection that still stands.
func (in *instance) takeIdleConn(now time.Duration, h *serverNode) bool {
	conns := in.idleConns[h]
	limit := in.sim.e.Site.Tiers[h.tier].Server.ConnIdleTimeout
	for len(conns) > 0 {
		c := conns[len(conns)-1]
		if c.serverIncarnation == h.incarnation && (limit <= 0 || now-c.since < limit) {
			in.idleConns[h] = conns[:len(conns)-1]
			return true
		}
		// The one used last is too old: so are all others.
		for _, c := range conns {
			if c.serverIncarnation == h.incarnation {
				h.model.Disconnect()
			}
		}
		conns = nil
	}
	in.idleConns[h] = conns
	return false
}

// policyHost carries out what a policy asks for.
type policyHost instance

var _ balancer.Host = (*policyHost)(nil)

// Send implements balancer.Host.
func (p *policyHost) Send(id, endpoint string, timeout time.Duration) {
	in := (*instance)(p)
	w, now := in.sim, in.sim.now
	c := in.calls[id]
	if c == nil {
		return
	}
	h := w.serverByName[endpoint]
	a := &attempt{instance: in, instanceIncarnation: in.incarnation, call: c, number: len(c.attempts), server: h, sentAt: now}
	c.attempts = append(c.attempts, a)
	if in.tier == 0 {
		w.counters.Attempts++
		if a.number == 0 {
			w.counters.RequestsSent++
		}
	}
	if c.ended || h == nil {
		a.scheduleEnd(now, balancer.NotSent)
		return
	}
	a.timeout = w.scheduleCancelable(&in.eventSource, now+max(min(timeout, c.deadline-now), 0), a, int(balancer.TimedOut))
	lag := w.networkDelay()
	a.serverIncarnation = h.incarnation
	if !in.takeIdleConn(now, h) {
		switch {
		case h.unresponsive || h.acceptStalled:
			a.scheduleEnd(now+dialTimeout, balancer.ConnectFailed)
			return
		case !h.model.Connect():
			a.scheduleEnd(now+2*lag, balancer.ConnectFailed)
			return
		}
		a.newConn = true
		lag *= 3 // a round trip for the connection comes first
	}
	a.holdsConn = true
	if h.breakBeforeRate > 0 && h.rng.Float64() < h.breakBeforeRate {
		a.scheduleEnd(now+lag, balancer.ConnectFailed)
		return
	}
	w.schedule(&in.eventSource, now+lag, a, arrivesAtServer)
}

// Cancel implements balancer.Host.
func (p *policyHost) Cancel(id string, n int) {
	in := (*instance)(p)
	if c := in.calls[id]; c != nil && n >= 0 && n < len(c.attempts) {
		c.attempts[n].scheduleEnd(in.sim.now, balancer.Canceled)
	}
}

// Reject implements balancer.Host.
func (p *policyHost) Reject(id string, why balancer.Reason, retryAfter time.Duration) {
	in := (*instance)(p)
	in.sim.counters.Reasons[why]++
	in.respond(in.sim.now, in.calls[id], invariant.Rejected, retryAfter)
}

// Fail implements balancer.Host.
func (p *policyHost) Fail(id string, why balancer.Reason) {
	in := (*instance)(p)
	in.sim.counters.Reasons[why]++
	in.respond(in.sim.now, in.calls[id], invariant.Failed, 0)
}

// Subscribe implements balancer.Host. The endpoint list tells without being asked.
func (p *policyHost) Subscribe() {}

// Timer implements balancer.Host.
func (p *policyHost) Timer(at time.Duration) {
	in := (*instance)(p)
	in.sim.schedule(&in.eventSource, at-balancerEpoch, in, in.incarnation)
}

// Log implements balancer.Host.
func (p *policyHost) Log(line string) {
	in := (*instance)(p)
	in.sim.log(in.sim.now, in.name, line)
}
