package connpool

import (
	"errors"
	"fmt"
	"testing"
)

func TestStatusErrorText(t *testing.T) {
	for _, row := range []struct {
		err  *StatusError
		want string
	}{
		{&StatusError{Status: 500}, "response status 500"},
		{&StatusError{Status: 413, Early: true}, "response status 413 before the request was written completely"},
	} {
		if got := (&Error{Kind: ErrorStatus, Err: row.err}).Error(); got != row.want {
			t.Errorf("error text %q, want %q", got, row.want)
		}
	}
}

// Failures that the endpoint did not cause must not be shown as its latest failure.
func TestEndpointFailures(t *testing.T) {
	for kind, want := range map[FailureKind]bool{
		NotSent: false, ConnectFailed: true, Declined: true, ErrorStatus: true, TimedOut: true, Reset: true, Canceled: false,
	} {
		err := fmt.Errorf("wrapped: %w", &Error{Kind: kind, Err: errConnClosed})
		if got := isEndpointFailure(err); got != want {
			t.Errorf("%v: counts as an endpoint failure: %v, want %v", kind, got, want)
		}
		if !errors.Is(err, errConnClosed) {
			t.Errorf("%v: the error does not wrap its cause", kind)
		}
	}
	if isEndpointFailure(nil) || isEndpointFailure(errConnClosed) {
		t.Error("nil, or an error that is not an *Error, counts as an endpoint failure")
	}
	for _, err := range []error{errNotAccepting, errConnLimit} {
		if !errors.Is(err, errNoConnection) {
			t.Errorf("%v does not wrap errNoConnection", err)
		}
	}
}
