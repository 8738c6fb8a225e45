package virtual

import "time"

// party is whoever schedules events. Events of one instant run in the order of their parties' ranks, which come from
// names, and then in the order of scheduling: the order in which parties were made does not matter.
type party struct {
	rank uint64
	seq  uint64
}

type event struct {
	at   time.Duration
	rank uint64
	seq  uint64
	do   func(now time.Duration)
}

// schedule is a four-ary heap of events: half the depth of a binary one, and no interface on the hottest path.
type schedule struct {
	now  time.Duration
	heap []event
}

func before(a, b *event) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.seq < b.seq
}

// at schedules do for an instant, now at the earliest.
func (s *schedule) at(p *party, at time.Duration, do func(now time.Duration)) {
	p.seq++
	e := event{max(at, s.now), p.rank, p.seq, do}
	s.heap = append(s.heap, e)
	i := len(s.heap) - 1
	for i > 0 {
		parent := (i - 1) / 4
		if !before(&e, &s.heap[parent]) {
			break
		}
		s.heap[i] = s.heap[parent]
		i = parent
	}
	s.heap[i] = e
}

// step runs the next event if it is due by end, and tells whether it was.
func (s *schedule) step(end time.Duration) bool {
	if len(s.heap) == 0 || s.heap[0].at > end {
		return false
	}
	top := s.heap[0]
	last := len(s.heap) - 1
	e := s.heap[last]
	s.heap[last] = event{}
	s.heap = s.heap[:last]
	if last > 0 {
		i := 0
		for {
			least, first := -1, 4*i+1
			for c := first; c < min(first+4, last); c++ {
				if least < 0 || before(&s.heap[c], &s.heap[least]) {
					least = c
				}
			}
			if least < 0 || !before(&s.heap[least], &e) {
				break
			}
			s.heap[i] = s.heap[least]
			i = least
		}
		s.heap[i] = e
	}
	s.now = top.at
	top.do(top.at)
	return true
}
