package faultproxy

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Direction is a direction through a relay.
type Direction int

// The directions.
const (
	BothDirections Direction = iota
	ToTarget                 // what clients send
	FromTarget               // what the target sends
)

// Fault is what a relay does to connections while the fault is in force. With the zero Fault
// everything passes at once.
type Fault struct {
	Direction Direction     // for Delay, Jitter, Partition and HalfOpen; the other direction has no fault
	Delay     time.Duration // added to each chunk
	Jitter    time.Duration // upper bound of a random delay that is added to each chunk as well
	Loss      float64       // probability that a new connection is reset at once
	// Partition lets nothing pass. What was sent is delivered when the partition ends, as by TCP's
	// retransmissions.
	Partition bool
	// HalfOpen leaves connections open on which nothing passes in this direction, even after the
	// fault has ended.
	HalfOpen bool
	// Reset resets the open connections, and new ones at once.
	Reset bool
}

func (f Fault) appliesTo(d Direction) bool { return f.Direction == BothDirections || f.Direction == d }

// Step is a fault that comes into force at At after the relay's start, for For (0: to the end).
type Step struct {
	At, For time.Duration
	Fault   Fault
}

// Script is a sequence of faults. If steps overlap, the one that begins later is in force.
type Script []Step

// Check returns an error about the first invalid step.
func (s Script) Check() error {
	for i, step := range s {
		if err := step.check(); err != nil {
			return fmt.Errorf("faultproxy: step %d: %w", i+1, err)
		}
	}
	return nil
}

func (s Step) check() error {
	switch f := s.Fault; {
	case s.At < 0 || s.For < 0:
		return errors.New("times must not be negative")
	case f.Loss < 0 || f.Loss > 1:
		return fmt.Errorf("loss %g is not a probability", f.Loss)
	case f.Delay < 0 || f.Jitter < 0:
		return errors.New("delays must not be negative")
	case f.Direction < BothDirections || f.Direction > FromTarget:
		return fmt.Errorf("no such direction %d", f.Direction)
	}
	return nil
}

// At returns the fault in force at a time after the start.
func (s Script) At(elapsed time.Duration) Fault {
	steps := slices.Clone(s)
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	var current Fault
	for _, step := range steps {
		if step.At <= elapsed && (step.For == 0 || elapsed < step.At+step.For) {
			current = step.Fault
		}
	}
	return current
}

// Next returns the first time after elapsed at which the fault in force may change, and false if
// there is none.
func (s Script) Next(elapsed time.Duration) (next time.Duration, ok bool) {
	consider := func(at time.Duration) {
		if at > elapsed && (!ok || at < next) {
			next, ok = at, true
		}
	}
	for _, step := range s {
		consider(step.At)
		if step.For > 0 {
			consider(step.At + step.For)
		}
	}
	return next, ok
}
