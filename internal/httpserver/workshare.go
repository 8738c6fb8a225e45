package httpserver

import "time"

// The share of the server's work that one connection gets for requests that need no endpoint, such
// as invalid and rejected ones. Requests that an endpoint serves are limited by the endpoint's
// latency, because a connection carries one request at a time.
const (
	unservedInterval = time.Millisecond // between two such requests, on average
	unservedBurst    = 100              // such requests that may follow each other without a pause
)

// workShare spaces the requests of one connection that need no endpoint, so that a client that
// sends them at full speed leaves time for other connections.
type workShare struct {
	paidUntil time.Time // unservedInterval after the latest request for each request of the burst
}

// pauseAfterUnserved returns how long the connection must pause after such a request, which ended
// at now.
func (s *workShare) pauseAfterUnserved(now time.Time) time.Duration {
	if s.paidUntil.Before(now) {
		s.paidUntil = now
	}
	s.paidUntil = s.paidUntil.Add(unservedInterval)
	return max(s.paidUntil.Sub(now)-unservedBurst*unservedInterval, 0)
}
