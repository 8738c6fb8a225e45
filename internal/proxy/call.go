package proxy

import (
	"time"

	"rowancart/balancer"
)

// ResultKind says how a call ended.
type ResultKind int

// The kinds of results. Only Rejected and Duplicate guarantee that this call has not made any
// endpoint run the request.
const (
	Served    ResultKind = iota // an endpoint has served the request, see Response
	Rejected                    // the request has not run and may be sent again
	Failed                      // the request was not served, but may have run
	Duplicate                   // a request with this id is in progress or was received recently
)

// BodyNotReplayable is the reason for not serving a request whose attempt failed after more of its
// body had been read than is buffered, so that it cannot be retried. The Balancer's own reasons are
// in package balancer.
const BodyNotReplayable balancer.Reason = "body_gone"

// Result is the result of a call. Each call has exactly one.
type Result struct {
	Kind       ResultKind
	Reason     balancer.Reason // if Rejected or Failed; empty if the client disconnected or the Pool was closed
	RetryAfter time.Duration   // if Rejected: after which the client should retry; 0: unspecified
	Response   Response        // if Served
}

// Call is a client's request that a Pool forwards to endpoints, in one or more attempts. NewCall
// returns one.
//
// A call is in progress from startCall until it has its result and none of its attempts is in
// flight. The caller of Do releases the body once Do has returned; attempts that still write it
// hold leases.
type Call struct {
	balancer.Request

	// ClientDisconnected reports whether the client has disconnected. It must not block. It is nil
	// if that cannot be determined.
	ClientDisconnected func() bool

	message        *RequestMessage
	results        chan Result   // receives the only result; has capacity 1, so that sending never blocks
	inlineAttempts chan *attempt // passes attempts to the goroutine in Do; has capacity 1

	// The following fields are guarded by Pool.mu.
	timeLimit        time.Duration // instant by which the call ends, even if its client still sends
	finished         bool          // the call has its result
	mayHaveRun       bool          // an attempt has ended that does not prove that the request has not run
	canRunInline     bool          // Do is waiting and attempts can be canceled, so Do may run one at once
	attempts         []*attempt
	attemptsInFlight int
}

// NewCall returns a call. r describes the request to the Balancer, and m is the message that is
// sent to endpoints.
func NewCall(r balancer.Request, m *RequestMessage) *Call {
	return &Call{Request: r, message: m, results: make(chan Result, 1), inlineAttempts: make(chan *attempt, 1)}
}

// Do executes a call and returns its result. The result is Failed if the client disconnects or the
// Pool is closed, since nobody waits for a response then.
func (p *Pool) Do(c *Call) Result {
	p.handleEvent(func(now time.Duration) { p.startCall(now, c) })
	for {
		select {
		case r := <-c.results: // checked first: a result takes precedence over another attempt
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

// startCall passes a call to the Balancer. If a request with the same id is in progress or was
// received recently, the result is Duplicate instead: every request has a unique id, and a
// duplicate must neither interfere with the first request nor reach an endpoint. p.mu must be held.
func (p *Pool) startCall(now time.Duration, c *Call) {
	if !p.calls.add(c) {
		c.results <- Result{Kind: Duplicate}
		return
	}
	c.timeLimit = c.Deadline
	c.Deadline = p.currentDeadline(now, c)
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

// finishCall sets the result of a call unless it already has one. p.mu must be held.
func (p *Pool) finishCall(c *Call, r Result) {
	if c.finished {
		return
	}
	p.setResult(c, r)
	p.removeIfDone(c)
}

// finishUnserved finishes a call that no endpoint has served, and records it in the log of unserved
// requests, unless the call already has a result. p.mu must be held.
func (p *Pool) finishUnserved(id string, r Result) {
	c := p.calls.get(id)
	if c == nil || c.finished {
		return
	}
	p.unserved.record(p.clock.now(), id, r.Reason)
	p.finishCall(c, r)
}

// setResult sets the result of a call that has none yet, and cancels the attempts whose request has
// not been written completely. All results are set here, except Duplicate in startCall and
// the result Failed that Do returns when the Pool is closed. p.mu must be held.
func (p *Pool) setResult(c *Call, r Result) {
	c.finished = true
	c.canRunInline = false
	c.results <- r
	for _, a := range c.attempts {
		a.control.CancelUnlessWritten()
	}
}

// removeIfDone removes a call that has its result and no attempt in flight. No attempt can start
// after that, since Send ignores calls that are not in progress. p.mu must be held.
func (p *Pool) removeIfDone(c *Call) {
	isDone := c.finished && c.attemptsInFlight == 0
	if !isDone || !p.calls.contains(c) {
		return
	}
	p.calls.remove(c)
}
