package proxy

import "time"

// maxNewsDelay is how long after its start an endpoint may be listed at the latest, while endpoint
// discovery works.
const maxNewsDelay = 10 * time.Second

// startTimes converts the starts of endpoints from wall time, as they are listed, to instants. The
// wall clock may be stepped at any time, here or where the start was read, and a slow start is a
// span of real time: where the clocks disagree, an endpoint counts as started when that was heard
// of. An endpoint that is taken for warm too soon could be overloaded by all instances together.
//
// Pool.mu guards it.
type startTimes struct {
	clock     clock
	byID      map[string]listedStart
	currentAt time.Duration // when the list was last known to be up to date; 0: never
}

// listedStart is a start as it was listed, and the instant that it was given then. The same start
// must always become the same instant, or an old one would pass for a restart.
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
	unlistedTill := s.currentAt - maxNewsDelay
	setBack := isKnown && unixMs < known.unixMs
	if at > now || setBack || at < unlistedTill {
		at = now
	}
	s.byID[id] = listedStart{unixMs, at}
	return at
}

// prune forgets the endpoints that are not listed, once most are not.
func (s *startTimes) prune(listed map[string]Endpoint) {
	const spare = 100
	if len(s.byID) <= 2*len(listed)+spare {
		return
	}
	for id := range s.byID {
		if _, ok := listed[id]; !ok {
			delete(s.byID, id)
		}
	}
}
