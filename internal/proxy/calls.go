package proxy

import (
	"time"

	"rowancart/balancer"
)

// ResultKind is the kind of a call's result.
type ResultKind int

// The kinds. Only Rejected and Duplicate promise that the call has not run.
const (
	Served    ResultKind = iota // an endpoint's response
	Rejected                    // trying again is harmless
	Failed                      // nothing is promised
	Duplicate                   // the call's id is or was in use
)

// BodyNotReplayable is the reason for a request that is not served since its attempt failed after
// more of its body had been sent than is kept. It stands beside the Balancer's reasons.
const BodyNotReplayable balancer.Reason = "body_gone"

// Result is the one result of a call.
type Result struct {
	Kind       ResultKind
	Reason     balancer.Reason // for Rejected and Failed; empty where the client has left or the Pool was closed
	RetryAfter time.Duration   // for Rejected; 0: no advice
	Response   Response        // for Served
}

// Call is a request that a server has read. NewCall makes one.
//
// It is in the Pool's calls from startCall until it has its result and none of its attempts is in
// flight: only then may the buffers of its body be reused.
type Call struct {
	balancer.Request
	ClientGone func() bool // reports whether the client has disconnected; nil: unknown. It must not block

	message        *RequestMessage
	results        chan Result   // of capacity 1: the one result never blocks its sender
	inlineAttempts chan *attempt // of capacity 1: hands an attempt to the goroutine in Do

	// Pool.mu guards these:
	finished         bool // has its result
	canRunInline     bool // the goroutine in Do waits and may run an attempt, which can be canceled when a result is due
	attempts         []*attempt
	attemptsInFlight int
}

// NewCall returns a call of a request as the Balancer sees it and of the message that endpoints
// get.
func NewCall(r balancer.Request, m *RequestMessage) *Call {
	return &Call{Request: r, message: m, results: make(chan Result, 1), inlineAttempts: make(chan *attempt, 1)}
}

// Do carries out a call and returns its result: Failed where the client has left or the Pool was
// closed, when no result is owed any more.
func (p *Pool) Do(c *Call) Result {
	p.handleEvent(func(now time.Duration) { p.startCall(now, c) })
	for {
		select {
		case r := <-c.results: // a result goes before any further attempt
			p.runAbandonedAttempt(c)
			return r
		default:
		}
		select {
		case r := <-c.results:
			p.runAbandonedAttempt(c)
			return r
		case a := <-c.inlineAttempts:
			p.runAttempt(a, true)
		case <-p.done:
			return Result{Kind: Failed}
		}
	}
}

// ClientLeft reports that the client of a call in Do has disconnected.
func (p *Pool) ClientLeft(c *Call) {
	p.handleEvent(func(now time.Duration) { p.handleClientLeft(now, c) })
}

// startCall passes a call on to the Balancer. A call whose id is or was in use is answered with
// Duplicate: every request has an id of its own, and a repeat must neither disturb the first nor
// reach an endpoint. p.mu must be held.
func (p *Pool) startCall(now time.Duration, c *Call) {
	if !p.recentIDs.add(c.ID) || p.calls[c.ID] != nil {
		c.results <- Result{Kind: Duplicate}
		return
	}
	if p.finalDeadline > 0 {
		c.Deadline = min(c.Deadline, p.finalDeadline)
	}
	p.calls[c.ID] = c
	c.canRunInline = p.cancelAllowed
	p.events.Request(now, c.Request)
}

// handleClientLeft finishes a call whose client has disconnected. p.mu must be held.
func (p *Pool) handleClientLeft(now time.Duration, c *Call) {
	if p.calls[c.ID] == c && !c.finished {
		p.setResult(c, Result{Kind: Failed})
		p.events.ClientDisconnected(now, c.ID)
		p.removeIfDone(c)
	}
}

// finishCall sets the result of a call that has none yet. p.mu must be held.
func (p *Pool) finishCall(c *Call, r Result) {
	if c == nil || c.finished {
		return
	}
	p.setResult(c, r)
	p.removeIfDone(c)
}

// setResult sets the result of a call, which must not have one. It is the only place that does so.
// Attempts whose request has not been written completely are canceled. p.mu must be held.
func (p *Pool) setResult(c *Call, r Result) {
	c.finished, c.canRunInline = true, false
	c.results <- r
	for _, a := range c.attempts {
		a.control.CancelUnlessWritten()
	}
}

// removeIfDone forgets a call that has its result and no attempt in flight. No attempt can follow:
// Send makes none for a call that is not known. p.mu must be held.
func (p *Pool) removeIfDone(c *Call) {
	if c.finished && c.attemptsInFlight == 0 && p.calls[c.ID] == c {
		delete(p.calls, c.ID)
		if c.message.Release != nil {
			c.message.Release()
		}
	}
}

// finishUnserved sets a result that is no endpoint's response, and logs it. p.mu must be held.
func (p *Pool) finishUnserved(id string, r Result) {
	c := p.calls[id]
	if c == nil || c.finished {
		return
	}
	p.logUnserved(id, r.Reason)
	p.finishCall(c, r)
}

// failureLogInterval is the least time between two log lines about requests that were not served
// for the same reason: lines must not come as fast as requests.
const failureLogInterval = 10 * time.Second

// failureLog counts the requests that were not served for one reason.
type failureLog struct {
	count    int           // since the latest line
	loggedAt time.Duration // when the latest line was written; 0: never
}

// logUnserved logs that a request was not served, unless a line for the same reason was written
// recently. p.mu must be held.
func (p *Pool) logUnserved(id string, why balancer.Reason) {
	l := p.failureLogs[why]
	if l == nil {
		l = &failureLog{}
		p.failureLogs[why] = l
	}
	l.count++
	if now := p.clock.now(); l.loggedAt == 0 || now-l.loggedAt >= failureLogInterval {
		p.log.Warn("not served", "why", string(why), "requests", l.count, "latest", id)
		l.count, l.loggedAt = 0, now
	}
}
