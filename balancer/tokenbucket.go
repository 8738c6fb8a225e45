package balancer

import "time"

// tokenBucket is a token bucket that refills with time and by deposits. This file makes no
// load-balancing decisions.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// refill adds a deposit and the tokens for the time since the last refill. The bucket holds at most
// burst tokens.
func (t *tokenBucket) refill(now time.Duration, deposit, perSecond, burst float64) {
	t.tokens = min(t.tokens+deposit+perSecond*(now-t.refilledAt).Seconds(), burst)
	t.refilledAt = now
}

// hasToken reports whether at least one whole token is left.
func (t *tokenBucket) hasToken() bool { return t.tokens >= 1 }

// takeToken takes one token, which must be there: see hasToken.
func (t *tokenBucket) takeToken() { t.tokens-- }
