package balancer

// Retries: whether and where a request may be sent again, and whether its client may repeat it.

import (
	"cmp"
	"slices"
	"time"
)

const (
	maxBudgetExemptAttempts = 3 // attempts beside the retry budget that one request may bring

	// keyWindowMargin is how long before the end of a key's window a request is sent again at the
	// latest: the host may be held up for that long between reading its clock and writing.
	keyWindowMargin = 150 * time.Millisecond
)

// retry sends a request again whose last attempt has ended without success, or answers it.
func (b *Balancer) retry(now time.Duration, req *request, exempt bool) {
	if why := b.reasonAgainstRetry(now, req, exempt); why != "" {
		b.rejectOrFail(req, why)
		return
	}
	if !exempt {
		b.retryTokens.takeToken()
	}
	b.dispatch(now, req)
}

// reasonAgainstRetry returns what rules one more attempt out, empty if nothing does: effects, the
// number of attempts, the budget or the time. Otherwise retries would multiply from tier to tier.
func (b *Balancer) reasonAgainstRetry(now time.Duration, req *request, exempt bool) Reason {
	most := cmp.Or(req.class.MaxAttempts, b.settings.MaxAttempts)
	switch {
	case b.readyCount == 0:
		return NoEndpoint
	case !b.anyEndpointMayRepeat(now, req):
		return MayHaveRun
	case most > 0 && len(req.attempts) >= most:
		return AttemptsExhausted
	case !exempt && !b.retryTokens.hasToken():
		return RetryBudgetSpent
	case !b.canMeetDeadline(now, req, 1):
		return DeadlineTooClose
	}
	return ""
}

// isBudgetExempt reports whether the attempt after one that has just ended is beside the budget,
// which is against sending ever more to endpoints that fail: what was not sent cost them nothing,
// trials are this Balancer's.
func (b *Balancer) isBudgetExempt(req *request, a *attempt, r Result) bool {
	trial := a.trial && len(b.activeHeap.endpoints) > 0
	return len(req.attempts) <= maxBudgetExemptAttempts && (trial || r == ConnectFailed || r == NotSent)
}

// canMeetDeadline reports whether a response would come in time if it took a share of what is
// expected.
func (b *Balancer) canMeetDeadline(now time.Duration, req *request, share float64) bool {
	return now+seconds(b.expectedLatency(req)*b.smallestActiveWeight()*share) <= req.giveUpAt
}

// anyEndpointMayRepeat reports whether some endpoint may get the request again. One is as good as
// another, unless repeats are dropped in groups: then all have to be looked at.
func (b *Balancer) anyEndpointMayRepeat(now time.Duration, req *request) bool {
	may := func(e *endpoint) bool { return e.State == Ready && b.mayRepeatAt(now, req, e) }
	i := slices.IndexFunc(b.endpoints, func(e *endpoint) bool { return e.State == Ready })
	if i < 0 || may(b.endpoints[i]) {
		return i >= 0
	}
	if req.class.Idempotency != IdempotencyKeyed || req.class.KeyScope == KeyScopeAll {
		return false
	}
	return slices.ContainsFunc(b.endpoints, may)
}

// mayRepeatAt reports whether a request sent to an endpoint now cannot take effect twice.
func (b *Balancer) mayRepeatAt(now time.Duration, req *request, e *endpoint) bool {
	for i := range req.attempts {
		a, c := &req.attempts[i], req.class
		if a.inFlight && !req.hedging {
			return false
		}
		if !a.mayHaveRun || c.Idempotency == Idempotent && !c.NeverRerun {
			continue
		}
		if c.Idempotency == NonIdempotent || c.NeverRerun ||
			now+b.keyWindowMargin() >= a.startedAt+c.KeyWindow ||
			c.KeyScope == KeyScopeZone && a.endpoint.Zone != e.Zone ||
			c.KeyScope == KeyScopeCell && a.endpoint.Cell != e.Cell {
			return false
		}
	}
	return true
}

// keyWindowMargin returns how long before the end of a key's window the last retry may be decided.
func (b *Balancer) keyWindowMargin() time.Duration {
	return max(2*b.settings.Resolution, keyWindowMargin)
}

// RetryDeadline returns the instant by which a retry of a request has to have been written, however
// late its connection comes up: what comes after the window of its key takes effect once more. It
// is 0 where there is no such instant.
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

// mayReject reports whether the client can be told truthfully that a repeat is harmless.
func (r *request) mayReject() bool {
	keyedEverywhere := r.class.Idempotency == IdempotencyKeyed && r.class.KeyScope == KeyScopeAll
	return r.class.Idempotency == Idempotent || keyedEverywhere ||
		!slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.inFlight || a.mayHaveRun })
}
