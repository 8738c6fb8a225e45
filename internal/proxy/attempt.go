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

// newAttempt adds an attempt to a call. p.mu must be held.
func (p *Pool) newAttempt(c *Call, endpoint string, timeout time.Duration) *attempt {
	now := p.clock.now()
	a := &attempt{call: c, number: len(c.attempts), endpoint: endpoint, sentAt: now}
	a.control.ClientDisconnected = c.ClientDisconnected
	a.control.Deadline = time.Now().Add(min(timeout, c.Deadline-now))
	if retryBy := p.balancer.RetryDeadline(c.ID); retryBy > 0 {
		a.control.WriteBy = time.Now().Add(retryBy - now)
	}
	if c.Streamed {
		a.control.OnRequestWritten = func() {
			p.handleEvent(func(now time.Duration) { p.reportRequestWritten(now, a) })
		}
	}
	c.attempts = append(c.attempts, a)
	c.attemptsInFlight++
	return a
}

// runInlineAttempt makes an attempt in the goroutine of Do, which can make the next one after it.
func (p *Pool) runInlineAttempt(a *attempt) {
	response, err := p.conns.RoundTrip(&a.control, a.endpoint, a.call.message)
	p.handleEvent(func(now time.Duration) {
		if p.cancelAllowed && !a.call.finished {
			a.call.canRunInline = true
		}
		p.endAttempt(now, a, response, err)
	})
}

// runAttempt makes an attempt in a goroutine that is not in Do.
func (p *Pool) runAttempt(a *attempt) {
	response, err := p.conns.RoundTrip(&a.control, a.endpoint, a.call.message)
	p.handleEvent(func(now time.Duration) { p.endAttempt(now, a, response, err) })
}

// runAbandonedAttempt runs an attempt that was passed to the goroutine in Do just before the call
// got its result. It ends as canceled, and is reported like any other.
func (p *Pool) runAbandonedAttempt(c *Call) {
	select {
	case a := <-c.inlineAttempts:
		go p.runAttempt(a)
	default:
	}
}

// endAttempt handles what RoundTrip has returned for an attempt. p.mu must be held.
func (p *Pool) endAttempt(now time.Duration, a *attempt, response Response, err error) {
	result := attemptResult(err)
	if result == balancer.NotSent && a.clientDisconnected() {
		p.handleClientDisconnect(now, a.call) // otherwise the Balancer would send the request to another endpoint
	}
	if response.Stream != nil {
		p.startStream(now, a, response)
		return
	}
	p.reportOutcome(now, a, result, response)
}

// clientDisconnected reports whether the client is known to have disconnected.
func (a *attempt) clientDisconnected() bool {
	return a.control.ClientDisconnected != nil && a.control.ClientDisconnected()
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
	return balancer.Reset // unreachable: connpool returns no other error. Reset assumes that the request may have run
}

// provesNotRun reports whether a result proves that the request has not run.
func provesNotRun(r balancer.Result) bool {
	return r == balancer.Rejected || r == balancer.ConnectFailed || r == balancer.NotSent
}

// startStream passes on a response that is still arriving. The attempt ends with it. p.mu must be
// held.
func (p *Pool) startStream(now time.Duration, a *attempt, response Response) {
	c := a.call
	if c.finished { // nobody will read it
		response.Stream.Discard()
		p.deferred.push(func(now time.Duration) { p.reportOutcome(now, a, balancer.Canceled, Response{}) })
		return
	}
	response.Stream.NotifyClose(func(err error) {
		p.handleEvent(func(now time.Duration) { p.reportOutcome(now, a, attemptResult(err), Response{}) })
	})
	p.finishCall(c, Result{Kind: Served, Response: response})
	p.events.StreamStarted(now, c.ID, a.number)
}

// reportOutcome reports how an attempt ended to the Balancer. A complete response is passed on
// first; one that arrives after the call has its result is dropped. p.mu must be held.
func (p *Pool) reportOutcome(now time.Duration, a *attempt, r balancer.Result, response Response) {
	c := a.call
	c.attemptsInFlight--
	if r == balancer.OK {
		p.finishCall(c, Result{Kind: Served, Response: response})
	}
	if !c.finished && c.message.BodyConsumed() { // no other attempt is possible, whatever the Balancer decides
		p.finishNotReplayable(c, r)
	}
	p.events.Outcome(now, balancer.Outcome{
		ID: c.ID, Attempt: a.number, Endpoint: a.endpoint, Result: r, Latency: now - a.sentAt, Final: c.finished,
	})
	p.removeIfDone(c)
}

// finishNotReplayable finishes a call whose attempt failed with this result and whose body cannot
// be sent again. p.mu must be held.
func (p *Pool) finishNotReplayable(c *Call, r balancer.Result) {
	kind := Failed
	if provesNotRun(r) {
		kind = Rejected
	}
	p.finishUnserved(c.ID, Result{Kind: kind, Reason: BodyNotReplayable})
}

// reportRequestWritten reports that a request with a long body has been written completely: its
// latency counts from here. p.mu must be held.
func (p *Pool) reportRequestWritten(now time.Duration, a *attempt) {
	a.sentAt = now
	p.balancer.RequestWritten(now, a.call.ID, a.number)
}
