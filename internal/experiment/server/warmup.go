package server

import "time"

// warmupStep is how often the growth of a warming server's capacity is followed.
const warmupStep = 20 * time.Millisecond

// warmupLoad is the work that arrived at a warming server. One that is sent too much falls over:
// its process dies.
type warmupLoad struct {
	recent   []workArrival // within Rules.OverloadWindow
	sum      float64       // of the work of recent, in seconds
	peak     float64       // see Server.WarmupPeak
	fellOver bool
}

type workArrival struct {
	at   time.Duration
	work float64
}

func (w *warmupLoad) restart() { w.recent, w.sum, w.fellOver = nil, 0, false }

// CapacityFraction returns the fraction of its full capacity that the server has. It grows linearly
// during the warm-up.
func (s *Server) CapacityFraction(now time.Duration) float64 {
	if s.started < 0 || s.spec.WarmupTime <= 0 || now-s.started >= s.spec.WarmupTime {
		return 1
	}
	return s.spec.InitialCapacity +
		(1-s.spec.InitialCapacity)*float64(max(now-s.started, 0))/float64(s.spec.WarmupTime)
}

// Capacity returns the work that the server can do now, in seconds a second. Faults that slow it
// down do not count, because senders cannot know of them.
func (s *Server) Capacity(now time.Duration) float64 {
	return float64(s.kind.Cores) * s.kind.Speed * s.CapacityFraction(now)
}

// WarmupBudget returns the work that a warming server may be sent within Rules.OverloadWindow, in
// seconds.
func (s *Server) WarmupBudget(now time.Duration) float64 {
	return s.rules.WarmupOverload * s.Capacity(now) * s.rules.OverloadWindow.Seconds()
}

// recordWarmupWork adds to the work that arrived at a warming server, which falls over when it is
// more than its budget. The latest request is not counted: otherwise a server so small that a
// single request is over its budget could be sent nothing.
func (s *Server) recordWarmupWork(now time.Duration, work float64) {
	w := &s.warmup
	if s.rules.WarmupOverload <= 0 || s.CapacityFraction(now) == 1 {
		w.recent, w.sum = nil, 0
		return
	}
	w.recent, w.sum = append(w.recent, workArrival{now, work}), w.sum+work
	for len(w.recent) > 0 && w.recent[0].at <= now-s.rules.OverloadWindow {
		w.sum -= w.recent[0].work
		w.recent = w.recent[1:]
	}
	if len(w.recent) > 1 {
		budget := s.WarmupBudget(now)
		w.peak = max(w.peak, s.rules.WarmupOverload*(w.sum-work)/budget)
		if w.sum-work > budget {
			w.fellOver, s.down = true, true
		}
	}
}

// WarmupPeak returns the most work that the server was sent within Rules.OverloadWindow while it
// warmed up, in multiples of its capacity at the time.
func (s *Server) WarmupPeak() float64 { return s.warmup.peak }

// FellOver reports whether the server was sent too much while it warmed up, and has died by that.
func (s *Server) FellOver() bool { return s.warmup.fellOver }
