package httpserver

import (
	"time"

	"rowancart/internal/logkey"
	"rowancart/internal/proxy"
)

// lateResultAfter is how long after the end of a client's time a result is logged as late.
const lateResultAfter = 250 * time.Millisecond

// logIfLate logs a result that came after the end of the client's time, which the client may have
// stopped waiting for.
func (c *conn) logIfLate(f *forwarding, result proxy.Result) {
	sentAt := c.reader.earliestSentAt
	if f.body.streamed != nil {
		sentAt = f.body.streamed.SentAt()
	}
	late := time.Since(sentAt.Add(f.message.ClientTimeout))
	if late < lateResultAfter {
		return
	}
	c.server.log.Warn("request ended after its time",
		logkey.RequestID, f.call.ID, logkey.Reason, string(result.Reason), "late", late.Round(time.Millisecond),
		"status", resultStatuses[result.Kind])
}
