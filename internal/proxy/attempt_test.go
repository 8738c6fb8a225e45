package proxy

import (
	"errors"
	"fmt"
	"testing"

	"rowancart/balancer"
	"rowancart/internal/connpool"
)

// The Balancer decides by the reported result whether it may retry after a failed attempt.
func TestAttemptErrorsBecomeResults(t *testing.T) {
	cause := errors.New("cause")
	for want, err := range map[balancer.Result]error{
		balancer.OK:            nil,
		balancer.NotSent:       &connpool.Error{Kind: connpool.NotSent, Err: cause},
		balancer.ConnectFailed: &connpool.Error{Kind: connpool.ConnectFailed, Err: cause},
		balancer.Rejected:      &connpool.Error{Kind: connpool.Declined, Err: cause},
		balancer.Errored:       &connpool.Error{Kind: connpool.ErrorStatus, Err: cause},
		balancer.TimedOut:      &connpool.Error{Kind: connpool.TimedOut, Err: cause},
		balancer.Reset:         &connpool.Error{Kind: connpool.Reset, Err: cause},
		balancer.Canceled:      fmt.Errorf("wrapped: %w", &connpool.Error{Kind: connpool.Canceled, Err: cause}),
	} {
		if got := attemptResult(err); got != want {
			t.Errorf("attempt error %v: got result %v, want %v", err, got, want)
		}
	}
	if got := attemptResult(cause); got != balancer.Reset {
		t.Errorf("error that is not a *connpool.Error: got result %v, want Reset", got)
	}
}
