package sidecar

import (
	"fmt"
	"runtime/debug"

	"rowancart/internal/admin"
	"rowancart/internal/httpserver"
	"rowancart/internal/membudget"
	"rowancart/internal/platform"
	"rowancart/internal/proxy"
)

// The defaults for limits that the configuration does not set, and the lowest limits accepted.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minMemoryMB     = 16
	minSockets      = 64
)

// The division of the limits among their consumers.
const (
	// heapLimitFraction is the fraction of the memory limit that is set as the soft memory limit of
	// the Go runtime: beyond it, the garbage collector works harder.
	heapLimitFraction = 0.7
	// bodyMemoryDivisor gives the memory for buffers of long bodies: the memory limit divided by it.
	bodyMemoryDivisor = 8
	// reservedDescriptors is the part of the socket limit that is not available for connections to
	// clients and endpoints, except for spareClientConns of it.
	reservedDescriptors = 64
	// spareClientConns is how many of the reserved descriptors are available for client connections
	// beyond their limit, until idle connections have been closed to make room for them.
	spareClientConns = 16
	// connSides is the number of sides that share the remaining descriptors: clients and endpoints.
	connSides = 2
	// requestMemoryDivisor gives the memory that requests may reserve beyond what each connection may
	// use without asking: the memory limit divided by it.
	requestMemoryDivisor = 6
	// minConns is the minimum number of connections on each side, however low the limits are.
	minConns = 8

	bytesPerMB = 1 << 20
)

// The reserved descriptors must include the descriptors of the admin interface. Otherwise this
// constant is negative and does not compile.
const _ uint = reservedDescriptors - spareClientConns - admin.MaxDescriptors

// The number of processes that share the limits of a sidecar, outside and during a handover.
const (
	processesOutsideHandover = 1
	processesDuringHandover  = 2
)

// Limits are the resource limits of a sidecar. All processes of the sidecar share them.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// validate returns a *platform.FieldError for the first limit that is too low. Zero means that a
// limit is not set.
func (l Limits) validate() error {
	switch {
	case l.Cores < 0:
		return &platform.FieldError{Field: platform.CoresField, Err: fmt.Errorf("%v is negative", l.Cores)}
	case l.MemoryMB != 0 && l.MemoryMB < minMemoryMB:
		return &platform.FieldError{
			Field: platform.MemoryMBField,
			Err:   fmt.Errorf("%d is below the minimum of %d", l.MemoryMB, minMemoryMB),
		}
	case l.Sockets != 0 && l.Sockets < minSockets:
		return &platform.FieldError{
			Field: platform.SocketsField,
			Err:   fmt.Errorf("%d is below the minimum of %d", l.Sockets, minSockets),
		}
	}
	return nil
}

// withDefaults returns the limits with defaults in place of those that are not set.
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

// maxConns returns how many connections a process may have on each side when the given number of
// processes share the limits.
func (l Limits) maxConns(processes int) int {
	return max((l.Sockets-reservedDescriptors)/connSides/processes, minConns)
}

// heapBytes returns the soft memory limit of a process when the given number of processes share the
// limits.
func (l Limits) heapBytes(processes int) int64 {
	return int64(heapLimitFraction * float64(l.MemoryMB) * bytesPerMB / float64(processes))
}

// bodyBytes returns how many bytes of long bodies a process may buffer when the given number of
// processes share the limits.
func (l Limits) bodyBytes(processes int) int {
	return l.MemoryMB * bytesPerMB / bodyMemoryDivisor / processes
}

// requestBytes returns how many bytes the requests of a process may reserve when the given number
// of processes share the limits.
func (l Limits) requestBytes(processes int) int64 {
	return int64(l.MemoryMB * bytesPerMB / requestMemoryDivisor / processes)
}

// limitEnforcer applies this process's share of the limits to all components that consume them.
type limitEnforcer struct {
	limits   Limits
	pool     *proxy.Pool
	server   *httpserver.Server
	listener *httpserver.Listener
	memory   *membudget.Budget // of server
}

// apply sets the share of one process when the given number of processes share the limits.
func (e *limitEnforcer) apply(processes int) {
	debug.SetMemoryLimit(e.limits.heapBytes(processes))
	e.pool.SetMaxConns(e.limits.maxConns(processes))
	e.listener.SetMaxConns(e.limits.maxConns(processes))
	e.memory.SetLimit(e.limits.requestBytes(processes))
	e.server.SetBodyMemory(e.limits.bodyBytes(processes))
	if processes > processesOutsideHandover {
		debug.FreeOSMemory() // the other process needs its share now
	}
}
