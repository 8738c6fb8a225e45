package proxy

import "time"

// clockEpoch is the instant at which a clock starts. It is well above zero, so that endpoints that
// started up to that long before this process have positive instants too. Earlier starts become 0,
// which means long ago.
const clockEpoch = 24 * time.Hour

// maxClockDrift bounds how far the wall clock may drift from the monotonic clock. A larger
// difference means that the wall clock was stepped.
const maxClockDrift = time.Second

// clock measures instants. An instant is clockEpoch plus the monotonic time since the clock's
// start.
type clock struct {
	started time.Time
	wall    func() time.Time // reads the wall clock; nil: time.Now
}

// now returns the current instant.
func (c clock) now() time.Duration { return clockEpoch + time.Since(c.started) }

// time converts an instant to a time.Time with a monotonic clock reading.
func (c clock) time(instant time.Duration) time.Time { return c.started.Add(instant - clockEpoch) }

// instant converts a Unix time in milliseconds to an instant, using the offset between the wall
// clock and the monotonic clock at the clock's start. If the wall clock was stepped since then, it
// is unknown whether the Unix time was read before or after the step. In that case, instant
// converts it with the original and with the current offset and returns the later instant.
func (c clock) instant(unixMs int64) time.Duration {
	now, wall := c.now(), time.Now()
	if c.wall != nil {
		wall = c.wall()
	}
	byStartOffset := clockEpoch + time.Duration(unixMs-c.started.UnixMilli())*time.Millisecond
	byCurrentOffset := now + time.Duration(unixMs-wall.UnixMilli())*time.Millisecond
	wasStepped := (byCurrentOffset - byStartOffset).Abs() > maxClockDrift
	if wasStepped {
		return max(byStartOffset, byCurrentOffset, 0)
	}
	return max(byStartOffset, 0)
}
