package balancer

import (
	"testing"
	"time"
)

// TestTokenBucketRefills checks deposits, the refill by time, and that the burst limits both.
func TestTokenBucketRefills(t *testing.T) {
	for _, c := range []struct {
		name                               string
		deposit, perSecond, burst, initial float64
		after                              time.Duration
		want                               float64
	}{
		{"a deposit", 0.5, 0, 10, 1, time.Second, 1.5},
		{"time", 0, 2, 10, 1, 3 * time.Second, 7},
		{"both", 0.5, 2, 10, 1, time.Second, 3.5},
		{"no more than the burst", 5, 100, 10, 9, time.Second, 10},
		{"nothing", 0, 0, 10, 4, time.Hour, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			bucket := tokenBucket{tokens: c.initial, refilledAt: time.Minute}
			bucket.refill(time.Minute+c.after, c.deposit, c.perSecond, c.burst)
			if bucket.tokens != c.want || bucket.refilledAt != time.Minute+c.after {
				t.Errorf("%v tokens as of %v, want %v", bucket.tokens, bucket.refilledAt, c.want)
			}
		})
	}
}

// TestTokenBucketGivesWholeTokens checks that a fraction of a token cannot be taken.
func TestTokenBucketGivesWholeTokens(t *testing.T) {
	bucket := tokenBucket{tokens: 1.9}
	if !bucket.hasToken() {
		t.Error("a bucket with 1.9 tokens has no token to take")
	}
	bucket.takeToken()
	if bucket.hasToken() {
		t.Errorf("a bucket with %v tokens has a token to take", bucket.tokens)
	}
}
