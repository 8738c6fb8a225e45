// Package faultproxy puts faults between processes on one machine: a relay on loopback that carries TCP streams or UDP
// datagrams to one target and, as a script or a test says, delays, loses, cuts, half-opens or partitions them. It is the
// project's own rig for tests and the lab; it reaches nothing but loopback, and every relay is bounded in connections,
// bytes and time.
package faultproxy

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Way is a direction through a relay.
type Way int

// The directions: toward the target (what its callers send) and back.
const (
	Both Way = iota
	Forth
	Back
)

// Fault is what a relay does while it holds. The zero Fault passes everything at once.
type Fault struct {
	Way    Way           // that the fault is on; the other passes as if healthy
	Delay  time.Duration // added to each chunk or datagram
	Jitter time.Duration // up to this more, drawn for each; datagrams may overtake each other by it
	Loss   float64       // chance that a datagram is lost, or that a new connection is reset at once
	Hold   bool          // a partition: nothing passes. Streams keep what was sent and deliver it at the heal, as TCP
	// would by its retransmissions; datagrams are lost
	Half bool // half-open: streams stand, nothing passes this way again, and they are never healed
	Cut  bool // streams that stand are reset, new ones refused at once
}

func (f Fault) on(w Way) bool { return f.Way == Both || f.Way == w }

// Step is a fault in force from At, after the relay's start, for For (0: to the end).
type Step struct {
	At, For time.Duration
	Fault   Fault
}

// Script is a timeline of faults. Where steps overlap, the later step is in force.
type Script []Step

// Check tells the first step that cannot be played.
func (s Script) Check() error {
	for i, st := range s {
		switch f := st.Fault; {
		case st.At < 0 || st.For < 0:
			return fmt.Errorf("faultnet: step %d: times must not be negative", i+1)
		case f.Loss < 0 || f.Loss > 1:
			return fmt.Errorf("faultnet: step %d: loss %g is not a share", i+1, f.Loss)
		case f.Delay < 0 || f.Jitter < 0:
			return fmt.Errorf("faultnet: step %d: delays must not be negative", i+1)
		case f.Way < Both || f.Way > Back:
			return fmt.Errorf("faultnet: step %d: no such way %d", i+1, f.Way)
		}
	}
	return nil
}

// At is the fault in force at a time after the start.
func (s Script) At(elapsed time.Duration) Fault {
	steps := slices.Clone(s)
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	var out Fault
	for _, st := range steps {
		if st.At <= elapsed && (st.For == 0 || elapsed < st.At+st.For) {
			out = st.Fault
		}
	}
	return out
}

// Next is the first time after elapsed at which the fault in force may change; false where it never does.
func (s Script) Next(elapsed time.Duration) (time.Duration, bool) {
	var next time.Duration
	found := false
	for _, st := range s {
		ends := []time.Duration{st.At}
		if st.For > 0 {
			ends = append(ends, st.At+st.For)
		}
		for _, t := range ends {
			if t > elapsed && (!found || t < next) {
				next, found = t, true
			}
		}
	}
	return next, found
}
