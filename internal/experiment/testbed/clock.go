package testbed

import (
	"sync/atomic"
	"time"
)

// clock measures the time since the start of a run. It is safe for concurrent use.
type clock struct{ startedAt atomic.Int64 } // Unix time in ns

// restart sets the start of the run to the current time.
func (c *clock) restart() { c.startedAt.Store(time.Now().UnixNano()) }

// startTime returns the start of the run.
func (c *clock) startTime() time.Time { return time.Unix(0, c.startedAt.Load()) }

// now returns the time since the start of the run.
func (c *clock) now() time.Duration { return time.Duration(time.Now().UnixNano() - c.startedAt.Load()) }
