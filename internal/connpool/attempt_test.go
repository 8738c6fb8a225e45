package connpool

import (
	"context"
	"errors"
	"testing"
	"time"
)

// A cancellation closes what is in progress and prevents every later step, so it is not lost if it
// comes between two steps of an attempt.
func TestCancelClosesWhatIsInProgress(t *testing.T) {
	for name, cancel := range map[string]func(*Attempt){
		"cancel": (*Attempt).Cancel, "cancel unless written": (*Attempt).CancelUnlessWritten,
	} {
		a := attemptWithin(waitTimeout)
		ctx, cancelWait := context.WithCancel(context.Background())
		defer cancelWait()
		if !a.setInProgress(cancelCloser{cancelWait}) {
			t.Errorf("%s: the attempt may not continue before the cancellation", name)
		}
		if cancel(a); ctx.Err() == nil {
			t.Errorf("%s: the context in progress was not canceled", name)
		}
		if a.setInProgress(nil) {
			t.Errorf("%s: the attempt may continue after the cancellation", name)
		}
		var failure *Error
		if err := a.failure(Reset, errConnClosed); !errors.As(err, &failure) || failure.Kind != Canceled {
			t.Errorf("%s: a failure after the cancellation is %v, want the kind canceled", name, err)
		}
	}
}

func TestCancelUnlessWrittenAfterWriteDoesNothing(t *testing.T) {
	a := attemptWithin(waitTimeout)
	a.markRequestWritten()
	a.CancelUnlessWritten()
	if !a.setInProgress(nil) {
		t.Error("CancelUnlessWritten canceled an attempt whose request was written")
	}
	if a.Cancel(); a.setInProgress(nil) {
		t.Error("the attempt may continue after Cancel")
	}
}

func TestLimitWrites(t *testing.T) {
	client, _ := loopbackConns(t)
	c, err := newConn(client, &endpointConns{}, "")
	if err != nil {
		t.Fatal(err)
	}
	for name, row := range map[string]struct {
		writeBy time.Time
		want    error
	}{
		"none":   {time.Time{}, nil},
		"future": {time.Now().Add(time.Minute), nil},
		"past":   {time.Now().Add(-time.Millisecond), errRetryDeadlinePassed},
	} {
		a := &Attempt{WriteBy: row.writeBy}
		if got := a.limitWrites(c); !errors.Is(got, row.want) {
			t.Errorf("WriteBy %s: error %v, want %v", name, got, row.want)
		}
	}
	client.Close()
	if err := (&Attempt{WriteBy: time.Now().Add(time.Minute)}).limitWrites(c); !errors.Is(err, errRetryDeadlinePassed) {
		t.Errorf("closed connection: %v, want errRetryDeadlinePassed", err)
	}
}
