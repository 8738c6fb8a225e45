package config

import "time"

// Values of attributes that the file does not set.
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
	defaultSlowStartShare    = 0.9 // overloaded no new endpoint in 8,000 runs (docs/results/fleet.md)
	defaultLatencyObjective  = time.Second
	defaultPriorityWeight    = 1
	defaultClientTimeout     = 10 * time.Second
	defaultMaxAttempts       = 3
)

// Bounds of what a file may set.
const (
	minMemory           = 32 << 20 // bytes
	minMaxConns         = 16
	minStopTimeout      = time.Second
	minSnapshotInterval = time.Second
	minPoolConns        = 4
	minSubset           = 3 // with 2, both may be impaired: one slow, the other restarting
	maxSlowStartShare   = 4
	minHedgePercentile  = 50
	maxHedgePercentile  = 100 // exclusive
)

// Memory that the process needs, in bytes.
const (
	baseMemory    = 20 << 20 // without any connection
	memoryPerConn = 12 << 10 // of an idle connection, as measured with 10,000
)
