package balancer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Over any length of time, what is spent stays under what was earned and what may be saved up.
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
			r.earn(now)
			requests++
			for range rapid.IntRange(0, 5).Draw(t, "wanted") {
				if r.hasToken() {
					r.takeToken()
					spent++
				}
			}
		}
		earned := r.PerRequest*float64(requests) + r.PerSecond*(now-began).Seconds()
		if most := r.Burst/2 + earned; float64(spent) > most+1e-6 {
			t.Fatalf("%d spent of %v", spent, most)
		}
	})
}

func TestDefaultRetryBudget(t *testing.T) {
	var r retryBucket
	n := 0
	for range 1000 {
		r.earn(time.Second)
		if r.hasToken() {
			r.takeToken()
			n++
		}
	}
	if n < 100 || n > 106 {
		t.Errorf("%d retries of 1000 requests", n)
	}
}
