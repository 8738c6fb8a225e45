package faultproxy

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Direction is a direction of data through a relay.
type Direction int

// The directions that a fault can apply to.
const (
	BothDirections Direction = iota
	ToTarget                 // data that clients send
	FromTarget               // data that the target sends
)

// Fault describes how a relay disturbs connections while the fault is in force. The zero Fault is
// none: all data passes without delay.
type Fault struct {
	Direction Direction     // for Delay, Jitter, Partition and HalfOpen; the other direction is unaffected
	Delay     time.Duration // added to each chunk
	Jitter    time.Duration // upper bound of a random delay that is also added to each chunk
	Loss      float64       // probability that a new connection is reset at once
	// Partition holds back all data in Direction. It is delivered when the partition ends, as TCP
	// would do by retransmission.
	Partition bool
	// HalfOpen discards all data in Direction and leaves the connections open. A connection on which
	// data arrived during the fault stays half-open after the fault has ended.
	HalfOpen bool
	// Reset resets all open connections, and each new connection when it is accepted.
	Reset bool
}

func (f Fault) appliesTo(d Direction) bool { return f.Direction == BothDirections || f.Direction == d }

// Step is a fault that comes into force when At has passed since the relay's start, and lasts for
// For (0: until the relay is closed).
type Step struct {
	At, For time.Duration
	Fault   Fault
}

// Script is a schedule of faults. If steps overlap, the one that begins later is in force.
type Script []Step

// Check returns an error that names the first invalid step, or nil.
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
		return errors.New("negative At or For")
	case f.Loss < 0 || f.Loss > 1:
		return fmt.Errorf("loss %g is not a probability from 0 to 1", f.Loss)
	case f.Delay < 0 || f.Jitter < 0:
		return errors.New("negative Delay or Jitter")
	case f.Direction < BothDirections || f.Direction > FromTarget:
		return fmt.Errorf("unknown direction %d", f.Direction)
	}
	return nil
}

// At returns the fault that is in force when elapsed has passed since the relay's start.
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

// Next returns the first time after elapsed at which the fault in force may change. Both are
// measured from the relay's start. Next returns false if there is no such time.
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
