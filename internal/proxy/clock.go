package proxy

import "time"

// clockEpoch is the reading of a clock at its start. It is well above zero, so that 0 means long
// ago and starts of endpoints before this process's own have instants too.
const clockEpoch = 24 * time.Hour

// maxClockDrift is by how much the wall clock may drift from the monotonic clock. A larger
// difference is a step of the wall clock.
const maxClockDrift = time.Second

// clock gives instants: a monotonic reading since its start.
type clock struct {
	started time.Time
	wall    func() time.Time // the wall clock; nil: time.Now
}

// now returns the present instant.
func (c clock) now() time.Duration { return clockEpoch + time.Since(c.started) }

// time returns an instant as a time with a monotonic reading.
func (c clock) time(instant time.Duration) time.Time { return c.started.Add(instant - clockEpoch) }

// instant converts a Unix time in milliseconds, by the offset that the wall clock had at the
// clock's start. If the wall clock was stepped since, it is unknown whether the time was read
// before or after the step: instant returns the later of the two conversions.
func (c clock) instant(unixMs int64) time.Duration {
	now, wall := c.now(), time.Now()
	if c.wall != nil {
		wall = c.wall()
	}
	byStartOffset := clockEpoch + time.Duration(unixMs-c.started.UnixMilli())*time.Millisecond
	byPresentOffset := now + time.Duration(unixMs-wall.UnixMilli())*time.Millisecond
	wasStepped := (byPresentOffset - byStartOffset).Abs() > maxClockDrift
	if wasStepped {
		return max(byStartOffset, byPresentOffset, 0)
	}
	return max(byStartOffset, 0)
}
