package invariant

import (
	"slices"
	"time"

	"rowancart/balancer"
)

// Outcome is the kind of a final response, as its client observed it.
type Outcome int

// The outcomes.
const (
	Served Outcome = iota
	Rejected
	Failed
	Truncated // the response began and is incomplete; this is a failure, but it counts as a response
)

// Request is a request as its client sent it.
type Request struct {
	ID          string
	Instance    string // instance of the program under test that received the request
	Idempotency balancer.Idempotency
	Deadline    time.Duration
	Digest      uint64 // digest of everything that must reach servers unchanged
	MaxAttempts int    // maximum that the class's policy allows; 0: no limit
	NeverRerun  bool   // the class's policy forbids a retry after an attempt that may have run
}

// request is a Request and what has been observed of it.
type request struct {
	Request
	finished       bool    // the final response has arrived, or its absence was recorded as a violation
	outcome        Outcome // valid if finished
	responseWaived bool    // no response is required: the instance was killed, or Waive was called
	executions     []execution
}

// finish sets the outcome of the request.
func (r *request) finish(outcome Outcome) {
	r.finished = true
	r.outcome = outcome
}

// hasResponse reports whether a server made a response with this digest for the request.
func (r *request) hasResponse(digest uint64) bool {
	return slices.ContainsFunc(r.executions, func(e execution) bool {
		return e.responseDigest == digest && e.responseDigest != 0
	})
}

// mayHaveRunBy returns the first execution that may have run, as far as known at an instant, or nil
// if there is none.
func (r *request) mayHaveRunBy(at time.Duration) *execution {
	i := slices.IndexFunc(r.executions, func(e execution) bool { return e.mayHaveRunBy(at) })
	if i < 0 {
		return nil
	}
	return &r.executions[i]
}

// execution is the arrival of a request at a server, which runs it unless it rejects it.
type execution struct {
	server         string
	at             time.Duration
	rejectedAt     time.Duration // 0: not rejected
	responseDigest uint64        // digest of the response that the server made; 0: none
}

// mayHaveRunBy reports whether the server had not yet rejected the request at an instant.
func (e execution) mayHaveRunBy(at time.Duration) bool { return e.rejectedAt == 0 || e.rejectedAt > at }

// mayHaveRun reports whether a server may have run the request.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.executions, func(e execution) bool { return e.rejectedAt == 0 })
}

// retention is the time for which a request is stored after its deadline, so that late duplicates
// are detected.
const retention = 5 * time.Second

// RecordRequest records that an instance has received a request, which means that the last byte was
// written to an accepted connection. It also deletes requests whose retention is over.
func (c *Checker) RecordRequest(now time.Duration, r Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := &request{Request: r}
	c.requests[r.ID] = req
	c.byAge = append(c.byAge, req)
	for len(c.byAge) > 0 && c.byAge[0].Deadline+retention < now {
		c.expire(c.byAge[0])
		delete(c.requests, c.byAge[0].ID)
		c.byAge[0] = nil
		c.byAge = c.byAge[1:]
	}
}

// expire records a violation if a request has no response and requires one. The request's time
// limit must have passed. mu must be held.
func (c *Checker) expire(r *request) {
	if !r.finished && !r.responseWaived {
		r.finish(Failed)
		c.addViolation(RuleResponse, r.Deadline, "request %s at %s was never answered", r.ID, r.Instance)
	}
}

// RecordResponse records a final response. For Served, digest is the digest of its body.
func (c *Checker) RecordResponse(now time.Duration, id string, outcome Outcome, digest uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		c.addViolation(RuleResponse, now, "an answer came for %s, which was not asked", id)
		return
	}
	if r.finished {
		c.addViolation(RuleResponse, now, "request %s at %s was answered twice", id, r.Instance)
		return
	}
	r.finish(outcome)
	if latest := r.Deadline + c.rules.ResponseSlack + c.slack; now > latest && !r.responseWaived {
		c.addViolation(RuleResponse, now, "request %s at %s was answered %v after its deadline", id, r.Instance,
			now-r.Deadline)
	}
	switch outcome {
	case Served:
		if !r.hasResponse(digest) {
			c.addViolation(RuleFabricatedResponse, now, "request %s at %s was served with what no box made for it",
				id, r.Instance)
		}
	case Rejected:
		if r.Idempotency == balancer.NonIdempotent && r.mayHaveRun() {
			c.addViolation(RuleFalseRejection, now, "request %s at %s was refused and may have run", id, r.Instance)
		}
	}
}

// RecordClosedConn records that the program closed a connection without responding to a request
// that the client had written to it. It reports whether the request is lost, which is a violation.
// A request is lost only if the program had read it, that is, if a server has received it.
// Otherwise the program may have closed an idle connection before the request reached it, and the
// client may send the request again.
func (c *Checker) RecordClosedConn(now time.Duration, id string) (lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil || r.finished || r.responseWaived || len(r.executions) == 0 {
		return false
	}
	r.finish(Failed)
	c.addViolation(RuleResponse, now, "request %s at %s was lost: its connection ended without an answer", id,
		r.Instance)
	return true
}

// RecordTimeout records that a client has waited for a response until the deadline and all slack
// had passed.
func (c *Checker) RecordTimeout(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		c.expire(r)
	}
}

// Waive records that a request no longer requires a response, for example because its client has
// disconnected.
func (c *Checker) Waive(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		r.responseWaived = true
	}
}

// RecordKill records that an instance was killed. Its requests no longer require a response, and
// its successor has not been notified of any server's state yet.
func (c *Checker) RecordKill(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.byAge {
		if r.Instance == instance {
			r.responseWaived = true
		}
	}
	for key := range c.drainingSince {
		if key.instance == instance {
			delete(c.drainingSince, key)
		}
	}
	for key := range c.notifiedOfStart {
		if key.instance == instance {
			delete(c.notifiedOfStart, key)
		}
	}
}
