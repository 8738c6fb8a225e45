package server

import "time"

// collapse is the state of the overload collapse of a server. The server becomes slower when its
// queue has been long for some time. It recovers when its load has been low for some time, or when
// it has been collapsed for the maximum duration. Each instant is negative while its condition does
// not hold: the queue is not too long, the server has not collapsed, or its load is not low.
//
//	normal -- queue above CollapseQueue for CollapseAfter --> collapsed
//	collapsed -- load below RecoveryLoad for RecoveryAfter, or after MaxCollapse --> normal
type collapse struct {
	overloadedSince time.Duration // since when the queue has been above CollapseQueue
	collapsedAt     time.Duration // when the server collapsed
	recoveringSince time.Duration // since when the load of the collapsed server has been below RecoveryLoad
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

// updateCollapse applies the transitions between normal and collapsed that are due. It is called
// after each change of the load.
func (s *Server) updateCollapse() {
	if s.spec.CollapseQueue <= 0 || s.down {
		return
	}
	c := &s.collapse
	cores := float64(s.kind.Cores)
	waiting := s.queue.len() + max(s.slotsUsed-s.kind.Cores, 0)
	updateSince(&c.overloadedSince, s.now, float64(waiting) > s.spec.CollapseQueue*cores)
	if !s.Collapsed() {
		if c.overloadedSince >= 0 && s.now-c.overloadedSince >= s.spec.CollapseAfter {
			c.collapsedAt = s.now
			c.recoveringSince = -1
		}
		return
	}
	updateSince(&c.recoveringSince, s.now, float64(s.InFlight()) < s.spec.RecoveryLoad*cores)
	recovered := c.recoveringSince >= 0 && s.now-c.recoveringSince >= s.spec.RecoveryAfter
	tooLong := s.spec.MaxCollapse > 0 && s.now-c.collapsedAt >= s.spec.MaxCollapse
	if recovered || tooLong {
		*c = noCollapse
	}
}

// updateSince sets *since to now when the condition begins to hold, and to -1 while it does not
// hold.
func updateSince(since *time.Duration, now time.Duration, holds bool) {
	switch {
	case !holds:
		*since = -1
	case *since < 0:
		*since = now
	}
}
