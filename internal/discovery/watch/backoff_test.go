package watch

import (
	"testing"
	"time"
)

func TestLocalAgentTimingFollowsTheDrainGrace(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		drainGrace                              time.Duration
		responseTimeout, minBackoff, maxBackoff time.Duration
	}{
		{0, 500 * ms, 50 * ms, 200 * ms},
		{time.Second, 500 * ms, 50 * ms, 200 * ms},
		{800 * ms, 400 * ms, 50 * ms, 160 * ms},
		{100 * ms, 50 * ms, 20 * ms, 20 * ms},
	} {
		got := localAgentTiming(test.drainGrace)
		want := watchTiming{
			responseTimeout: test.responseTimeout,
			idleTimeout:     2500 * ms,
			minBackoff:      test.minBackoff,
			maxBackoff:      test.maxBackoff,
		}
		if got != want {
			t.Errorf("grace %v: %+v, want %+v", test.drainGrace, got, want)
		}
	}
}

func TestBackoffDoublesUpToItsMaximum(t *testing.T) {
	b := newBackoff(watchTiming{minBackoff: 50 * time.Millisecond, maxBackoff: 160 * time.Millisecond})
	for range 2 { // the second round follows a reset
		for _, want := range []time.Duration{50, 100, 160, 160} {
			want *= time.Millisecond
			if got := b.nextDelay(); got < want/2 || got > want*3/2 {
				t.Errorf("delay %v, want %v plus or minus at most half of it", got, want)
			}
		}
		b.reset()
	}
}
