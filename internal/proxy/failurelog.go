package proxy

import (
	"errors"
	"log/slog"
	"time"

	"rowancart/internal/connpool"
	"rowancart/internal/logkey"
)

const (
	failureLogInterval = 10 * time.Second // the period that failureLogLines counts for
	failureLogLines    = 30               // maximum number of lines in a period
)

// failureLog logs failed attempts, one line for each. A period has failureLogLines lines at most;
// the first line of the next one says how many attempts had none. It is guarded by Pool.mu.
type failureLog struct {
	log        *slog.Logger
	periodEnds time.Duration
	lines      int // in the current period
	omitted    int // failed attempts without a line
}

// record logs an attempt that failed with an *connpool.Error.
func (l *failureLog) record(now time.Duration, a *attempt, err error) {
	if now >= l.periodEnds {
		l.periodEnds = now + failureLogInterval
		l.lines = 0
	}
	if l.lines >= failureLogLines {
		l.omitted++
		return
	}
	l.lines++
	kind := "unknown"
	var failure *connpool.Error
	if errors.As(err, &failure) {
		kind = failure.Kind.String()
	}
	progress := a.control.Progress()
	l.log.Info("attempt failed",
		logkey.RequestID, a.call.ID, "attempt", a.number, logkey.Endpoint, a.endpoint, logkey.Reason, kind,
		"phase", string(progress.Phase), "written", progress.Written, "after", (now - a.startedAt).Round(time.Millisecond),
		logkey.Err, err, "omitted", l.omitted)
	l.omitted = 0
}
