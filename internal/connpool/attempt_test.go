package connpool

import (
	"context"
	"errors"
	"testing"
	"time"
)

// A cancellation closes what is in progress, and nothing may follow it: there is no moment between
// two steps of an attempt at which it is lost.
func TestCancelClosesWhatIsInProgress(t *testing.T) {
	for name, cancel := range map[string]func(*Attempt){
		"cancel": (*Attempt).Cancel, "cancel unless written": (*Attempt).CancelUnlessWritten,
	} {
		a := attemptWithin(waitTimeout)
		ctx, cancelWait := context.WithCancel(context.Background())
		defer cancelWait()
		if !a.setInProgress(cancelableWait{cancelWait}) {
			t.Errorf("%s: the attempt does not continue before it", name)
		}
		if cancel(a); ctx.Err() == nil {
			t.Errorf("%s: what was in progress was not closed", name)
		}
		if a.setInProgress(nil) {
			t.Errorf("%s: the attempt continues after it", name)
		}
		var failure *Error
		if err := a.failure(Reset, errConnClosed); !errors.As(err, &failure) || failure.Kind != Canceled {
			t.Errorf("%s: a failure after it is %v", name, err)
		}
	}
}

func TestCancelUnlessWrittenAfterWriteDoesNothing(t *testing.T) {
	a := attemptWithin(waitTimeout)
	a.markRequestWritten()
	a.CancelUnlessWritten()
	if !a.setInProgress(nil) {
		t.Error("an attempt whose request was written was canceled")
	}
	if a.Cancel(); a.setInProgress(nil) {
		t.Error("an attempt continues after Cancel")
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
		"no limit": {time.Time{}, nil},
		"to come":  {time.Now().Add(time.Minute), nil},
		"passed":   {time.Now().Add(-time.Millisecond), errRetryDeadlinePassed},
	} {
		a := &Attempt{WriteBy: row.writeBy}
		if got := a.limitWrites(c); !errors.Is(got, row.want) {
			t.Errorf("%s: %v, want %v", name, got, row.want)
		}
	}
	client.Close()
	if err := (&Attempt{WriteBy: time.Now().Add(time.Minute)}).limitWrites(c); !errors.Is(err, errRetryDeadlinePassed) {
		t.Errorf("closed connection: %v", err)
	}
}
