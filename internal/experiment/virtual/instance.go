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
	tier            int // the tier to which it sends
	index           int // among the instances that send to the tier
	count           int // instances that send to the tier
	policy          balancer.Events
	discoverySpread float64             // fraction of Discovery.Spread, from 0 to 1, that delays its notifications further
	notifiedAt      time.Duration       // time of the latest notification, possibly in the future
	missedChanges   []balancer.Endpoint // that discovery did not send while it was silent
	down            bool
	incarnation     int              // changes with each start and each kill
	starts          int              // number of starts so far
	calls           map[string]*call // by ID, until they and their attempts have ended
	idleConns       map[*serverNode][]idleConn

	learned   balancer.LearnedState // state at the latest kill
	learnedAt time.Duration         // time of the latest kill
}

// idleConn is an open connection without a request.
type idleConn struct {
	since             time.Duration
	serverIncarnation int
}

// newInstance creates an instance that sends to a tier. index is its position among the count
// instances that send to this tier. The instance is down until it is started.
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

// start starts the process with the current endpoint list. After a restart, the design's
// policy gets its learned state back if the variant has RestoreLearnedState.
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
		in.policy, _ = baseline.New(s.variant.Policy, settings, (*policyHost)(in)) // no error: Run has checked the name
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

// kill kills the process. Its connections break, and its open calls fail at their callers after the
// network delay. Servers continue to process its requests unless their tier has CancelStopsWork.
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
	for n, conns := range in.idleConns { // the order does not affect the servers
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

// receive handles the arrival of a call.
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

// act implements actor. It handles a timer of the policy, and ignores timers of earlier
// incarnations.
func (in *instance) act(now time.Duration, incarnation int) {
	if !in.down && in.incarnation == incarnation {
		in.policy.Timer(balancerEpoch + now)
	}
}

// clientDisconnected handles a call whose client has closed the connection.
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

// removeIfDone removes a call if it and all of its attempts have ended.
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

// takeIdleConn takes an idle connection to a server. It returns false if none is still open.
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
	// The server has closed the connection that was used last, so it has closed all older ones too.
	n.disconnect(conns)
	in.idleConns[n] = nil
	return false
}

// disconnect closes idle connections to the server. Connections to an earlier
// incarnation were already broken by its crash.
func (n *serverNode) disconnect(conns []idleConn) {
	for _, c := range conns {
		if c.serverIncarnation == n.incarnation {
			n.model.Disconnect()
		}
	}
}
