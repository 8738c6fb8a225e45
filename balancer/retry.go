package balancer

// Retries: whether and where a request may be sent again, and whether its client may retry it.

import (
	"cmp"
	"slices"
	"time"
)

const (
	maxBudgetExemptAttempts = 3 // attempts of one request that may be exempt from the retry budget

	// keyWindowMargin is the least time between a retry and the end of its key's window: the host may
	// be delayed for that long between reading its clock and writing.
	keyWindowMargin = 150 * time.Millisecond
)

// budgetUse says whether an attempt after the first needs a token of the retry budget.
type budgetUse int

const (
	takesToken budgetUse = iota
	exemptFromBudget
)

// retry sends a request again whose last attempt has ended without success, or answers it.
func (b *Balancer) retry(now time.Duration, req *request, budget budgetUse) {
	if reason := b.reasonAgainstRetry(now, req, budget); reason != "" {
		b.rejectOrFail(req, reason)
		return
	}
	if budget == takesToken {
		b.retryTokens.takeToken()
	}
	b.dispatch(now, req)
}

// reasonAgainstRetry returns the reason for which a request may not be sent once more, empty if it
// may: its effect, the number of attempts, the budget or the time. Without these limits retries
// would multiply from tier to tier.
func (b *Balancer) reasonAgainstRetry(now time.Duration, req *request, budget budgetUse) Reason {
	most := cmp.Or(req.class.MaxAttempts, b.settings.MaxAttempts)
	switch {
	case b.readyCount == 0:
		return NoEndpoint
	case !b.mayAttemptAnywhere(now, req):
		return MayHaveRun
	case most > 0 && len(req.attempts) >= most:
		return AttemptsExhausted
	case budget == takesToken && !b.retryTokens.hasToken():
		return RetryBudgetSpent
	case !b.canMeetDeadline(now, req, 1):
		return DeadlineTooClose
	}
	return ""
}

// retryBudgetUse returns whether the retry after an attempt that has just ended needs a token. The
// budget limits what endpoints that fail get on top of the requests. An attempt that was not sent
// costs them nothing, and a trial is the Balancer's own choice: these are exempt, a few times.
func (b *Balancer) retryBudgetUse(req *request, a *attempt, r Result) budgetUse {
	wasNotSent := r == ConnectFailed || r == NotSent
	wasOptionalTrial := a.trial && b.hasActiveEndpoint()
	if len(req.attempts) <= maxBudgetExemptAttempts && (wasNotSent || wasOptionalTrial) {
		return exemptFromBudget
	}
	return takesToken
}

// canMeetDeadline reports whether a response would be in time if it took the given share of the
// expected latency.
func (b *Balancer) canMeetDeadline(now time.Duration, req *request, share float64) bool {
	return now+seconds(b.expectedLatency(req)*b.smallestActiveWeight()*share) <= req.giveUpAt
}

// mayAttemptAnywhere reports whether some ready endpoint may get the request once more. One is as
// good as another, unless duplicates are dropped within a group of endpoints: then all are checked.
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

// mayAttemptAt reports whether a request that is sent to an endpoint now cannot take effect twice.
// Only a hedged request is sent while another attempt is in flight.
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

// mayRunAgainAt reports whether a request may run at an endpoint after an attempt that may have
// run: it is idempotent, or the endpoint would drop it by its idempotency key.
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

// covers reports whether one endpoint drops the duplicates of requests that another has received.
func (s KeyScope) covers(receiver, e *endpoint) bool {
	switch s {
	case KeyScopeZone:
		return receiver.Zone == e.Zone
	case KeyScopeCell:
		return receiver.Cell == e.Cell
	}
	return true
}

// keyWindowMargin returns how long before the end of a key's window the last retry may be decided.
func (b *Balancer) keyWindowMargin() time.Duration {
	return max(2*b.settings.Resolution, keyWindowMargin)
}

// RetryDeadline returns the instant by which a retry of a request has to have been written, however
// long its connection takes: a duplicate takes effect after the window of its key. It is 0 where
// there is no such instant.
func (b *Balancer) RetryDeadline(id string) time.Duration {
	req := b.requests[id]
	if req == nil || req.class.Idempotency != IdempotencyKeyed {
		return 0
	}
	for i := range req.attempts {
		if a := &req.attempts[i]; a.mayHaveRun { // the first one decides: its window ends first
			return a.startedAt + req.class.KeyWindow - b.keyWindowMargin()
		}
	}
	return 0
}

// mayReject reports whether a rejection, which promises the client that a retry of its own is
// harmless, would be true.
func (r *request) mayReject() bool {
	return r.class.mayBeRetriedByClient() || !slices.ContainsFunc(r.attempts, attempt.runsOrMayHaveRun)
}

// runsOrMayHaveRun reports whether the endpoint may have run the request, or may do so yet.
func (a attempt) runsOrMayHaveRun() bool { return a.inFlight || a.mayHaveRun }

// mayBeRetriedByClient reports whether a client may retry whatever has run: at any endpoint a
// duplicate is harmless or dropped.
func (c *class) mayBeRetriedByClient() bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotencyKeyed && c.KeyScope == KeyScopeAll
}
