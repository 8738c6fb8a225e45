package virtual

import (
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment/invariant"
)

// policyHost executes the actions of an instance's policy.
type policyHost instance

var _ balancer.Host = (*policyHost)(nil)

// Send implements balancer.Host.
func (p *policyHost) Send(id, endpoint string, timeout time.Duration) {
	in := (*instance)(p)
	s := in.sim
	now := s.now
	c := in.calls[id]
	if c == nil {
		return
	}
	n := s.serverByName[endpoint]
	a := &attempt{
		instance:            in,
		instanceIncarnation: in.incarnation,
		call:                c,
		number:              len(c.attempts),
		server:              n,
		sentAt:              now,
	}
	c.attempts = append(c.attempts, a)
	if in.tier == 0 {
		s.counters.Attempts++
		if a.number == 0 {
			s.counters.RequestsSent++
		}
	}
	if c.ended || n == nil {
		a.scheduleEnd(now, balancer.NotSent)
		return
	}
	timesOut := now + max(min(timeout, c.deadline-now), 0)
	a.timeout = s.scheduleCancelable(&in.eventSource, timesOut, a, int(balancer.TimedOut))
	in.transmit(now, a)
}

// transmit sends an attempt over an idle connection, or over a new one.
func (in *instance) transmit(now time.Duration, a *attempt) {
	s := in.sim
	n := a.server
	delay := s.networkDelay()
	a.serverIncarnation = n.incarnation
	if !in.takeIdleConn(now, n) {
		switch {
		case n.faults.Unresponsive || n.faults.AcceptStalled:
			a.scheduleEnd(now+dialTimeout, balancer.ConnectFailed)
			return
		case !n.model.Connect():
			a.scheduleEnd(now+2*delay, balancer.ConnectFailed)
			return
		}
		a.newConn = true
		delay *= 3 // establishing the connection takes one more round trip
	}
	a.holdsConn = true
	if n.drawFault(n.faults.BreakBeforeRate) {
		a.scheduleEnd(now+delay, balancer.ConnectFailed)
		return
	}
	s.schedule(&in.eventSource, now+delay, a, arrivesAtServer)
}

// Cancel implements balancer.Host.
func (p *policyHost) Cancel(id string, n int) {
	in := (*instance)(p)
	if c := in.calls[id]; c != nil && n >= 0 && n < len(c.attempts) {
		c.attempts[n].scheduleEnd(in.sim.now, balancer.Canceled)
	}
}

// Reject implements balancer.Host.
func (p *policyHost) Reject(id string, reason balancer.Reason, retryAfter time.Duration) {
	in := (*instance)(p)
	in.sim.counters.Reasons[reason]++
	in.respond(in.sim.now, in.calls[id], invariant.Rejected, retryAfter)
}

// Fail implements balancer.Host.
func (p *policyHost) Fail(id string, reason balancer.Reason) {
	in := (*instance)(p)
	in.sim.counters.Reasons[reason]++
	in.respond(in.sim.now, in.calls[id], invariant.Failed, 0)
}

// Subscribe implements balancer.Host. It does nothing: discovery notifies instances that have not
// subscribed too.
func (p *policyHost) Subscribe() {}

// Timer implements balancer.Host.
func (p *policyHost) Timer(at time.Duration) {
	in := (*instance)(p)
	in.sim.schedule(&in.eventSource, at-balancerEpoch, in, in.incarnation)
}

// Log implements balancer.Host.
func (p *policyHost) Log(e balancer.LogEvent) {
	in := (*instance)(p)
	in.sim.log(in.sim.now, in.name, e.String())
}
