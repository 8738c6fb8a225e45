package proxy

import (
	"time"

	"rowancart/balancer"
)

// ResultKind is the kind of a call's result.
type ResultKind int

// The kinds. Only Rejected and Duplicate promise that the request has not run for this call.
const (
	Served    ResultKind = iota // an endpoint's response
	Rejected                    // the request has not run and may be sent again
	Failed                      // the request may have run
	Duplicate                   // the request's id is or was in use
)

// BodyNotReplayable is the reason for a request that is not served since its attempt failed after
// more of its body had been sent than is buffered. It complements the Balancer's reasons.
const BodyNotReplayable balancer.Reason = "body_gone"

// Result is the one result of a call.
type Result struct {
	Kind       ResultKind
	Reason     balancer.Reason // for Rejected and Failed; empty if the client disconnected or the Pool was closed
	RetryAfter time.Duration   // for Rejected; 0: no advice
	Response   Response        // for Served
}

// Call is a request that a server has read, on its way through a Pool. NewCall makes one.
//
// It is in progress from startCall until it has its result and none of its attempts is in flight:
// only then may the buffers of its body be reused.
type Call struct {
	balancer.Request

	// ClientDisconnected reports whether the client has disconnected; nil: unknown. It must not
	// block.
	ClientDisconnected func() bool

	message        *RequestMessage
	results        chan Result   // of capacity 1: sending the one result never blocks
	inlineAttempts chan *attempt // of capacity 1: passes an attempt to the goroutine in Do

	// Pool.mu guards these:
	finished         bool // has its result
	canRunInline     bool // the goroutine in Do waits and may make an attempt, which can be canceled when a result is due
	attempts         []*attempt
	attemptsInFlight int
}

// NewCall returns a call of a request as the Balancer sees it and of the message that endpoints
// get.
func NewCall(r balancer.Request, m *RequestMessage) *Call {
	return &Call{Request: r, message: m, results: make(chan Result, 1), inlineAttempts: make(chan *attempt, 1)}
}

// Do carries out a call and returns its result: Failed if the client disconnected or the Pool was
// closed, when nobody waits for a result any more.
func (p *Pool) Do(c *Call) Result {
	p.handleEvent(func(now time.Duration) { p.startCall(now, c) })
	for {
		select {
		case r := <-c.results: // a result takes precedence over another attempt
			p.runAbandonedAttempt(c)
			return r
		default:
		}
		select {
		case r := <-c.results:
			p.runAbandonedAttempt(c)
			return r
		case a := <-c.inlineAttempts:
			p.runInlineAttempt(a)
		case <-p.done:
			return Result{Kind: Failed}
		}
	}
}

// ClientDisconnected reports that the client of a call in Do has disconnected.
func (p *Pool) ClientDisconnected(c *Call) {
	p.handleEvent(func(now time.Duration) { p.handleClientDisconnect(now, c) })
}

// startCall passes a call to the Balancer. A call whose id is or was in use gets Duplicate: every
// request has an id of its own, and a duplicate must neither disturb the first request nor reach an
// endpoint. p.mu must be held.
func (p *Pool) startCall(now time.Duration, c *Call) {
	if !p.calls.add(c) {
		c.results <- Result{Kind: Duplicate}
		return
	}
	if p.finalDeadline > 0 {
		c.Deadline = min(c.Deadline, p.finalDeadline)
	}
	c.canRunInline = p.cancelAllowed
	p.events.Request(now, c.Request)
}

// handleClientDisconnect finishes a call whose client has disconnected. p.mu must be held.
func (p *Pool) handleClientDisconnect(now time.Duration, c *Call) {
	if c.finished || !p.calls.contains(c) {
		return
	}
	p.setResult(c, Result{Kind: Failed})
	p.events.ClientDisconnected(now, c.ID)
	p.removeIfDone(c)
}

// finishCall sets the result of a call unless it has one. p.mu must be held.
func (p *Pool) finishCall(c *Call, r Result) {
	if c.finished {
		return
	}
	p.setResult(c, r)
	p.removeIfDone(c)
}

// finishUnserved sets a result that is not an endpoint's response, and logs it, unless the call has
// a result. p.mu must be held.
func (p *Pool) finishUnserved(id string, r Result) {
	c := p.calls.get(id)
	if c == nil || c.finished {
		return
	}
	p.unserved.record(p.clock.now(), id, r.Reason)
	p.finishCall(c, r)
}

// setResult sets the result of a call, which must not have one. It is the only place that does so.
// Attempts whose request has not been written completely are canceled. p.mu must be held.
func (p *Pool) setResult(c *Call, r Result) {
	c.finished = true
	c.canRunInline = false
	c.results <- r
	for _, a := range c.attempts {
		a.control.CancelUnlessWritten()
	}
}

// removeIfDone removes a call that has its result and no attempt in flight. No attempt can follow:
// Send makes none for a call that is not in progress. p.mu must be held.
func (p *Pool) removeIfDone(c *Call) {
	isDone := c.finished && c.attemptsInFlight == 0
	if !isDone || !p.calls.contains(c) {
		return
	}
	p.calls.remove(c)
	if c.message.Release != nil {
		c.message.Release()
	}
}
