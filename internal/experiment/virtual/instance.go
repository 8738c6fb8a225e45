package virtual

import (
	"strconv"
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment"
	"rowancart/internal/experiment/baseline"
	"rowancart/internal/experiment/invariant"
)

// instance is an emulated sidecar, which hosts one policy.
type instance struct {
	eventSource
	sim             *simulation
	name            string
	tier            int // to which it sends
	index           int
	count           int // instances before the tier
	policy          balancer.Events
	discoverySpread float64             // from 0 to 1: its fraction of Discovery.Spread
	notifiedAt      time.Duration       // of the latest notification, which may be in the future
	missedChanges   []balancer.Endpoint // while discovery was silent
	down            bool
	incarnation     int // changes with each start and each kill
	starts          int
	calls           map[string]*call // by ID, until they and their attempts have ended
	idleConns       map[*serverNode][]idleConn

	learned   balancer.LearnedState // when it was killed
	learnedAt time.Duration
}

// idleConn is a connection that waits for its next request.
type idleConn struct {
	since             time.Duration
	serverIncarnation int
}

// newInstance creates instance index of count before a tier. It is down until its start.
func (s *simulation) newInstance(name string, tier, index, count int) *instance {
	return &instance{
		eventSource:     eventSource{rank: experiment.Seed(s.seed, name)},
		sim:             s,
		name:            name,
		tier:            tier,
		index:           index,
		count:           count,
		down:            true,
		discoverySpread: experiment.Rand(s.seed, "spread "+name).Float64(),
	}
}

// start starts the process with the present endpoint list, and restores its learned state if the
// variant does so.
func (in *instance) start(now time.Duration) {
	s := in.sim
	in.starts++
	in.incarnation++
	in.down = false
	in.calls = map[string]*call{}
	in.idleConns = map[*serverNode][]idleConn{}
	in.missedChanges = nil
	in.notifiedAt = now
	seed := experiment.Seed(s.seed, in.name+" start "+strconv.Itoa(in.starts%10))
	placement := experiment.Placement{Tier: in.tier, Index: in.index, Count: in.count}
	settings := s.variant.ApplyTo(s.experiment.Site.Settings(placement, seed))
	if s.variant.Policy == experiment.DesignPolicy {
		in.policy = balancer.New(balancerEpoch+now, settings, (*policyHost)(in))
	} else {
		in.policy, _ = baseline.New(s.variant.Policy, settings, (*policyHost)(in)) // Run has checked the name
	}
	list := s.endpointLists[in.tier]
	for _, e := range list {
		s.checker.RecordNotification(now, in.notification(e))
	}
	in.policy.EndpointList(balancerEpoch+now, balancer.EndpointList{Complete: true, Entries: list})
	if b, ok := in.policy.(*balancer.Balancer); ok && s.variant.RestoreLearnedState && in.starts > 1 {
		b.Restore(balancerEpoch+now, in.learned, now-in.learnedAt)
	}
	if in.starts == 1 {
		s.instances = append(s.instances, in)
	}
}

// kill kills the process. Its connections break, which clients notice at once; servers continue to
// process its requests.
func (in *instance) kill(now time.Duration) {
	if in.down {
		return
	}
	in.down = true
	if b, ok := in.policy.(*balancer.Balancer); ok {
		in.learned = b.LearnedState(balancerEpoch + now)
		in.learnedAt = now
	}
	in.incarnation++
	in.sim.checker.RecordKill(in.name)
	for n, conns := range in.idleConns { // the order does not matter to the servers
		n.disconnect(conns)
	}
	calls := in.calls
	in.calls = nil
	var open []*call
	for _, c := range calls {
		c.breakAttempts(now)
		if !c.ended {
			c.ended = true
			open = append(open, c)
		}
	}
	sortCalls(open)
	for _, c := range open {
		c.end(now+in.sim.experiment.Site.NetworkDelay, invariant.Failed, 0)
	}
}

// breakAttempts ends the attempts of a call whose instance was killed.
func (c *call) breakAttempts(now time.Duration) {
	for _, a := range c.attempts {
		if !a.ended {
			a.ended = true
			c.instance.sim.cancel(a.timeout)
			a.closeConn(now)
		}
	}
}

// receive handles a call that has arrived.
func (in *instance) receive(now time.Duration, c *call) {
	s := in.sim
	if in.down {
		c.end(now+s.experiment.Site.NetworkDelay, invariant.Failed, retryAfterUnreachable)
		return
	}
	c.digest = experiment.Seed(s.seed, c.id)
	class := &s.experiment.Site.Classes[c.class]
	policy := s.variant.ClassPolicy(class.Name)
	s.checker.RecordRequest(now, invariant.Request{
		ID:          c.id,
		Instance:    in.name,
		Idempotency: class.Idempotency,
		Deadline:    c.deadline,
		Digest:      1,
		MaxAttempts: policy.MaxAttempts,
		NeverRerun:  policy.NeverRerun,
	})
	in.calls[c.id] = c
	c.attempts = c.attemptBuf[:0]
	if in.tier == 0 {
		s.counters.Requests++
	}
	r := balancer.Request{ID: c.id, Class: class.Name, Deadline: balancerEpoch + c.deadline, ClientRetry: c.clientRetry}
	if c.tenant >= 0 {
		r.Tenant = s.experiment.Site.Tenants[c.tenant].Name
	}
	in.policy.Request(balancerEpoch+now, r)
}

// act implements actor: a timer of the policy is due. A timer of an earlier incarnation is ignored.
func (in *instance) act(now time.Duration, incarnation int) {
	if !in.down && in.incarnation == incarnation {
		in.policy.Timer(balancerEpoch + now)
	}
}

// clientDisconnected handles a client that has closed its connection.
func (in *instance) clientDisconnected(now time.Duration, c *call) {
	if in.down || c.ended || in.calls[c.id] != c {
		return
	}
	c.ended = true
	in.sim.checker.Waive(c.id)
	in.policy.ClientDisconnected(balancerEpoch+now, c.id)
	in.removeIfDone(c)
}

// respond sends the final response to a call. It does nothing if c is nil or has ended.
func (in *instance) respond(now time.Duration, c *call, outcome invariant.Outcome, retryAfter time.Duration) {
	if c == nil || c.ended {
		return
	}
	c.ended = true
	in.sim.checker.RecordResponse(now, c.id, outcome, c.digest)
	c.end(now+in.sim.networkDelay(), outcome, retryAfter)
	in.removeIfDone(c)
}

// removeIfDone removes a call that has ended, and whose attempts have all ended.
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

// takeIdleConn takes an idle connection to a server. It returns false if none is open.
func (in *instance) takeIdleConn(now time.Duration, n *serverNode) bool {
	conns := in.idleConns[n]
	if len(conns) == 0 {
		return false
	}
	limit := in.sim.experiment.Site.Tiers[n.tier].Server.ConnIdleTimeout
	last := conns[len(conns)-1]
	if last.serverIncarnation == n.incarnation && (limit <= 0 || now-last.since < limit) {
		in.idleConns[n] = conns[:len(conns)-1]
		return true
	}
	// The server has closed the connection that was used last, and so the others, which are older.
	n.disconnect(conns)
	in.idleConns[n] = nil
	return false
}

// disconnect closes idle connections to the server. Those to an earlier incarnation are broken.
func (n *serverNode) disconnect(conns []idleConn) {
	for _, c := range conns {
		if c.serverIncarnation == n.incarnation {
			n.model.Disconnect()
		}
	}
}
