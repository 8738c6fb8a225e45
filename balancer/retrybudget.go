package balancer

// The budget for retries and hedged requests. This file makes no load-balancing decisions.

import "time"

// RetryBudget limits the attempts beyond the first, hedged requests included, over all requests of
// a Balancer: without a limit, retries would multiply the load of failing endpoints. Each of these
// attempts takes a token, except for the few retries that retryBudgetUse exempts. The zero value
// earns a tenth of a token per request and saves up at most 10.
type RetryBudget struct {
	PerRequest float64 // tokens earned by each request
	PerSecond  float64 // tokens earned each second, so that a client with few requests can retry too
	Burst      float64 // largest number of tokens saved up
}

// The budget that applies if RetryBudget is zero.
const (
	defaultTokensPerRequest = 0.1
	defaultTokenBurst       = 10.0
)

// retryBucket is the token bucket of a RetryBudget. It is half full at the first request.
type retryBucket struct {
	RetryBudget
	tokenBucket
	started bool
}

// deposit adds the tokens for a request, and those for the time since the last request.
func (r *retryBucket) deposit(now time.Duration) {
	budget := r.RetryBudget
	if budget == (RetryBudget{}) {
		budget = RetryBudget{PerRequest: defaultTokensPerRequest, Burst: defaultTokenBurst}
	}
	if !r.started {
		r.started = true
		r.tokenBucket = tokenBucket{tokens: budget.Burst / 2, refilledAt: now}
	}
	r.refill(now, budget.PerRequest, budget.PerSecond, budget.Burst)
}
