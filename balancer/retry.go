package balancer

// Retries: whether and where a request may be sent again, and whether its client may retry it.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// A retry may be exempt from the retry budget after at most this many attempts of its request.
	maxBudgetExemptAttempts = 3

	// minKeyWindowMargin is the shortest time between a retry and the end of its key's window: the
	// host may be delayed for that long between reading its clock and writing the request.
	minKeyWindowMargin = 150 * time.Millisecond
)

// budgetUse says whether an attempt after the first, a retry or a hedged request, needs a token of
// the retry budget.
type budgetUse int

const (
	takesToken budgetUse = iota
	exemptFromBudget
)

// retry sends a request again, or queues it, after its last attempt has failed. If that is not
// allowed, it rejects or fails the request.
func (b *Balancer) retry(now time.Duration, req *request, budget budgetUse) {
	if reason := b.retryDenialReason(now, req, budget); reason != "" {
		b.rejectOrFail(req, reason)
		return
	}
	if budget == takesToken {
		b.retryTokens.takeToken()
	}
	b.dispatch(now, req)
}

// retryDenialReason returns the reason for which a request may not be sent again, or "" if it may:
// no endpoint is ready, the request might take effect twice, or it has reached the limit on
// attempts, budget or time. Without these limits, retries would multiply from tier to tier.
func (b *Balancer) retryDenialReason(now time.Duration, req *request, budget budgetUse) Reason {
	maxAttempts := cmp.Or(req.class.MaxAttempts, b.settings.MaxAttempts)
	switch {
	case b.readyCount == 0:
		return NoEndpoint
	case !b.mayAttemptAnywhere(now, req):
		return MayHaveRun
	case maxAttempts > 0 && len(req.attempts) >= maxAttempts:
		return AttemptsExhausted
	case budget == takesToken && !b.retryTokens.hasToken():
		return RetryBudgetSpent
	case !b.canMeetDeadline(now, req, 1):
		return DeadlineTooClose
	}
	return ""
}

// retryBudgetUse returns whether the retry after an attempt that has just ended needs a token. The
// budget limits the load that retries add to failing endpoints. An attempt that was not sent adds
// none, and a trial while other endpoints are active is the Balancer's own choice: the retry after
// either is exempt, unless the request has had more than maxBudgetExemptAttempts attempts.
func (b *Balancer) retryBudgetUse(req *request, a *attempt, r Result) budgetUse {
	wasNotSent := r == ConnectFailed || r == NotSent
	wasOptionalTrial := a.trial && b.hasActiveEndpoint()
	if len(req.attempts) <= maxBudgetExemptAttempts && (wasNotSent || wasOptionalTrial) {
		return exemptFromBudget
	}
	return takesToken
}

// canMeetDeadline reports whether a response would be in time if it took the given share of the
// latency that is expected of the fastest active endpoint.
func (b *Balancer) canMeetDeadline(now time.Duration, req *request, share float64) bool {
	return now+seconds(b.expectedLatency(req)*b.smallestActiveWeight()*share) <= req.giveUpAt
}

// mayAttemptAnywhere reports whether the request may be sent again to at least one ready endpoint.
// The answer is the same for all ready endpoints, unless duplicates are dropped only within a group
// of endpoints: then each is checked.
func (b *Balancer) mayAttemptAnywhere(now time.Duration, req *request) bool {
	isReady := func(e *endpoint) bool { return e.State == Ready }
	mayAttempt := func(e *endpoint) bool { return isReady(e) && b.mayAttemptAt(now, req, e) }
	first := slices.IndexFunc(b.endpoints, isReady)
	switch {
	case first < 0:
		return false
	case mayAttempt(b.endpoints[first]):
		return true
	case req.class.hasLimitedKeyScope():
		return slices.ContainsFunc(b.endpoints, mayAttempt)
	}
	return false
}

// hasLimitedKeyScope reports whether duplicates are dropped only within a group of endpoints.
func (c *class) hasLimitedKeyScope() bool {
	return c.Idempotency == IdempotencyKeyed && c.KeyScope != KeyScopeAll
}

// mayAttemptAt reports whether a request may be sent to an endpoint now without the risk that it
// takes effect twice. Only a hedged request may be sent while another attempt is in flight.
func (b *Balancer) mayAttemptAt(now time.Duration, req *request, e *endpoint) bool {
	for i := range req.attempts {
		a := &req.attempts[i]
		if a.inFlight && !req.hedging {
			return false
		}
		if a.mayHaveRun && !b.mayRunAgainAt(now, req.class, a, e) {
			return false
		}
	}
	return true
}

// mayRunAgainAt reports whether a request may be sent to an endpoint after an earlier attempt that
// may have run: it is idempotent, or the endpoint would drop the duplicate by its idempotency key.
func (b *Balancer) mayRunAgainAt(now time.Duration, c *class, earlier *attempt, e *endpoint) bool {
	if c.NeverRerun {
		return false
	}
	switch c.Idempotency {
	case Idempotent:
		return true
	case IdempotencyKeyed:
		inWindow := now+b.keyWindowMargin() < earlier.startedAt+c.KeyWindow
		return inWindow && c.KeyScope.covers(earlier.endpoint, e)
	}
	return false
}

// covers reports whether an endpoint drops duplicates of requests that the receiver has received.
func (s KeyScope) covers(receiver, e *endpoint) bool {
	switch s {
	case KeyScopeZone:
		return receiver.Zone == e.Zone
	case KeyScopeCell:
		return receiver.Cell == e.Cell
	}
	return true
}

// keyWindowMargin returns the time that must be left of a key's window when a retry is sent.
func (b *Balancer) keyWindowMargin() time.Duration {
	return max(2*b.settings.Resolution, minKeyWindowMargin)
}

// RetryDeadline returns the instant by which the host must have written a retry of a request,
// however long it takes to connect: a duplicate that arrives after its key's window takes effect.
// It is 0 if a retry has no such limit.
func (b *Balancer) RetryDeadline(id string) time.Duration {
	req := b.requests[id]
	if req == nil || req.class.Idempotency != IdempotencyKeyed {
		return 0
	}
	for i := range req.attempts {
		if a := &req.attempts[i]; a.mayHaveRun { // the earliest such attempt: its window ends first
			return a.startedAt + req.class.KeyWindow - b.keyWindowMargin()
		}
	}
	return 0
}

// mayReject reports whether the request may be rejected: a rejection tells the client that it can
// retry the request without harm.
func (r *request) mayReject() bool {
	return r.class.mayBeRetriedByClient() || !slices.ContainsFunc(r.attempts, attempt.runsOrMayHaveRun)
}

// runsOrMayHaveRun reports whether the endpoint may have run the request or may still run it.
func (a attempt) runsOrMayHaveRun() bool { return a.inFlight || a.mayHaveRun }

// mayBeRetriedByClient reports whether a client may retry a request even after an attempt has run,
// because a duplicate is harmless or dropped at every endpoint.
func (c *class) mayBeRetriedByClient() bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotencyKeyed && c.KeyScope == KeyScopeAll
}
