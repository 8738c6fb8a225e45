package proxy

import (
	"time"

	"rowancart/balancer"
)

// ResultKind is what the final answer to a call is.
type ResultKind int

// The kinds. Only Refused and Duplicate promise that the call has not run.
const (
	Served    ResultKind = iota // an endpoint's whole answer
	Rejected                    // turned away; trying again is harmless
	Failed                      // nothing is promised
	Duplicate                   // its id is or was in use
)

// BodyNotReplayable is why a request is not served whose attempt failed after more of its body had gone out than is kept. The module's
// reasons stand beside it.
const BodyNotReplayable balancer.Reason = "body_gone"

// Result is the final answer to a call.
type Result struct {
	Kind       ResultKind
	Reason     balancer.Reason // for Refused and Failed; empty where the caller has left or the engine has ended
	RetryAfter time.Duration   // for Refused; 0: no advice
	Response   Response        // for Served
}

// Call is a request that a front has taken. NewCall makes one.
type Call struct {
	balancer.Request
	ClientGone     func() bool // tells whether the caller has left; nil: nobody knows. It must not block
	message        *RequestMessage
	results        chan Result   // takes the one final answer without blocking
	inlineAttempts chan *attempt // takes an attempt for the goroutine that waits in Do

	// Engine.mu guards these:
	finished         bool // answered, or the caller has left
	canRunInline     bool // Do waits and can make an attempt by itself
	attempts         []*attempt
	attemptsInFlight int // attempts out
}

// NewCall makes a call of a request, as the module is to see it, and of the message that endpoints are to get.
func NewCall(r balancer.Request, m *RequestMessage) *Call {
	return &Call{Request: r, message: m, results: make(chan Result, 1), inlineAttempts: make(chan *attempt, 1)}
}

// failureLogInterval is the time between two log lines about requests that were not served for one reason.
const failureLogInterval = 10 * time.Second

// failureLog follows requests that were not served for one reason.
type failureLog struct {
	count    int           // the latest line
	loggedAt time.Duration // at
}

// Do serves a call and gives the one final answer: Failed where the caller has left or the engine has ended, when none is
// owed any more.
func (p *Pool) Do(c *Call) Result {
	p.handleEvent(func(now time.Duration) { p.startCall(now, c) })
	for {
		select {
		case r := <-c.results: // an answer comes before any more work
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

// ClientLeft reports that the caller of a request that is being served has gone.
func (p *Pool) ClientLeft(c *Call) {
	p.handleEvent(func(now time.Duration) { p.handleClientLeft(now, c) })
}

// startCall takes a request. One whose id is or was in use is turned away: every request of a caller's own has a new one,
// and a repeat must neither disturb the first nor reach an endpoint.
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

// handleClientLeft reports that the caller of a request has gone.
func (p *Pool) handleClientLeft(now time.Duration, c *Call) {
	if p.calls[c.ID] == c && !c.finished {
		p.setResult(c, Result{Kind: Failed})
		p.events.ClientLeft(now, c.ID)
		p.removeIfDone(c)
	}
}

// setResult makes a call over, with its one final answer. What of its attempts has not gone out stays here.
func (p *Pool) setResult(c *Call, r Result) {
	c.finished, c.canRunInline = true, false
	c.results <- r
	for _, a := range c.attempts {
		a.CancelUnlessWritten()
	}
}

// finishCall gives the final answer, once.
func (p *Pool) finishCall(c *Call, r Result) {
	if c == nil || c.finished {
		return
	}
	p.setResult(c, r)
	p.removeIfDone(c)
}

// removeIfDone drops a call of which nothing is to come any more: no attempt is out, and Send makes none for a call that is not
// known.
func (p *Pool) removeIfDone(c *Call) {
	if c.finished && c.attemptsInFlight == 0 && p.calls[c.ID] == c {
		delete(p.calls, c.ID)
		if c.message.Release != nil {
			c.message.Release()
		}
	}
}

// finishUnserved gives a final answer that is not an endpoint's, and says so now and then: lines must not come as fast as requests.
func (h host) finishUnserved(id string, r Result) {
	c := h.calls[id]
	if c == nil || c.finished {
		return
	}
	u := h.failureLogs[r.Reason]
	if u == nil {
		u = &failureLog{}
		h.failureLogs[r.Reason] = u
	}
	u.count++
	if now := h.clock.now(); u.loggedAt == 0 || now-u.loggedAt >= failureLogInterval {
		h.log.Warn("not served", "why", string(r.Reason), "requests", u.count, "latest", id)
		u.count, u.loggedAt = 0, now
	}
	h.finishCall(c, r)
}
