package proxy

import (
	"errors"
	"time"

	"rowancart/balancer"
	"rowancart/internal/connpool"
)

// attempt is one attempt of a call, made by the Balancer's Send. It is in flight until its outcome
// has been reported, which happens exactly once.
type attempt struct {
	control  connpool.Attempt
	call     *Call
	number   int // from 0
	endpoint string
	sentAt   time.Duration // Send, or the end of a long request's writing; Pool.mu guards it
}

// runAttempt makes an attempt and reports how it ended. Inline says that the goroutine in Do makes
// it, which can make the next one after it. No lock is held while the attempt is in flight.
func (p *Pool) runAttempt(a *attempt, inline bool) {
	response, err := p.conns.RoundTrip(&a.control, a.endpoint, a.call.message)
	result := attemptResult(err)
	p.handleEvent(func(now time.Duration) {
		a.call.canRunInline = a.call.canRunInline || inline && p.cancelAllowed && !a.call.finished
		if result == balancer.NotSent && a.control.ClientGone != nil && a.control.ClientGone() {
			p.handleClientLeft(now, a.call) // else the Balancer would send it elsewhere
		}
		if response.Stream != nil {
			p.startStream(now, a, response)
			return
		}
		p.reportOutcome(now, a, result, response)
	})
}

// runAbandonedAttempt runs an attempt that was handed to the goroutine in Do just before the call
// had its result. It ends as canceled, and is reported like any other.
func (p *Pool) runAbandonedAttempt(c *Call) {
	select {
	case a := <-c.inlineAttempts:
		go p.runAttempt(a, false)
	default:
	}
}

// resultByKind maps each kind of failure to the Balancer's result.
var resultByKind = map[connpool.FailureKind]balancer.Result{
	connpool.NotSent:       balancer.NotSent,
	connpool.ConnectFailed: balancer.ConnectFailed,
	connpool.Declined:      balancer.Rejected,
	connpool.ErrorStatus:   balancer.Errored,
	connpool.TimedOut:      balancer.TimedOut,
	connpool.Reset:         balancer.Reset,
	connpool.Canceled:      balancer.Canceled,
}

// attemptResult returns the Balancer's result for an error of RoundTrip or of a Stream's close.
func attemptResult(err error) balancer.Result {
	if err == nil {
		return balancer.OK
	}
	var failure *connpool.Error
	if errors.As(err, &failure) {
		if result, ok := resultByKind[failure.Kind]; ok {
			return result
		}
	}
	return balancer.Reset // does not happen: the result that promises nothing
}

// startStream passes on a response that is still arriving. The attempt ends with it. p.mu must be
// held.
func (p *Pool) startStream(now time.Duration, a *attempt, response Response) {
	c := a.call
	if c.finished { // nobody will read it
		response.Stream.Discard()
		p.deferEvent(func(now time.Duration) { p.reportOutcome(now, a, balancer.Canceled, Response{}) })
		return
	}
	response.Stream.NotifyClose(func(err error) {
		p.handleEvent(func(now time.Duration) { p.reportOutcome(now, a, attemptResult(err), Response{}) })
	})
	p.finishCall(c, Result{Kind: Served, Response: response})
	p.events.StreamStarted(now, c.ID, a.number)
}

// reportOutcome reports how an attempt ended to the Balancer. A complete response is passed on
// first; one that comes too late is dropped. p.mu must be held.
func (p *Pool) reportOutcome(now time.Duration, a *attempt, r balancer.Result, response Response) {
	c := a.call
	c.attemptsInFlight--
	outcome := balancer.Outcome{
		ID: c.ID, Attempt: a.number, Endpoint: a.endpoint, Result: r, Latency: now - a.sentAt, Final: c.finished,
	}
	if r == balancer.OK && !c.finished {
		outcome.Final = true
		p.finishCall(c, Result{Kind: Served, Response: response})
	}
	if !c.finished && c.message.BodyConsumed() { // no other attempt is possible, whatever the Balancer decides
		kind := Failed
		if r == balancer.Rejected || r == balancer.ConnectFailed || r == balancer.NotSent {
			kind = Rejected
		}
		outcome.Final = true
		p.finishUnserved(c.ID, Result{Kind: kind, Reason: BodyNotReplayable})
	}
	p.events.Outcome(now, outcome)
	p.removeIfDone(c)
}

// reportRequestWritten reports that a request with a long body has been written completely: its
// latency counts from here. p.mu must be held.
func (p *Pool) reportRequestWritten(now time.Duration, a *attempt) {
	a.sentAt = now
	p.balancer.RequestWritten(now, a.call.ID, a.number)
}
