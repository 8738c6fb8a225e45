package invariant

import (
	"time"

	"rowancart/internal/experiment"
)

// cpuTolerance allows for the resolution of the kernel's CPU times, which is 10 ms.
const cpuTolerance = 1.05

// RecordImproperPeer records how a connection ended whose peer sent no proper request; sent
// describes what it did send. The program responded or closed the connection at ended, or if
// responded is false, it had done neither by then. Served says that the response was that of a
// served request.
func (c *Checker) RecordImproperPeer(connected, ended time.Duration, sent string, responded, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.rules.ImproperPeerTimeout
	switch {
	case served:
		c.addViolation(RuleImproperPeer, ended, "a peer that %s was served", sent)
	case !responded || limit > 0 && ended-connected > limit+c.slack:
		c.addViolation(RuleImproperPeer, ended, "a peer that %s had no end after %v", sent, ended-connected)
	}
}

// Usage is what a program used at one moment.
type Usage struct {
	Instance    string
	MemoryMB    float64
	Descriptors int
	Cores       float64 // mean since the measurement before
}

// CheckUsage compares a program's usage with the limits.
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
