package ratelimit

import (
	"time"

	"golang.org/x/time/rate"
)

// flow is traffic that is limited together: a route's, one tenant's, or that of all tenants which
// are not tracked.
type flow struct {
	tenant   string // empty if it is not one tenant's
	bucket   *rate.Limiter
	inFlight int
}

// setRate changes the rate of a flow. A rate of zero removes the limit.
func (f *flow) setRate(now time.Time, r Rate) {
	limit, burst := rate.Limit(r.PerSecond), r.Burst
	if r.PerSecond <= 0 {
		f.bucket = nil
		return
	}
	if burst <= 0 {
		burst = max(int(r.PerSecond), 1)
	}
	if f.bucket == nil {
		f.bucket = rate.NewLimiter(limit, burst)
		return
	}
	f.bucket.SetLimitAt(now, limit)
	f.bucket.SetBurstAt(now, burst)
}

// takeToken takes a token, or returns how long it takes until there is one. The reservation is nil
// if the flow has no rate.
func (f *flow) takeToken(now time.Time) (*rate.Reservation, time.Duration) {
	if f.bucket == nil {
		return nil, 0
	}
	r := f.bucket.ReserveN(now, 1)
	if wait := r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		return nil, wait
	}
	return r, 0
}

// isFull reports whether a flow has as many requests in flight as a limit allows. Zero: no limit.
func (f *flow) isFull(concurrency int) bool { return concurrency > 0 && f.inFlight >= concurrency }

// isUnused reports whether a flow is like a new one: without a request in flight, and with all
// tokens.
func (f *flow) isUnused(now time.Time) bool {
	hasAllTokens := f.bucket == nil || f.bucket.TokensAt(now) >= float64(f.bucket.Burst())
	return f.inFlight == 0 && hasAllTokens
}
