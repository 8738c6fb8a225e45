package server

import "time"

// loadReports holds the load readings that responses may still report. A server refreshes its load
// report every ServerSpec.ReportInterval, and responses report it after ServerSpec.ReportDelay.
type loadReports struct {
	readings    []loadReading // in the order of time
	refreshedAt time.Duration // instant of the latest refresh that the readings include
}

// loadReading is the load at the instant of a refresh.
type loadReading struct {
	at       time.Duration
	inFlight float64
}

// recordLoad records the load for the refreshes that were due since the last call. It is called
// before each change of the load, so the load was the same at all of these refreshes and one
// reading, at the first refresh, is enough. It also drops readings that are too old to be reported.
func (s *Server) recordLoad() {
	r := &s.reports
	interval := s.spec.ReportInterval
	if interval <= 0 || s.now < r.refreshedAt+interval {
		return
	}
	r.readings = append(r.readings, loadReading{r.refreshedAt + interval, float64(s.InFlight())})
	r.refreshedAt = s.now / interval * interval
	for len(r.readings) > 1 && r.readings[1].at <= s.now-s.spec.ReportDelay {
		r.readings = r.readings[1:]
	}
}

// LoadReport returns the number of requests in flight that a response sent now reports. The number
// is delayed and has random noise. If the server sends no load reports, ok is false.
func (s *Server) LoadReport(now time.Duration) (inFlight float64, ok bool) {
	s.recordLoad()
	if s.spec.ReportInterval <= 0 {
		return 0, false
	}
	for _, reading := range s.reports.readings {
		if reading.at <= now-s.spec.ReportDelay {
			inFlight = reading.inFlight
		}
	}
	return max(inFlight*(1+s.spec.ReportNoise*s.rng.NormFloat64()), 0), true
}
