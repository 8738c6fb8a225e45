package balancer

import "time"

// RetryBudget is a budget for attempts beyond the first, second copies included, over all requests of a
// Balancer: what fails must not be asked again by everybody at once. Zero: a tenth of the requests, and no more than 10
// saved up.
type RetryBudget struct {
	PerRequest float64 // earned by each request
	PerSecond  float64 // earned each second, so that a quiet caller has some
	Burst      float64 // saved up at most
}

// The budget where none is given.
const (
	resendShare = 0.1
	resendMost  = 10.0
)

// resends is what is left of a budget. It starts half full.
type resends struct {
	RetryBudget
	started bool
	saved   float64
	at      time.Duration
}

// earn adds what a request brings, and the time since the last one.
func (r *resends) earn(now time.Duration) {
	share, most := r.PerRequest, r.Burst
	if r.RetryBudget == (RetryBudget{}) {
		share, most = resendShare, resendMost
	}
	if !r.started {
		r.started, r.saved, r.at = true, most/2, now
	}
	r.saved = min(r.saved+share+r.PerSecond*(now-r.at).Seconds(), most)
	r.at = now
}

// left tells whether one more attempt is within the budget.
func (r *resends) left() bool { return r.saved >= 1 }

// spend takes one attempt from the budget.
func (r *resends) spend() { r.saved-- }
