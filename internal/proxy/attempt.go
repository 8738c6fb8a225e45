package proxy

import (
	"errors"
	"time"

	"rowancart/balancer"
	"rowancart/internal/connpool"
)

// attempt is one attempt of a call. host.Send creates it. It is in flight until
// its outcome is reported to the Balancer, which happens exactly once.
type attempt struct {
	control   connpool.Attempt
	call      *Call
	number    int // within the call, starting at 0
	endpoint  string
	startedAt time.Duration // when Send was called
	sentAt    time.Duration // when Send was called or a streamed request was fully written; guarded by Pool.mu
}

// newAttempt creates the next attempt of a call. p.mu must be held.
func (p *Pool) newAttempt(c *Call, endpoint string, timeout time.Duration) *attempt {
	now := p.clock.now()
	a := &attempt{call: c, number: len(c.attempts), endpoint: endpoint, startedAt: now, sentAt: now}
	a.control.ClientDisconnected = c.ClientDisconnected
	a.control.Deadline = time.Now().Add(p.attemptTimeLimit(c, timeout))
	if writeBy := p.balancer.RetryDeadline(c.ID); writeBy > 0 {
		a.control.WriteBy = time.Now().Add(writeBy - now)
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

// runInlineAttempt runs an attempt in the goroutine of Do. Afterwards that goroutine can run the
// next attempt of the call.
func (p *Pool) runInlineAttempt(a *attempt) {
	response, err := p.conns.RoundTrip(&a.control, a.endpoint, a.call.message)
	p.handleEvent(func(now time.Duration) {
		if p.cancelAllowed && !a.call.finished {
			a.call.canRunInline = true
		}
		p.endAttempt(now, a, response, err)
	})
}

// runAttempt runs an attempt in a goroutine other than that of Do.
func (p *Pool) runAttempt(a *attempt) {
	response, err := p.conns.RoundTrip(&a.control, a.endpoint, a.call.message)
	p.handleEvent(func(now time.Duration) { p.endAttempt(now, a, response, err) })
}

// runAbandonedAttempt runs the attempt, if any, that was passed to the goroutine in Do just before
// the call got its result. The attempt is already canceled; it is run so that its outcome is
// reported to the Balancer.
func (p *Pool) runAbandonedAttempt(c *Call) {
	select {
	case a := <-c.inlineAttempts:
		go p.runAttempt(a)
	default:
	}
}

// endAttempt handles the response or error that RoundTrip returned for an attempt. p.mu must be
// held.
func (p *Pool) endAttempt(now time.Duration, a *attempt, response Response, err error) {
	result := attemptResult(err)
	if err != nil {
		p.failures.record(now, a, err)
	}
	if result == balancer.NotSent && a.clientDisconnected() {
		p.handleClientDisconnect(now, a.call) // otherwise the Balancer would retry at another endpoint
	}
	if response.Stream != nil {
		p.startStream(now, a, response)
		return
	}
	p.reportOutcome(now, a, result, response)
}

// clientDisconnected reports whether the client has disconnected. It returns false if that is
// unknown.
func (a *attempt) clientDisconnected() bool {
	return a.control.ClientDisconnected != nil && a.control.ClientDisconnected()
}

// resultByKind maps each kind of connpool failure to the result that is reported to the Balancer.
var resultByKind = map[connpool.FailureKind]balancer.Result{
	connpool.NotSent:       balancer.NotSent,
	connpool.ConnectFailed: balancer.ConnectFailed,
	connpool.Declined:      balancer.Rejected,
	connpool.ErrorStatus:   balancer.Errored,
	connpool.TimedOut:      balancer.TimedOut,
	connpool.Reset:         balancer.Reset,
	connpool.Canceled:      balancer.Canceled,
}

// attemptResult returns the result to report to the Balancer for an error that RoundTrip returned
// or that a Stream reported when it was closed.
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
	// Not reached: connpool returns only an *Error of a known kind. Reset is the safe result, since
	// it assumes that the request may have run.
	return balancer.Reset
}

// provesNotRun reports whether a result proves that the endpoint has not run the request.
func provesNotRun(r balancer.Result) bool {
	return r == balancer.Rejected || r == balancer.ConnectFailed || r == balancer.NotSent
}

// startStream finishes the call with a response whose body is still arriving. The attempt stays in
// flight until the stream is closed. p.mu must be held.
func (p *Pool) startStream(now time.Duration, a *attempt, response Response) {
	c := a.call
	if c.finished { // nobody reads the response
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

// reportOutcome reports to the Balancer how an attempt ended. Before that, a complete response
// becomes the result of the call, or is dropped if the call already has a result. p.mu must be
// held.
func (p *Pool) reportOutcome(now time.Duration, a *attempt, r balancer.Result, response Response) {
	c := a.call
	c.attemptsInFlight--
	if r == balancer.OK {
		p.finishCall(c, Result{Kind: Served, Response: response})
	}
	c.mayHaveRun = c.mayHaveRun || !provesNotRun(r)
	p.refreshDeadline(now, c)
	if !c.finished && c.message.Body.Consumed() && c.attemptsInFlight == 0 {
		p.finishNotReplayable(c) // no other attempt is possible, regardless of the Balancer's decision
	}
	p.events.Outcome(now, balancer.Outcome{
		ID: c.ID, Attempt: a.number, Endpoint: a.endpoint, Result: r, Latency: now - a.sentAt, Final: c.finished,
	})
	p.removeIfDone(c)
}

// finishNotReplayable finishes a call whose attempts have failed and whose body cannot be sent
// again. p.mu must be held.
func (p *Pool) finishNotReplayable(c *Call) {
	kind := Rejected
	if c.mayHaveRun {
		kind = Failed
	}
	p.finishUnserved(c.ID, Result{Kind: kind, Reason: BodyNotReplayable})
}

// reportRequestWritten reports to the Balancer that a streamed request has been written completely.
// The latency of the attempt is measured from this instant. p.mu must be held.
func (p *Pool) reportRequestWritten(now time.Duration, a *attempt) {
	a.sentAt = now
	p.balancer.RequestWritten(now, a.call.ID, a.number)
}
