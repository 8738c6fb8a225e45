package invariant

import (
	"slices"
	"time"

	"rowancart/balancer"
)

// Outcome is a final response as its client saw it.
type Outcome int

// The outcomes.
const (
	Served Outcome = iota
	Rejected
	Failed
	Truncated // begun and incomplete: a failure, but a response
)

// Request is a request as its client sent it.
type Request struct {
	ID          string
	Instance    string // of the program under test that received it
	Idempotency balancer.Idempotency
	Deadline    time.Duration
	Digest      uint64 // of all that must reach servers unchanged
	MaxAttempts int    // allowed by the class's policy; 0: no limit
	NeverRerun  bool   // the class's policy forbids a retry after an attempt that may have run
}

// request is a Request and what became of it.
type request struct {
	Request
	finished   bool    // has its final response, or was judged for the lack of one
	outcome    Outcome // if finished
	waived     bool    // no response is due: its instance was killed, or its client disconnected
	executions []execution
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

// mayHaveRunBy returns the first execution that may have run by an instant, nil if there is none.
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
	responseDigest uint64        // of the response that the server made; 0: none
}

// mayHaveRunBy reports whether the execution was not yet rejected at an instant.
func (e execution) mayHaveRunBy(at time.Duration) bool { return e.rejectedAt == 0 || e.rejectedAt > at }

// mayHaveRun reports whether a server may have run the request.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.executions, func(e execution) bool { return e.rejectedAt == 0 })
}

// retention is how long a request is stored after its deadline. Late duplicates arrive within it.
const retention = 5 * time.Second

// RecordRequest records that an instance has received a request: its last byte was written to an
// accepted connection. It deletes requests whose retention is over.
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

// expire judges a request that no response can reach any more. mu must be held.
func (c *Checker) expire(r *request) {
	if !r.finished && !r.waived {
		r.finish(Failed)
		c.addViolation(RuleResponse, r.Deadline, "request %s at %s was never answered", r.ID, r.Instance)
	}
}

// RecordResponse records a final response. Digest is that of the body, for Served.
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
	if latest := r.Deadline + c.rules.ResponseSlack + c.slack; now > latest && !r.waived {
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

// RecordClosedConn records that the program closed a connection without a response to a request
// written to it. It reports whether the request is lost. It is lost only if the program had read
// it, which shows in that a server has received it. Otherwise the request and the close crossed,
// and the client may send the request again.
func (c *Checker) RecordClosedConn(now time.Duration, id string) (lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil || r.finished || r.waived || len(r.executions) == 0 {
		return false
	}
	r.finish(Failed)
	c.addViolation(RuleResponse, now, "request %s at %s was lost: its connection ended without an answer", id,
		r.Instance)
	return true
}

// RecordTimeout records that a client has waited for a response until the deadline and all slack
// were over.
func (c *Checker) RecordTimeout(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		c.expire(r)
	}
}

// Waive records that no response to a request is due any more, because its client has disconnected.
func (c *Checker) Waive(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		r.waived = true
	}
}

// RecordKill records that an instance was killed. No response to its requests is due any more, and
// its successor begins without notifications.
func (c *Checker) RecordKill(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.byAge {
		if r.Instance == instance {
			r.waived = true
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
