package proxy

import "time"

// clockEpoch is the reading of a clock at its start. It is well above zero, so that 0 means long
// ago and starts of endpoints before this process's own have instants too.
const clockEpoch = 24 * time.Hour

// maxClockDrift is by how much the wall clock may move against the monotonic clock without having
// been stepped.
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

// instant converts wall time in ms, by the offset that the wall clock had at the clock's start.
// Where the wall clock was stepped since, it is the later of that and of the one by its present
// offset: it can't be told which of the two the time was read from.
func (c clock) instant(unixMs int64) time.Duration {
	now, wall := c.now(), time.Now()
	if c.wall != nil {
		wall = c.wall()
	}
	byStart := clockEpoch + time.Duration(unixMs-c.started.UnixMilli())*time.Millisecond
	byPresent := now + time.Duration(unixMs-wall.UnixMilli())*time.Millisecond
	if (byPresent - byStart).Abs() <= maxClockDrift {
		return max(byStart, 0)
	}
	return max(byStart, byPresent, 0)
}
