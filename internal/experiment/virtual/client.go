package virtual

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment/counters"
	"rowancart/internal/experiment/invariant"
	"rowancart/internal/experiment/traffic"
)

// clientRequest is something that a client wants, with its retries.
type clientRequest struct {
	*traffic.Request
	sim      *simulation
	index    int // place in the list
	attempts int
	current  *call  // the attempt that is on
	timeout  *event // its end
}

func sortCalls(calls []*call) {
	slices.SortFunc(calls, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
}

// startClient begins what a client wants. The front deals clients out among the instances that it knows to be up.
func (s *simulation) startClient(now time.Duration, n int, r *traffic.Request) {
	s.sendAttempt(now, &clientRequest{Request: r, sim: s, index: n})
}

func (s *simulation) pickInstance(v *clientRequest) *instance {
	start := int((v.Seed + uint64(v.attempts)) % uint64(len(s.frontInstances)))
	for i := range s.frontInstances {
		if in := s.frontInstances[(start+i)%len(s.frontInstances)]; !in.down {
			return in
		}
	}
	return s.frontInstances[start]
}

func (s *simulation) sendAttempt(now time.Duration, v *clientRequest) {
	class := &s.e.Site.Classes[v.Class]
	in := s.pickInstance(v)
	v.attempts++
	n := v.attempts
	deadline := min(now+v.Patience, v.At+class.Deadline)
	var id [24]byte
	text := strconv.AppendInt(append(strconv.AppendInt(id[:0], int64(v.index), 10), '-'), int64(n), 10)
	c := &call{id: string(text), class: v.Class, tenant: v.Tenant, work: v.Work, deadline: deadline, clientRetry: n > 1, instance: in, origin: v}
	v.current = c
	clients := &in.eventSource
	s.schedule(clients, now+s.networkDelay(), c, callArrives)
	if v.DisconnectsAfter > 0 && n == 1 {
		s.scheduleFunc(clients, max(v.At+v.DisconnectsAfter, now+2*s.e.Site.NetworkDelay), func(now time.Duration) {
			if v.current == c {
				v.current = nil
				s.cancel(v.timeout)
				in.clientLeft(now, c)
			}
		})
	}
	// The client's own clock ends the attempt. What the instance still owes it, the checker watches.
	v.timeout = s.scheduleCancelable(clients, deadline+s.e.Site.Rules.ResponseSlack, c, clientTimesOut)
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

// attemptEnded takes the end of one attempt: the request's end, or a retry where the client may ask again.
func (s *simulation) attemptEnded(now time.Duration, v *clientRequest, f invariant.Outcome, retryAfter time.Duration) {
	class := &s.e.Site.Classes[v.Class]
	took := now - v.At
	v.current = nil
	if f == invariant.Served {
		fate := counters.ServedInTime
		if took > class.LatencyObjective {
			fate = counters.ServedLate
		}
		s.counters.Record(*class, v.Class, v.Tenant, v.At, took, fate)
		return
	}
	harmless := class.Repeat == balancer.Idempotent || f == invariant.Rejected || retryAfter == retryAfterUnreachable
	wait := s.e.Load.Clients.RetryWait << (v.attempts - 1)
	if s.e.Load.Clients.HonorRetryAfter {
		wait = max(wait, retryAfter)
	}
	if harmless && v.attempts <= s.e.Load.Clients.Retries && now+wait < v.At+class.Deadline {
		s.scheduleFunc(&s.eventSource, now+wait, func(now time.Duration) { s.sendAttempt(now, v) })
		return
	}
	fate := counters.Failed
	if f == invariant.Rejected {
		fate = counters.Rejected
	}
	s.counters.Record(*class, v.Class, v.Tenant, v.At, took, fate)
}
