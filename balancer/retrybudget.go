package balancer

// The budget for retries and hedged requests. No decision is made in this file.

import "time"

// RetryBudget is a budget for attempts beyond the first, hedged requests included, over all
// requests of a Balancer: without one, retries would multiply the load of failing endpoints. The
// zero value allows a tenth of the requests, and at most 10 saved up.
type RetryBudget struct {
	PerRequest float64 // earned by each request
	PerSecond  float64 // earned each second, so that a quiet client has some
	Burst      float64 // largest number saved up
}

// The budget where none is given.
const (
	defaultTokensPerRequest = 0.1
	defaultTokenBurst       = 10.0
)

// retryBucket is the token bucket of a RetryBudget. It starts half full with the first request.
type retryBucket struct {
	RetryBudget
	tokenBucket
	started bool
}

// earn adds the tokens of a request, and of the time since the last one.
func (r *retryBucket) earn(now time.Duration) {
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
