package proxy

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"rowancart/balancer"
)

// There is at most one line per reason and interval. It has the number of requests since the
// previous line with that reason, and the id of the latest one.
func TestUnservedRequestsAreLoggedAtBoundedRate(t *testing.T) {
	var lines bytes.Buffer
	withoutTime := func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return a
	}
	l := unservedLog{
		log:      slog.New(slog.NewTextHandler(&lines, &slog.HandlerOptions{ReplaceAttr: withoutTime})),
		byReason: map[balancer.Reason]*unservedCount{},
	}
	start := clockEpoch
	l.record(start, "r1", BodyNotReplayable)
	l.record(start+1, "r2", "other")
	l.record(start+2, "r3", BodyNotReplayable)
	l.record(start+unservedLogInterval-time.Nanosecond, "r4", BodyNotReplayable)
	l.record(start+unservedLogInterval, "r5", BodyNotReplayable)
	want := `level=WARN msg="requests not served" reason=body_gone count=1 request_id=r1
level=WARN msg="requests not served" reason=other count=1 request_id=r2
level=WARN msg="requests not served" reason=body_gone count=3 request_id=r5
`
	if got := lines.String(); got != want {
		t.Errorf("got log lines:\n%swant:\n%s", got, want)
	}
}
