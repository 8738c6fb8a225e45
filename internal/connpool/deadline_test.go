package connpool

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against long answers that are cut off since they began just before the deadline.
func TestAnswerOfUnknownLengthIsStreamedBeforeTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for left, want := range map[time.Duration]time.Duration{
			time.Second:     streamAfter,
			streamAfter:     streamAfter - streamMargin,
			streamAfter / 2: streamAfter/2 - streamMargin,
		} {
			now := time.Now()
			if got := streamsAt(now.Add(left)).Sub(now); got != want {
				t.Errorf("%v before the deadline: streamed after %v, want %v", left, got, want)
			}
		}
	})
}
