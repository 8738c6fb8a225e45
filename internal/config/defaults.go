package config

import "time"

// Defaults for attributes that the file does not set.
const (
	defaultMemory            = 192 << 20 // bytes
	defaultMaxConns          = 1024
	defaultStopTimeout       = 30 * time.Second
	defaultHandoverTimeout   = 30 * time.Second
	defaultSnapshotInterval  = 10 * time.Second
	defaultSnapshotMaxAge    = 5 * time.Minute
	defaultPoolConns         = 512
	defaultSlowStartCapacity = 0.3
	defaultSlowStartWindow   = 10 * time.Second
	defaultSlowStartShare    = 0.9 // no new endpoint was overloaded in 8,000 runs (docs/results/fleet.md)
	defaultLatencyObjective  = time.Second
	defaultPriorityWeight    = 1
	defaultClientTimeout     = 10 * time.Second
	defaultMaxAttempts       = 3
)

// Bounds on the values that a file may set.
const (
	minMemory           = 32 << 20 // bytes
	minMaxConns         = 16
	minStopTimeout      = time.Second
	minSnapshotInterval = time.Second
	minPoolConns        = 4
	minSubset           = 3 // with 2, both may be impaired at once: one slow, the other restarting
	maxSlowStartShare   = 4
	minHedgePercentile  = 50
	maxHedgePercentile  = 100 // exclusive
)

// Memory that the process needs for a number of connections, in bytes.
const (
	baseMemory    = 20 << 20 // with no connections
	memoryPerConn = 12 << 10 // for each idle connection, measured with 10,000 of them
)
