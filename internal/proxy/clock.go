package proxy

import "time"

// clockEpoch is the reading of a clock at its start. It is well above zero, so that 0 means long
// ago and starts of endpoints before this process's own have instants too.
const clockEpoch = 24 * time.Hour

// clock gives instants: a monotonic reading since its start.
type clock struct{ started time.Time }

// now returns the present instant.
func (c clock) now() time.Duration { return clockEpoch + time.Since(c.started) }

// instant converts wall time, 0 for unknown or long ago. The offset is fixed: the same start must
// always become the same instant, or an old one would pass for a restart.
func (c clock) instant(unixMs int64) time.Duration {
	if unixMs <= 0 {
		return 0
	}
	return max(clockEpoch+time.Duration(unixMs-c.started.UnixMilli())*time.Millisecond, 0)
}
