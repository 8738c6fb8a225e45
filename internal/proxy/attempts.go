package proxy

import (
	"time"

	"rowancart/balancer"
)

// attempt is one Send.
type attempt struct {
	AttemptControl
	call     *Call
	number   int
	endpoint string
	sentAt   time.Duration
}

// runAbandonedAttempt sees to an attempt that was handed over just before the caller left.
func (p *Pool) runAbandonedAttempt(c *Call) {
	select {
	case a := <-c.inlineAttempts:
		go p.runAttempt(a, false)
	default:
	}
}

// runAttempt makes an attempt and reports how it ended. Inline tells that the goroutine in Do does so, and can make the next one.
func (p *Pool) runAttempt(a *attempt, inline bool) {
	result, answer := p.conns.RoundTrip(&a.AttemptControl, a.endpoint, a.call.message)
	p.handleEvent(func(now time.Duration) {
		a.call.canRunInline = a.call.canRunInline || inline && p.cancelAllowed && !a.call.finished
		if result == balancer.NotSent && a.ClientGone != nil && a.ClientGone() { // then it goes nowhere else either
			p.handleClientLeft(now, a.call)
		}
		if answer.Stream != nil {
			p.startStream(now, a, answer)
			return
		}
		p.reportOutcome(now, a, result, answer)
	})
}

// startStream passes an answer on that is still coming. The attempt ends with it.
func (p *Pool) startStream(now time.Duration, a *attempt, answer Response) {
	c := a.call
	if c.finished { // nobody is there to read it
		answer.Stream.Cancel()
		p.deferredEvents = append(p.deferredEvents, func(now time.Duration) { p.reportOutcome(now, a, balancer.Canceled, Response{}) })
		p.conns.closeConn(answer.Stream.conn)
		return
	}
	answer.Stream.onClose = func(r balancer.Result) {
		p.handleEvent(func(now time.Duration) { p.reportOutcome(now, a, r, Response{}) })
	}
	p.finishCall(c, Result{Kind: Served, Response: answer})
	p.events.StreamStarted(now, c.ID, a.number)
}

// reportOutcome tells the module how an attempt ended. A whole answer is passed on at once; one that comes too late is dropped.
func (p *Pool) reportOutcome(now time.Duration, a *attempt, r balancer.Result, answer Response) {
	c := a.call
	c.attemptsInFlight--
	o := balancer.Outcome{ID: c.ID, Attempt: a.number, Endpoint: a.endpoint, Result: r, Latency: now - a.sentAt, Final: c.finished}
	if r == balancer.OK && !c.finished {
		o.Final = true
		p.finishCall(c, Result{Kind: Served, Response: answer})
	}
	if !c.finished && c.message.bodyConsumed() { // no other attempt is possible, whatever the module would say
		kind := Failed
		if r == balancer.Rejected || r == balancer.ConnectFailed || r == balancer.NotSent {
			kind = Rejected
		}
		o.Final = true
		host{p}.finishUnserved(c.ID, Result{Kind: kind, Reason: BodyNotReplayable})
	}
	p.events.Outcome(now, o)
	p.removeIfDone(c)
}

// reportRequestWritten reports that a long request has been written whole.
func (p *Pool) reportRequestWritten(now time.Duration, a *attempt) {
	a.sentAt = now
	p.balancer.RequestWritten(now, a.call.ID, a.number)
}
