package proxy

import "time"

const (
	// maxListingDelay bounds the time from an endpoint's start until it is listed, while endpoint
	// discovery works.
	maxListingDelay = 10 * time.Second

	// pruneMargin is the number of entries that startTimes may hold beyond twice the number of
	// listed endpoints before it is pruned.
	pruneMargin = 100
)

// startTimes converts the listed start times of endpoints from wall-clock time to instants.
//
// Slow start lasts a fixed span of real time, but the wall clock may be stepped at any time, on
// this machine or on the one that read the start time. If a start time contradicts this process's
// clock or earlier lists, the endpoint counts as started when that start time was first listed. An
// endpoint must not be treated as warmed up too soon, because all instances together could overload
// it.
//
// It is guarded by Pool.mu.
type startTimes struct {
	clock         clock
	byID          map[string]listedStart
	listCurrentAt time.Duration // when discovery last confirmed that the list is up to date; 0: never
}

// listedStart is a start time as it was listed, and the instant to which it was converted at that
// time. The same start time must always convert to the same instant; a different instant would be
// mistaken for a restart.
type listedStart struct {
	unixMs int64
	at     time.Duration
}

// instant returns the instant at which an endpoint started. unixMs is its listed start time, where
// 0 means long ago, as it does in the result.
func (s *startTimes) instant(now time.Duration, id string, unixMs int64) time.Duration {
	if unixMs <= 0 {
		delete(s.byID, id)
		return 0
	}
	previous, hasPrevious := s.byID[id]
	if hasPrevious && previous.unixMs == unixMs {
		return previous.at
	}
	at := max(s.clock.instant(unixMs), previous.at)
	inFuture := at > now
	clockSetBack := hasPrevious && unixMs < previous.unixMs
	listedTooLate := at < s.listCurrentAt-maxListingDelay
	if inFuture || clockSetBack || listedTooLate {
		at = now
	}
	s.byID[id] = listedStart{unixMs, at}
	return at
}

// prune removes the entries of endpoints that are not listed, once there are more entries than
// twice the number of listed endpoints plus pruneMargin.
func (s *startTimes) prune(listed map[string]Endpoint) {
	if len(s.byID) <= 2*len(listed)+pruneMargin {
		return
	}
	for id := range s.byID {
		if _, isListed := listed[id]; !isListed {
			delete(s.byID, id)
		}
	}
}
