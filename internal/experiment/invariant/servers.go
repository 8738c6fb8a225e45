package invariant

import (
	"time"

	"rowancart/balancer"
)

// Arrival is a request that a server has received in full.
type Arrival struct {
	ID        string
	Server    string
	FirstByte time.Duration
	LastByte  time.Duration
	Digest    uint64
	WarmingUp bool    // the server had not yet reached its full capacity
	Work      float64 // in seconds on a core of speed 1; for RuleWarmup
}

// instanceServer is the key for what an instance has been told about a server.
type instanceServer struct{ instance, server string }

// workArrival is work that arrived at a server that warms up.
type workArrival struct {
	at       time.Duration
	work     float64
	notified bool // the sending instance had been notified of the server's start
}

// RecordArrival records a request that a server has received. From then on the request counts as
// one that may have run, unless the server rejects it.
func (c *Checker) RecordArrival(a Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[a.ID]
	if r == nil {
		c.addViolation(RuleForeignRequest, a.FirstByte, "%s got a request %.40q that no client sent", a.Server, a.ID)
		return
	}
	if r.Digest != a.Digest {
		c.addViolation(RuleForeignRequest, a.FirstByte, "%s got request %s in another form than its client sent", a.Server,
			a.ID)
	}
	key := instanceServer{r.Instance, a.Server}
	c.checkDrain(key, a)
	if a.WarmingUp {
		c.recordWork(a, c.notifiedOfStart[key])
	}
	c.checkPolicy(r, a)
	if r.Idempotency == balancer.NonIdempotent {
		c.checkDuplicate(r, a)
	}
	r.executions = append(r.executions, execution{server: a.Server, at: a.LastByte})
}

// checkDrain checks that the instance was still allowed to send to a draining or removed server. mu
// must be held.
func (c *Checker) checkDrain(key instanceServer, a Arrival) {
	notifiedAt, ok := c.drainingSince[key]
	if ok && a.FirstByte > notifiedAt+c.rules.DrainGrace+c.slack {
		c.addViolation(RuleDrain, a.FirstByte, "%s got request %s from %s %v after the telling", a.Server, a.ID,
			key.instance, a.FirstByte-notifiedAt)
	}
}

// checkPolicy checks that the class's policy allows another arrival of a request. mu must be held.
func (c *Checker) checkPolicy(r *request, a Arrival) {
	if r.MaxAttempts > 0 && len(r.executions) >= r.MaxAttempts {
		c.addViolation(RulePolicy, a.LastByte, "request %s reached a box %d times, and %d attempts are allowed", a.ID,
			len(r.executions)+1, r.MaxAttempts)
	}
	if r.NeverRerun && r.mayHaveRunBy(a.FirstByte) != nil {
		c.addViolation(RulePolicy, a.LastByte, "request %s reached %s after a run, which its policy forbids", a.ID,
			a.Server)
	}
}

// checkDuplicate checks that no earlier attempt of a non-idempotent request can have run, and that
// no rejection has told its client that the request did not run. mu must be held.
func (c *Checker) checkDuplicate(r *request, a Arrival) {
	if earlier := r.mayHaveRunBy(a.FirstByte); earlier != nil {
		c.addViolation(RuleDuplicate, a.LastByte, "request %s reached %s after %s, where it may have run", a.ID, a.Server,
			earlier.server)
	}
	if r.finished && r.outcome == Rejected {
		c.addViolation(RuleFalseRejection, a.LastByte, "request %s reached %s though it had been refused", a.ID, a.Server)
	}
}

// recordWork adds an arrival to the work that a server that warms up received within the overload
// window. Notified says whether the sending instance had been notified of the server's start. mu
// must be held.
func (c *Checker) recordWork(a Arrival, notified bool) {
	recent := append(c.recentWork[a.Server], workArrival{a.LastByte, a.Work, notified})
	for len(recent) > 0 && recent[0].at <= a.LastByte-c.rules.OverloadWindow {
		recent = recent[1:]
	}
	c.recentWork[a.Server] = recent
}

// RecordRejection records that a server rejected the latest arrival of a request.
func (c *Checker) RecordRejection(now time.Duration, server, id string) {
	c.updateExecution(server, id, func(e *execution) { e.rejectedAt = max(now, 1) })
}

// RecordServerResponse records the digest of the response that a server made to the latest arrival
// of a request.
func (c *Checker) RecordServerResponse(server, id string, digest uint64) {
	c.updateExecution(server, id, func(e *execution) { e.responseDigest = digest })
}

// updateExecution calls update with the latest execution of a request at a server. It does nothing
// if there is none.
func (c *Checker) updateExecution(server, id string, update func(*execution)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		return
	}
	for i := len(r.executions) - 1; i >= 0; i-- {
		if r.executions[i].server == server {
			update(&r.executions[i])
			return
		}
	}
}

// Notification is a change of the endpoint list that an instance has been notified of.
type Notification struct {
	Instance string
	Server   string
	State    balancer.State
	Started  bool // it includes the instant of the server's start
}

// RecordNotification records that an instance has been notified of a server's state.
func (c *Checker) RecordNotification(now time.Duration, n Notification) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := instanceServer{n.Instance, n.Server}
	if n.State == balancer.Ready {
		delete(c.drainingSince, key)
		c.notifiedOfStart[key] = c.notifiedOfStart[key] || n.Started
		return
	}
	if _, ok := c.drainingSince[key]; !ok { // the grace counts from the first notification
		c.drainingSince[key] = now
	}
}

// notifiedWorkFraction is the minimum fraction of the work that must have come from instances that
// had been notified of the server's start, for an overload to count as a violation.
const notifiedWorkFraction = 2.0 / 3

// RecordOverload records that a server has crashed because of its load while it warmed up. This is
// a violation if most of the load came from instances that had been notified of the server's start.
func (c *Checker) RecordOverload(now time.Duration, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var notified, total float64
	for _, w := range c.recentWork[server] {
		total += w.work
		if w.notified {
			notified += w.work
		}
	}
	if total > 0 && notified >= notifiedWorkFraction*total {
		c.addViolation(RuleWarmup, now, "%s was sent %.2f s of work within %v while cold", server, total,
			c.rules.OverloadWindow)
	}
}
