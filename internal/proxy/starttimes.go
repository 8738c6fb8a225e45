package proxy

import "time"

const (
	// maxListingDelay is how long after its start an endpoint is listed at the latest, while endpoint
	// discovery works.
	maxListingDelay = 10 * time.Second

	// minPrunedStarts is by how many startTimes may exceed twice the listed endpoints before it is
	// pruned.
	minPrunedStarts = 100
)

// startTimes converts the starts of endpoints from wall time, as they are listed, to instants. The
// wall clock may be stepped at any time, here or where the start was read, and slow start lasts a
// span of real time: where the clocks disagree, an endpoint counts as started when its start was
// first listed. An endpoint that is taken for warmed up too soon could be overloaded by all
// instances together.
//
// Pool.mu guards it.
type startTimes struct {
	clock         clock
	byID          map[string]listedStart
	listCurrentAt time.Duration // when the list was last known to be up to date; 0: never
}

// listedStart is a start as it was listed, and the instant that it was given then. The same start
// must always become the same instant, or an old start would be taken for a restart.
type listedStart struct {
	unixMs int64
	at     time.Duration
}

// instant returns when an endpoint started that is listed with this Unix time, 0 for long ago.
func (s *startTimes) instant(now time.Duration, id string, unixMs int64) time.Duration {
	if unixMs <= 0 {
		delete(s.byID, id)
		return 0
	}
	known, isKnown := s.byID[id]
	if isKnown && known.unixMs == unixMs {
		return known.at
	}
	at := max(s.clock.instant(unixMs), known.at)
	inFuture := at > now
	setBack := isKnown && unixMs < known.unixMs
	listedTooLate := at < s.listCurrentAt-maxListingDelay
	if inFuture || setBack || listedTooLate {
		at = now
	}
	s.byID[id] = listedStart{unixMs, at}
	return at
}

// prune forgets the endpoints that are not listed, once most are not.
func (s *startTimes) prune(listed map[string]Endpoint) {
	if len(s.byID) <= 2*len(listed)+minPrunedStarts {
		return
	}
	for id := range s.byID {
		if _, isListed := listed[id]; !isListed {
			delete(s.byID, id)
		}
	}
}
