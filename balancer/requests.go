package balancer

// The requests and attempts in flight. This file makes no load-balancing decisions.

import (
	"slices"
	"time"
)

// attempt is an attempt of a request, started by one Host.Send.
type attempt struct {
	endpoint          *endpoint
	startedAt         time.Duration // instant of Host.Send
	sentAt            time.Duration // the same; for a streamed request, the instant of RequestWritten
	stragglingAt      time.Duration // instant of the next check for straggling
	inFlight          bool          // has no outcome yet
	unwritten         bool          // of a streamed request: the host has not reported RequestWritten
	mayHaveRun        bool          // has ended, and the request may have run
	trial             bool          // its endpoint was inactive when it was sent
	straggling        bool          // was found to be straggling
	streaming         bool          // its response is being streamed to the client
	countsTowardLimit bool          // the endpoint has the whole request and has not begun to respond
}

// isPendingTrial reports whether the attempt is a trial whose endpoint is still inactive.
func (a *attempt) isPendingTrial() bool { return a.trial && !a.endpoint.active }

// request is a request with its class and its attempts.
type request struct {
	Request
	class           *class
	arrivedAt       time.Duration
	giveUpAt        time.Duration // a response after this instant would reach the client too late
	attempts        []attempt
	answered        bool          // the client has its final answer, or has disconnected
	queued          bool          // is waiting in Balancer.queue
	hedgeAt         time.Duration // instant at which a hedged request is due; 0: none is
	hedging         bool          // a hedged request is being sent right now
	hedged          bool          // a hedged request was sent
	unansweredIndex int           // its index in requestSet.unanswered, until answered
}

// isRetry reports whether the next attempt of the request will not be its first.
func (r *request) isRetry() bool { return len(r.attempts) > 0 }

// attemptTimeout returns the timeout of an attempt that is sent at now.
func (r *request) attemptTimeout(now time.Duration) time.Duration {
	timeout := r.Deadline - now
	if limit := r.class.AttemptTimeout; limit > 0 {
		timeout = min(timeout, limit)
	}
	return max(timeout, time.Microsecond)
}

// isBeingWritten reports whether an attempt of a streamed request is in flight that has not been
// written completely.
func (r *request) isBeingWritten() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.inFlight && a.unwritten })
}

// attemptInFlight returns attempt n if it is in flight, otherwise nil. The request may be nil.
func (r *request) attemptInFlight(n int) *attempt {
	if r == nil || n < 0 || n >= len(r.attempts) || !r.attempts[n].inFlight {
		return nil
	}
	return &r.attempts[n]
}

// inFlight returns the number of attempts in flight.
func (r *request) inFlight() int {
	n := 0
	for i := range r.attempts {
		if r.attempts[i].inFlight {
			n++
		}
	}
	return n
}

// wasSentTo reports whether any attempt was sent to the endpoint.
func (r *request) wasSentTo(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e })
}

// requestSet contains the requests that have no final answer or have an attempt in flight.
type requestSet struct {
	requests   map[string]*request
	unanswered []*request // requests without a final answer, in no particular order
}

// newRequestSet returns an empty set.
func newRequestSet() requestSet { return requestSet{requests: map[string]*request{}} }

// openRequest adds a new request.
func (s *requestSet) openRequest(req *request) {
	req.unansweredIndex = len(s.unanswered)
	s.requests[req.ID] = req
	s.unanswered = append(s.unanswered, req)
}

// closeRequest marks a request as answered. If canceling is allowed, it cancels the attempts in
// flight, except for one whose response is being streamed. It removes the request once no attempt
// is in flight.
func (b *Balancer) closeRequest(req *request) {
	if !req.answered {
		req.answered = true
		req.queued = false
		b.removeUnanswered(req)
		for i := range req.attempts {
			if a := &req.attempts[i]; a.inFlight && !a.streaming && b.settings.CancelAllowed {
				b.host.Cancel(req.ID, i)
			}
		}
	}
	if req.inFlight() == 0 {
		delete(b.requests, req.ID)
	}
}

// removeUnanswered removes a request from unanswered and moves the last request to its index.
func (s *requestSet) removeUnanswered(req *request) {
	last := len(s.unanswered) - 1
	moved := s.unanswered[last]
	s.unanswered[req.unansweredIndex] = moved
	moved.unansweredIndex = req.unansweredIndex
	s.unanswered[last] = nil
	s.unanswered = s.unanswered[:last]
}
