package virtual

import (
	"strconv"
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment/counters"
	"rowancart/internal/experiment/invariant"
	"rowancart/internal/experiment/traffic"
)

// clientRequest is a client's request with its retries.
type clientRequest struct {
	*traffic.Request
	sim      *simulation
	index    int    // in the list of all requests
	attempts int    // sent so far
	current  *call  // the attempt in flight; nil: none
	timeout  *event // ends the wait for current
}

// startClient sends a client's request for the first time.
func (s *simulation) startClient(now time.Duration, index int, request *traffic.Request) {
	s.sendAttempt(now, &clientRequest{Request: request, sim: s, index: index})
}

// pickInstance returns the instance for the next attempt. It prefers instances that are not down.
func (s *simulation) pickInstance(r *clientRequest) *instance {
	start := int((r.Seed + uint64(r.attempts)) % uint64(len(s.frontInstances)))
	for i := range s.frontInstances {
		if in := s.frontInstances[(start+i)%len(s.frontInstances)]; !in.down {
			return in
		}
	}
	return s.frontInstances[start]
}

// sendAttempt sends a client's request, or its retry.
func (s *simulation) sendAttempt(now time.Duration, r *clientRequest) {
	site := &s.experiment.Site
	in := s.pickInstance(r)
	r.attempts++
	deadline := min(now+r.Patience, r.At+site.Classes[r.Class].Deadline)
	c := &call{
		id:          attemptID(r.index, r.attempts),
		class:       r.Class,
		tenant:      r.Tenant,
		work:        r.Work,
		deadline:    deadline,
		clientRetry: r.attempts > 1,
		instance:    in,
		origin:      r,
	}
	r.current = c
	source := &in.eventSource
	s.schedule(source, now+s.networkDelay(), c, callArrives)
	if r.DisconnectsAfter > 0 && r.attempts == 1 {
		s.scheduleFunc(source, max(r.At+r.DisconnectsAfter, now+2*site.NetworkDelay), func(now time.Duration) {
			if r.current == c {
				r.current = nil
				s.cancel(r.timeout)
				in.clientDisconnected(now, c)
			}
		})
	}
	// The client stops waiting ResponseSlack after the deadline. The checker decides separately
	// whether the missing response violates a rule.
	r.timeout = s.scheduleCancelable(source, deadline+site.Rules.ResponseSlack, c, clientTimesOut)
}

// attemptID returns the request ID of a client's attempt. It allocates only once.
func attemptID(index, attempt int) string {
	var buf [24]byte
	id := strconv.AppendInt(buf[:0], int64(index), 10)
	id = strconv.AppendInt(append(id, '-'), int64(attempt), 10)
	return string(id)
}

// callEnded implements callOrigin.
func (r *clientRequest) callEnded(now time.Duration, c *call) {
	if r.current == c {
		r.sim.cancel(r.timeout)
		r.sim.attemptEnded(now, r, c.outcome, c.retryAfter)
	}
}

// callTimedOut implements callOrigin.
func (r *clientRequest) callTimedOut(now time.Duration, c *call) {
	if r.current == c {
		r.sim.attemptEnded(now, r, invariant.Failed, 0)
	}
}

// attemptEnded schedules a retry if the client may send one. Otherwise it records the outcome of
// the request.
func (s *simulation) attemptEnded(now time.Duration, r *clientRequest, outcome invariant.Outcome,
	retryAfter time.Duration) {
	class := &s.experiment.Site.Classes[r.Class]
	clients := &s.experiment.Load.Clients
	r.current = nil
	if outcome == invariant.Served {
		result := counters.ServedInTime
		if now-r.At > class.LatencyObjective {
			result = counters.ServedLate
		}
		s.recordOutcome(now, r, result)
		return
	}
	mayRetry := class.Idempotency == balancer.Idempotent || outcome == invariant.Rejected ||
		retryAfter == retryAfterUnreachable
	wait := clients.RetryWait << (r.attempts - 1)
	if clients.HonorRetryAfter {
		wait = max(wait, retryAfter)
	}
	if mayRetry && r.attempts <= clients.Retries && now+wait < r.At+class.Deadline {
		s.scheduleFunc(&s.eventSource, now+wait, func(now time.Duration) { s.sendAttempt(now, r) })
		return
	}
	result := counters.Failed
	if outcome == invariant.Rejected {
		result = counters.Rejected
	}
	s.recordOutcome(now, r, result)
}

func (s *simulation) recordOutcome(now time.Duration, r *clientRequest, outcome counters.Outcome) {
	s.counters.Record(counters.Request{Class: r.Class, Tenant: r.Tenant, At: r.At, Latency: now - r.At, Outcome: outcome})
}
