package proxy

import (
	"log/slog"
	"time"

	"rowancart/balancer"
	"rowancart/internal/logkey"
)

// unservedLogInterval is the least time between two log lines about requests that were not served
// for the same reason: log lines must not come as fast as requests.
const unservedLogInterval = 10 * time.Second

// unservedLog logs requests that were not served: one line for each reason and interval, with the
// number of requests that it stands for. Pool.mu guards it.
type unservedLog struct {
	log      *slog.Logger
	byReason map[balancer.Reason]*unservedCount
}

// unservedCount counts the requests that were not served for one reason.
type unservedCount struct {
	requests int           // since the latest line
	loggedAt time.Duration // when the latest line was written; 0: never
}

// record counts a request that was not served, and writes a line unless one for the same reason was
// written recently.
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
