package server

import "time"

// warmupStep is the interval at which the capacity of a server that warms up is updated.
const warmupStep = 20 * time.Millisecond

// warmupLoad records the work that arrives at a server while it warms up. The server crashes if
// that work exceeds its budget.
type warmupLoad struct {
	recent     []workArrival // arrivals within Rules.OverloadWindow
	sum        float64       // total work of recent, in seconds
	peak       float64       // see Server.WarmupPeak
	overloaded bool          // the server has crashed because of overload
}

// workArrival is the arrival of a request with some work, in seconds.
type workArrival struct {
	at   time.Duration
	work float64
}

// restart begins another warm-up. It keeps the peak, which is the maximum of all warm-ups.
func (w *warmupLoad) restart() {
	w.clearRecent()
	w.overloaded = false
}

func (w *warmupLoad) clearRecent() {
	w.recent = nil
	w.sum = 0
}

// CapacityFraction returns the server's present fraction of its full capacity. It grows linearly
// during the warm-up.
func (s *Server) CapacityFraction(now time.Duration) float64 {
	if s.started < 0 || s.spec.WarmupTime <= 0 || now-s.started >= s.spec.WarmupTime {
		return 1
	}
	return s.spec.InitialCapacity +
		(1-s.spec.InitialCapacity)*float64(max(now-s.started, 0))/float64(s.spec.WarmupTime)
}

// Capacity returns the work that the server can do per second, in seconds on a core of speed 1. It
// ignores faults that slow the server down, because senders cannot know of them.
func (s *Server) Capacity(now time.Duration) float64 {
	return float64(s.kind.Cores) * s.kind.Speed * s.CapacityFraction(now)
}

// WarmupBudget returns the work that a server that warms up may be sent within
// Rules.OverloadWindow, in seconds.
func (s *Server) WarmupBudget(now time.Duration) float64 {
	return s.rules.WarmupOverload * s.Capacity(now) * s.rules.OverloadWindow.Seconds()
}

// recordWarmupWork records work that arrives at a server that warms up, and crashes the server if
// the work exceeds its budget. The latest request does not count: otherwise nothing could be sent
// to a server that is so small that a single request exceeds its budget.
func (s *Server) recordWarmupWork(now time.Duration, work float64) {
	w := &s.warmup
	if s.rules.WarmupOverload <= 0 || s.CapacityFraction(now) == 1 {
		w.clearRecent()
		return
	}
	w.recent = append(w.recent, workArrival{now, work})
	w.sum += work
	for len(w.recent) > 0 && w.recent[0].at <= now-s.rules.OverloadWindow {
		w.sum -= w.recent[0].work
		w.recent = w.recent[1:]
	}
	if len(w.recent) > 1 {
		budget := s.WarmupBudget(now)
		w.peak = max(w.peak, s.rules.WarmupOverload*(w.sum-work)/budget)
		if w.sum-work > budget {
			w.overloaded = true
			s.down = true
		}
	}
}

// WarmupPeak returns the maximum work that was sent to the server within Rules.OverloadWindow while
// it warmed up, as a multiple of its capacity at that time.
func (s *Server) WarmupPeak() float64 { return s.warmup.peak }

// Overloaded reports whether the server has crashed because more work than its budget was sent to
// it while it warmed up.
func (s *Server) Overloaded() bool { return s.warmup.overloaded }
