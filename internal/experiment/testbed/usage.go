package testbed

import (
	"time"

	"rowancart/internal/experiment/invariant"
)

const (
	usageInterval = 250 * time.Millisecond // between two measurements of a program's resource usage
	cpuInterval   = time.Second            // minimum, over which CPU time is averaged
)

// cpuMeter averages a program's CPU usage over intervals of at least cpuInterval. If start is 0,
// the first interval begins with the first measurement.
type cpuMeter struct {
	cpuTime time.Duration // at the start of the current interval
	start   time.Duration // of the current interval; 0 if none has begun
}

// cores returns the mean number of cores used since the start of the current interval, and begins
// the next interval. While the current interval is shorter than cpuInterval, it returns 0 and the
// interval continues.
func (m *cpuMeter) cores(now, cpuTime time.Duration) float64 {
	elapsed := now - m.start
	begun := m.start > 0
	if begun && elapsed < cpuInterval {
		return 0
	}
	used := cpuTime - m.cpuTime
	m.cpuTime = cpuTime
	m.start = now
	if !begun {
		return 0
	}
	return used.Seconds() / elapsed.Seconds()
}

// monitorUsage measures the resource usage of the programs and checks it against their limits,
// until the run ends.
func (r *testRun) monitorUsage() {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, s := range r.allSidecars() {
			s.checkUsage()
		}
	}
}

// checkUsage measures the resource usage of the running program, if there is one, and checks it
// against the limits.
func (s *sidecar) checkUsage() {
	s.mu.Lock()
	if s.running == nil {
		s.mu.Unlock()
		return
	}
	usage, err := s.running.Usage()
	now := s.run.now()
	if err != nil { // it has exited: watchExit records that
		s.mu.Unlock()
		return
	}
	cores := s.cpu.cores(now, usage.CPUTime)
	s.mu.Unlock()
	s.run.checker.CheckUsage(now, invariant.Usage{
		Instance:    s.name,
		MemoryMB:    usage.MemoryMB,
		Descriptors: usage.Descriptors,
		Cores:       cores,
	}, s.run.experiment.Site.Limits)
	s.run.recordPeakUsage(usage)
}

// recordPeakUsage updates the peaks of memory and descriptors with a measurement.
func (r *testRun) recordPeakUsage(u Usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cost.MemoryMB = max(r.cost.MemoryMB, u.MemoryMB)
	r.cost.Descriptors = max(r.cost.Descriptors, u.Descriptors)
}

// recordCost adds the resource usage of a program to the cost of the run. The caller stops the
// program next.
func (r *testRun) recordCost(p Instance) {
	usage, err := p.Usage()
	if err != nil { // it has exited
		return
	}
	r.recordPeakUsage(usage)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cost.CPUSeconds += usage.CPUTime.Seconds()
}
