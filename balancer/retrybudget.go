package balancer

// The budget for retries and hedged requests. No decision is made in this file.

import "time"

// RetryBudget is a budget for attempts beyond the first, hedged requests included, over all
// requests of a Balancer: failing endpoints must not get the same requests again from everybody at
// once. The zero value allows a tenth of the requests, and at most 10 saved up.
type RetryBudget struct {
	PerRequest float64 // earned by each request
	PerSecond  float64 // earned each second, so that a quiet client has some
	Burst      float64 // saved up at most
}

// The budget where none is given.
const (
	defaultTokensPerRequest = 0.1
	defaultTokenBurst       = 10.0
)

// retryBucket is what is left of a RetryBudget. It starts half full with the first request.
type retryBucket struct {
	RetryBudget
	tokenBucket
	started bool
}

// earn adds what a request brings, and the time since the last one.
func (r *retryBucket) earn(now time.Duration) {
	perRequest, burst := r.PerRequest, r.Burst
	if r.RetryBudget == (RetryBudget{}) {
		perRequest, burst = defaultTokensPerRequest, defaultTokenBurst
	}
	if !r.started {
		r.started, r.tokenBucket = true, tokenBucket{tokens: burst / 2, refilledAt: now}
	}
	r.refill(now, perRequest, r.PerSecond, burst)
}
