package server

import "time"

// collapse is the state of a server that becomes slower when its queue has been long for some time,
// and recovers when its load has been low for some time, or after the maximum duration. A negative
// instant is none.
//
//	normal -- queue above CollapseQueue for CollapseAfter --> collapsed
//	collapsed -- load below RecoveryLoad for RecoveryAfter, or MaxCollapse over --> normal
type collapse struct {
	overloadedSince time.Duration // the queue is too long
	collapsedAt     time.Duration
	recoveringSince time.Duration // collapsed, and the load is low
}

var noCollapse = collapse{overloadedSince: -1, collapsedAt: -1, recoveringSince: -1}

// Collapsed reports whether the server has collapsed and not yet recovered.
func (s *Server) Collapsed() bool { return s.collapse.collapsedAt >= 0 }

// nextCollapseChange returns the instant at which the server collapses or recovers if its load
// stays as it is.
func (s *Server) nextCollapseChange() time.Duration {
	c := &s.collapse
	next := never
	if c.overloadedSince >= 0 && !s.Collapsed() {
		next = c.overloadedSince + s.spec.CollapseAfter
	}
	if s.Collapsed() {
		if s.spec.MaxCollapse > 0 {
			next = min(next, c.collapsedAt+s.spec.MaxCollapse)
		}
		if c.recoveringSince >= 0 {
			next = min(next, c.recoveringSince+s.spec.RecoveryAfter)
		}
	}
	return next
}

// updateCollapse applies the transitions that are due. It is called after each change of the load.
func (s *Server) updateCollapse() {
	if s.spec.CollapseQueue <= 0 || s.down {
		return
	}
	c := &s.collapse
	cores := float64(s.kind.Cores)
	waiting := s.queue.len() + max(s.slotsUsed-s.kind.Cores, 0)
	holdSince(&c.overloadedSince, s.now, float64(waiting) > s.spec.CollapseQueue*cores)
	if !s.Collapsed() {
		if c.overloadedSince >= 0 && s.now-c.overloadedSince >= s.spec.CollapseAfter {
			c.collapsedAt = s.now
			c.recoveringSince = -1
		}
		return
	}
	holdSince(&c.recoveringSince, s.now, float64(s.InFlight()) < s.spec.RecoveryLoad*cores)
	recovered := c.recoveringSince >= 0 && s.now-c.recoveringSince >= s.spec.RecoveryAfter
	tooLong := s.spec.MaxCollapse > 0 && s.now-c.collapsedAt >= s.spec.MaxCollapse
	if recovered || tooLong {
		*c = noCollapse
	}
}

// holdSince updates the instant since which a condition holds. It is negative while the condition
// does not hold.
func holdSince(since *time.Duration, now time.Duration, holds bool) {
	switch {
	case !holds:
		*since = -1
	case *since < 0:
		*since = now
	}
}
