package proxy

import (
	"log/slog"
	"time"

	"rowancart/balancer"
	"rowancart/internal/logkey"
)

// unservedLogInterval is the minimum time between two log lines about unserved requests with the
// same reason. It keeps the number of log lines from growing with the request rate.
const unservedLogInterval = 10 * time.Second

// unservedLog logs requests that were not served: at most one line per reason and interval, with
// the number of requests since the previous line. It is guarded by Pool.mu.
type unservedLog struct {
	log      *slog.Logger
	byReason map[balancer.Reason]*unservedCount
}

// unservedCount counts the requests that were not served for one reason.
type unservedCount struct {
	requests int           // since the latest log line
	loggedAt time.Duration // when the latest log line was written; 0: never
}

// record counts a request that was not served. It writes a log line unless one for the same reason
// was written less than unservedLogInterval ago.
func (l *unservedLog) record(now time.Duration, requestID string, reason balancer.Reason) {
	count := l.byReason[reason]
	if count == nil {
		count = &unservedCount{}
		l.byReason[reason] = count
	}
	count.requests++
	loggedRecently := count.loggedAt > 0 && now-count.loggedAt < unservedLogInterval
	if loggedRecently {
		return
	}
	l.log.Warn("requests not served",
		logkey.Reason, string(reason), logkey.Count, count.requests, logkey.RequestID, requestID)
	count.requests = 0
	count.loggedAt = now
}
