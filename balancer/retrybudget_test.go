package balancer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// From the first request on, no more tokens are spent than the initial half of the burst and the
// tokens earned.
func TestRetryBudgetStaysWithinWhatWasEarned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := retryBucket{RetryBudget: RetryBudget{PerRequest: rapid.Float64Range(0, 1).Draw(t, "per request"),
			PerSecond: rapid.Float64Range(0, 20).Draw(t, "per second"),
			Burst:     rapid.Float64Range(1, 50).Draw(t, "burst")}}
		var now, began time.Duration
		requests, spent := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "gap")) * time.Millisecond
			if requests == 0 {
				began = now
			}
			r.deposit(now)
			requests++
			for range rapid.IntRange(0, 5).Draw(t, "wanted") {
				if r.hasToken() {
					r.takeToken()
					spent++
				}
			}
		}
		earned := r.PerRequest*float64(requests) + r.PerSecond*(now-began).Seconds()
		if maxSpent := r.Burst/2 + earned; float64(spent) > maxSpent+1e-6 {
			t.Fatalf("%d tokens were spent, want at most %v", spent, maxSpent)
		}
	})
}

func TestDefaultRetryBudget(t *testing.T) {
	var r retryBucket
	n := 0
	for range 1000 {
		r.deposit(time.Second)
		if r.hasToken() {
			r.takeToken()
			n++
		}
	}
	if n < 100 || n > 106 {
		t.Errorf("%d retries of 1000 requests, want 100 to 106", n)
	}
}
