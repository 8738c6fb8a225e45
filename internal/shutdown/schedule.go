// Package shutdown computes by when a process that ends must have answered its requests. The
// sidecar and the daemon follow the same rule.
package shutdown

import "time"

const (
	// finalResponseMargin is the time between the last responses and the limit. It leaves room for a
	// suspension of the process, which may last for the final 0.15 s before a SIGKILL at the limit.
	finalResponseMargin = 250 * time.Millisecond
	// finalCloseMargin is how long before the limit the remaining open connections are closed.
	finalCloseMargin = 50 * time.Millisecond
)

// Schedule holds the times of a shutdown's last steps.
type Schedule struct {
	// FinalResponses is when every request that was received must have its response: requests that
	// still wait for an endpoint are rejected, or have failed if an endpoint may have run them.
	FinalResponses time.Time
	// FinalClose is when the connections that are still open are closed: responses that are still
	// being streamed end incomplete.
	FinalClose time.Time
}

// NewSchedule returns the schedule of a shutdown that begins at start and may take limit.
func NewSchedule(start time.Time, limit time.Duration) Schedule {
	end := start.Add(limit)
	return Schedule{FinalResponses: end.Add(-finalResponseMargin), FinalClose: end.Add(-finalCloseMargin)}
}
