package server

import "time"

// loadReports are the readings that responses may still carry.
type loadReports struct {
	readings    []loadReading // by time
	refreshedAt time.Duration // the latest refresh that the readings cover
}

type loadReading struct {
	at       time.Duration
	inFlight float64
}

// recordLoad records the load as it has been up to now, at the refreshes since the last call. It is
// called before each change of the load, so one reading stands for all refreshes up to the next
// reading.
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

// LoadReport returns the number of requests in flight as a response reports it now: delayed, and
// with noise. If the server sends no load reports, ok is false.
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
