package sidecar

import (
	"fmt"
	"runtime/debug"

	"rowancart/internal/admin"
	"rowancart/internal/httpserver"
	"rowancart/internal/platform"
	"rowancart/internal/proxy"
)

// The defaults of limits that the configuration lacks, and the least that a sidecar can work with.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minMemoryMB     = 16
	minSockets      = 64
)

// How the limits are divided among their consumers.
const (
	// heapLimitFraction is the part of the memory limit that the heap may take before the garbage
	// collector works harder.
	heapLimitFraction = 0.7
	// bodyMemoryDivisor: one in so many bytes of the memory limit buffers long bodies.
	bodyMemoryDivisor = 8
	// reservedDescriptors are those of the socket limit that serve neither clients nor endpoints,
	// except for spareClientConns.
	reservedDescriptors = 64
	// spareClientConns is how many of the reserved descriptors accept clients before an idle
	// connection is closed in their place.
	spareClientConns = 16
	// connSides is how many sides divide the remaining descriptors: clients and endpoints.
	connSides = 2
	// minConns is the least number of connections on either side, whatever the limits.
	minConns = 8

	bytesPerMB = 1 << 20
)

// The reserved descriptors must cover those of the admin interface: this does not compile
// otherwise.
const _ uint = reservedDescriptors - spareClientConns - admin.MaxDescriptors

// Numbers of processes of one sidecar that share its limits.
const (
	processesAlone          = 1
	processesDuringHandover = 2
)

// Limits are the resource limits of a sidecar. All its processes share them.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// validate returns a *platform.FieldError for the first limit that no sidecar can work with. Zero
// stands for a missing limit.
func (l Limits) validate() error {
	switch {
	case l.Cores < 0:
		return &platform.FieldError{Field: platform.CoresField, Err: fmt.Errorf("%v is not a number of cores", l.Cores)}
	case l.MemoryMB != 0 && l.MemoryMB < minMemoryMB:
		return &platform.FieldError{Field: platform.MemoryMBField, Err: fmt.Errorf("%d is under %d", l.MemoryMB, minMemoryMB)}
	case l.Sockets != 0 && l.Sockets < minSockets:
		return &platform.FieldError{Field: platform.SocketsField, Err: fmt.Errorf("%d is under %d", l.Sockets, minSockets)}
	}
	return nil
}

// withDefaults returns the limits with the defaults of those that are missing.
func (l Limits) withDefaults() Limits {
	if l.Cores == 0 {
		l.Cores = defaultCores
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	return l
}

// maxConns returns how many connections one of so many processes may have on each side.
func (l Limits) maxConns(processes int) int {
	return max((l.Sockets-reservedDescriptors)/connSides/processes, minConns)
}

// heapBytes returns the soft memory limit of one of so many processes.
func (l Limits) heapBytes(processes int) int64 {
	return int64(heapLimitFraction * float64(l.MemoryMB) * bytesPerMB / float64(processes))
}

// bodyBytes returns how many bytes of long bodies one of so many processes may buffer.
func (l Limits) bodyBytes(processes int) int {
	return l.MemoryMB * bytesPerMB / bodyMemoryDivisor / processes
}

// limitEnforcer sets this process's quota of the limits on everything that consumes them.
type limitEnforcer struct {
	limits   Limits
	pool     *proxy.Pool
	server   *httpserver.Server
	listener *httpserver.Listener
}

// apply sets the quota of one process where so many processes share the limits.
func (e *limitEnforcer) apply(processes int) {
	debug.SetMemoryLimit(e.limits.heapBytes(processes))
	e.pool.SetMaxConns(e.limits.maxConns(processes))
	e.listener.SetMaxConns(e.limits.maxConns(processes))
	e.server.SetBodyMemory(e.limits.bodyBytes(processes))
	if processes > processesAlone {
		debug.FreeOSMemory() // the other process needs its quota now
	}
}
