package ratelimit

import (
	"time"

	"golang.org/x/time/rate"
)

// flow is the state of a set of requests that have common limits: the requests of the route, of
// one tenant, or of all tenants that are not tracked.
type flow struct {
	key      uint64        // hash of the tenant's name, if the flow belongs to a single tenant
	bucket   *rate.Limiter // nil: the rate is not limited
	inFlight int           // requests
}

// setRate changes the rate of a flow. A rate of zero removes the limit.
func (f *flow) setRate(now time.Time, r Rate) {
	if r.PerSecond <= 0 {
		f.bucket = nil
		return
	}
	limit := rate.Limit(r.PerSecond)
	burst := r.Burst
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

// takeToken takes a token, or returns the delay until one is available. The token is nil if the
// rate is not limited or no token is available.
func (f *flow) takeToken(now time.Time) (token *rate.Reservation, delay time.Duration) {
	if f.bucket == nil {
		return nil, 0
	}
	token = f.bucket.ReserveN(now, 1)
	if delay = token.DelayFrom(now); delay > 0 {
		token.CancelAt(now)
		return nil, delay
	}
	return token, 0
}

// isFull reports whether a flow has as many requests in flight as concurrency allows. Zero means
// no limit.
func (f *flow) isFull(concurrency int) bool { return concurrency > 0 && f.inFlight >= concurrency }

// isUnused reports whether a flow has the state of a new one: no request is in flight, and the
// bucket is full.
func (f *flow) isUnused(now time.Time) bool {
	isBucketFull := f.bucket == nil || f.bucket.TokensAt(now) >= float64(f.bucket.Burst())
	return f.inFlight == 0 && isBucketFull
}
