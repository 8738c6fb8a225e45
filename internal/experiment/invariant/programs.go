package invariant

import (
	"time"

	"rowancart/internal/experiment"
)

// cpuTolerance is multiplied with a program's CPU limit, to allow for the resolution of the
// kernel's CPU times, which is 10 ms.
const cpuTolerance = 1.05

// PeerEnd says how the connection of a peer that sent no valid request ended.
type PeerEnd int

// The ways in which the connection of such a peer can end.
const (
	PeerConnected    PeerEnd = iota // the connection has not ended yet
	PeerDisconnected                // the program sent an error response or closed the connection
	PeerServed                      // the program sent the response of a served request
)

// ImproperPeer is the connection of a peer that sent no valid request.
type ImproperPeer struct {
	Connected time.Duration
	Ended     time.Duration // for PeerConnected: instant of the latest observation
	End       PeerEnd
	Sent      string // what the peer sent, as a predicate for the violation's detail, such as "sent nothing"
}

// RecordImproperPeer records how the connection of a peer that sent no valid request ended.
func (c *Checker) RecordImproperPeer(p ImproperPeer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.rules.ImproperPeerTimeout
	duration := p.Ended - p.Connected
	isLate := limit > 0 && duration > limit+c.slack
	switch {
	case p.End == PeerServed:
		c.addViolation(RuleImproperPeer, p.Ended, "a peer that %s was served", p.Sent)
	case p.End == PeerConnected || isLate:
		c.addViolation(RuleImproperPeer, p.Ended, "a peer that %s had no end after %v", p.Sent, duration)
	}
}

// Usage is the resource usage of a program at one instant.
type Usage struct {
	Instance    string
	MemoryMB    float64
	Descriptors int
	Cores       float64 // mean number of cores used since the previous measurement
}

// CheckUsage compares a program's usage with its limits.
func (c *Checker) CheckUsage(now time.Duration, u Usage, limits experiment.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case limits.MemoryMB > 0 && u.MemoryMB > float64(limits.MemoryMB):
		c.addViolation(RuleLimits, now, "%s uses %.0f MB of %d", u.Instance, u.MemoryMB, limits.MemoryMB)
	case limits.Descriptors > 0 && u.Descriptors > limits.Descriptors:
		c.addViolation(RuleLimits, now, "%s has %d descriptors of %d", u.Instance, u.Descriptors, limits.Descriptors)
	case limits.Cores > 0 && u.Cores > cpuTolerance*limits.Cores:
		c.addViolation(RuleLimits, now, "%s uses %.2f cores of %g", u.Instance, u.Cores, limits.Cores)
	}
}

// RecordCrash records that a program under test exited by itself.
func (c *Checker) RecordCrash(now time.Duration, instance, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(RuleLimits, now, "%s ended by itself: %s", instance, reason)
}
