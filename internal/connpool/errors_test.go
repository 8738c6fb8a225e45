package connpool

import (
	"errors"
	"fmt"
	"testing"
)

func TestStatusErrorSaysStatusAndTime(t *testing.T) {
	for _, row := range []struct {
		err  *StatusError
		want string
	}{
		{&StatusError{Status: 500}, "response status 500"},
		{&StatusError{Status: 413, Early: true}, "response status 413 before the request was written completely"},
	} {
		if got := (&Error{Kind: ErrorStatus, Err: row.err}).Error(); got != row.want {
			t.Errorf("%q, want %q", got, row.want)
		}
	}
}

// Only what an endpoint did is shown as its latest failure.
func TestEndpointFailures(t *testing.T) {
	for kind, want := range map[FailureKind]bool{
		NotSent: false, ConnectFailed: true, Declined: true, ErrorStatus: true, TimedOut: true, Reset: true, Canceled: false,
	} {
		err := fmt.Errorf("wrapped: %w", &Error{Kind: kind, Err: errConnClosed})
		if got := isEndpointFailure(err); got != want {
			t.Errorf("%v: endpoint failure %v, want %v", kind, got, want)
		}
		if !errors.Is(err, errConnClosed) {
			t.Errorf("%v: the cause is lost", kind)
		}
	}
	if isEndpointFailure(nil) || isEndpointFailure(errConnClosed) {
		t.Error("no error, or an untyped one, is an endpoint failure")
	}
	for _, err := range []error{errNotAccepting, errConnLimit} {
		if !errors.Is(err, errNoConnection) {
			t.Errorf("%v is not an errNoConnection", err)
		}
	}
}
