package balancer

// The requests and attempts in flight. No decision is made in this file.

import (
	"slices"
	"time"
)

// attempt is one Host.Send.
type attempt struct {
	endpoint      *endpoint
	startedAt     time.Duration // Host.Send
	sentAt        time.Duration // the same, or when a streamed request was written
	stragglingAt  time.Duration // when it counts as straggling
	inFlight      bool          // no outcome yet
	mayHaveRun    bool          // it ended, and the request may have run
	trial         bool          // its endpoint was not active
	straggling    bool          // has been in flight for longer than expected
	streaming     bool          // its response is being streamed to the client
	countsToLimit bool          // its endpoint has all of the request, and has not begun to respond
}

// isPendingTrial reports whether the attempt is a trial whose endpoint is still inactive.
func (a *attempt) isPendingTrial() bool { return a.trial && !a.endpoint.active }

// request is a request with its attempts.
type request struct {
	Request
	class           *class
	arrivedAt       time.Duration
	giveUpAt        time.Duration // a response after this is of no use
	attempts        []attempt
	answered        bool          // has its final answer
	queued          bool          // waits for capacity
	hedgeAt         time.Duration // a hedged request is due; 0: none is
	hedging         bool          // one is being sent
	hedged          bool          // one was sent
	unansweredIndex int           // in Balancer.unanswered
}

// isRetry reports whether the next attempt of the request is not its first.
func (r *request) isRetry() bool { return len(r.attempts) > 0 }

// attemptTimeout returns how long an attempt that is sent now may take.
func (r *request) attemptTimeout(now time.Duration) time.Duration {
	timeout := r.Deadline - now
	if limit := r.class.AttemptTimeout; limit > 0 {
		timeout = min(timeout, limit)
	}
	return max(timeout, time.Microsecond)
}

// attemptInFlight returns attempt n if it is in flight, else nil. The request may be nil.
func (r *request) attemptInFlight(n int) *attempt {
	if r == nil || n < 0 || n >= len(r.attempts) || !r.attempts[n].inFlight {
		return nil
	}
	return &r.attempts[n]
}

// inFlight counts the attempts in flight.
func (r *request) inFlight() int {
	n := 0
	for i := range r.attempts {
		if r.attempts[i].inFlight {
			n++
		}
	}
	return n
}

// wasSentTo reports whether an attempt went to the endpoint.
func (r *request) wasSentTo(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e })
}

// requestSet is the requests without a final answer, or with an attempt in flight.
type requestSet struct {
	requests   map[string]*request
	unanswered []*request // without a final answer, in no order
}

// newRequestSet returns an empty set.
func newRequestSet() requestSet { return requestSet{requests: map[string]*request{}} }

// openRequest records a new request.
func (s *requestSet) openRequest(req *request) {
	req.unansweredIndex = len(s.unanswered)
	s.requests[req.ID] = req
	s.unanswered = append(s.unanswered, req)
}

// closeRequest marks a request as answered and cancels its attempts in flight, except for one that
// streams. It forgets the request once none is in
// flight.
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

// removeUnanswered removes a request from the unanswered ones. The last one gets its index.
func (s *requestSet) removeUnanswered(req *request) {
	last := len(s.unanswered) - 1
	moved := s.unanswered[last]
	s.unanswered[req.unansweredIndex] = moved
	moved.unansweredIndex = req.unansweredIndex
	s.unanswered[last] = nil
	s.unanswered = s.unanswered[:last]
}
