package virtual

import (
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment/invariant"
)

// attempt is one attempt at a call, which a policy has sent with balancer.Host.Send.
type attempt struct {
	instance            *instance
	instanceIncarnation int
	call                *call
	number              int // index in call.attempts
	server              *serverNode
	serverIncarnation   int // serverNode.incarnation when the attempt was sent
	sentAt              time.Duration
	newConn             bool
	holdsConn           bool
	connReusable        bool // the server keeps the connection open after its response
	ended               bool
	task                *task  // in the server; nil: none
	timeout             *event // ends the attempt with balancer.TimedOut
}

// arrivesAtServer is the action of the event by which the last byte of the request reaches the
// server. Any other action is the balancer.Result with which the attempt ends.
const arrivesAtServer = -1

// act implements actor.
func (a *attempt) act(now time.Duration, action int) {
	switch {
	case action != arrivesAtServer:
		if !a.instance.down && a.instance.incarnation == a.instanceIncarnation {
			a.end(now, balancer.Result(action))
		}
	case a.ended && a.instance.down || a.server.incarnation != a.serverIncarnation:
		a.sendResult(now, balancer.Reset) // the connection broke before the last byte arrived
	default:
		a.server.receive(now, a)
	}
}

// scheduleEnd schedules the end of the attempt, which has no effect if it has ended by then.
func (a *attempt) scheduleEnd(at time.Duration, r balancer.Result) {
	a.instance.sim.schedule(&a.instance.eventSource, at, a, int(r))
}

// sendResult ends the attempt with r after the network delay: when the server's response, or the
// news that the connection broke, reaches the instance.
func (a *attempt) sendResult(now time.Duration, r balancer.Result) {
	if !a.ended {
		a.scheduleEnd(now+a.instance.sim.networkDelay(), r)
	}
}

// end reports the attempt's outcome to the policy. If it is the first success of a call that has
// not ended, its response is the call's final one.
func (a *attempt) end(now time.Duration, r balancer.Result) {
	if a.ended {
		return
	}
	a.ended = true
	in := a.instance
	c := a.call
	in.sim.cancel(a.timeout)
	if r == balancer.OK || a.connReusable && (r == balancer.Errored || r == balancer.Rejected) {
		a.releaseConn(now)
	} else {
		a.closeConn(now)
	}
	outcome := balancer.Outcome{ID: c.id, Attempt: a.number, Result: r, Latency: now - a.sentAt, Final: c.ended}
	if a.server != nil {
		outcome.Endpoint = a.server.name
	}
	if r == balancer.OK && !c.ended {
		outcome.Final = true
		in.respond(now, c, invariant.Served, 0)
	}
	in.policy.Outcome(balancerEpoch+now, outcome)
	in.removeIfDone(c)
}

// closeConn closes the attempt's connection. If the tier has CancelStopsWork, that also stops the
// server's work on the attempt.
func (a *attempt) closeConn(now time.Duration) {
	if !a.holdsConn {
		return
	}
	a.holdsConn = false
	n := a.server
	if n.incarnation == a.serverIncarnation {
		n.model.Disconnect()
	}
	if t := a.task; t != nil && a.instance.sim.experiment.Site.Tiers[n.tier].Server.CancelStopsWork {
		n.advance(now)
		if !t.Finished() {
			n.model.Finish(&t.Job)
			n.removeTask(t)
			n.reschedule()
		}
	}
}

// releaseConn keeps the attempt's connection open for a later attempt to the same server.
func (a *attempt) releaseConn(now time.Duration) {
	if !a.holdsConn {
		return
	}
	a.holdsConn = false
	if n := a.server; n.incarnation == a.serverIncarnation {
		conn := idleConn{since: now, serverIncarnation: a.serverIncarnation}
		a.instance.idleConns[n] = append(a.instance.idleConns[n], conn)
	}
}
