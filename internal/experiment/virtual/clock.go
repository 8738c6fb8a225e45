package virtual

import "time"

// party is whoever schedules events. Events of one instant run in the order of their parties' ranks, which come from
// names, and then in the order of scheduling: the order in which parties were made does not matter.
type party struct {
	rank uint64
	seq  uint64
}

// actor is what most events happen to. An event names the actor and what happens: a closure for each would be most of
// what a run allocates.
type actor interface {
	act(now time.Duration, what int)
}

// doing is an actor that does one thing.
type doing func(now time.Duration)

func (f doing) act(now time.Duration, _ int) { f(now) }

type event struct {
	at   time.Duration
	rank uint64
	seq  uint64
	who  actor
	what int
	spot int  // in the heap; far: in a slot; done: it has run or was withdrawn
	kept bool // somebody may withdraw it
}

const (
	done = -1 - iota
	far
)

// slot is the time that one slot of far events covers, and horizon how many slots lie ready.
const (
	slot    = time.Millisecond
	horizon = 1 << 13
)

// schedule holds the events to come: those of the present slot of time in a four-ary heap, half the depth of a binary
// one; later ones in slots, without order. Most of them are time limits that will be kept and withdrawn, and never see
// the heap.
type schedule struct {
	now   time.Duration
	next  int64 // slot that comes into the heap next
	heap  []*event
	slots [horizon][]*event
	later map[int64][]*event // slots beyond the horizon
	out   int                // far events, withdrawn ones included
	spare []*event           // to be used again
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
	s.plan(p, at, doing(do), 0)
}

// plan schedules what happens to who.
func (s *schedule) plan(p *party, at time.Duration, who actor, what int) {
	var e *event
	if n := len(s.spare); n > 0 {
		e, s.spare = s.spare[n-1], s.spare[:n-1]
	} else {
		e = &event{}
	}
	s.add(p, e, at, who, what)
}

// limit schedules what withdraw may take back.
func (s *schedule) limit(p *party, at time.Duration, who actor, what int) *event {
	e := &event{kept: true}
	s.add(p, e, at, who, what)
	return e
}

func (s *schedule) add(p *party, e *event, at time.Duration, who actor, what int) {
	p.seq++
	e.at, e.rank, e.seq, e.who, e.what = max(at, s.now), p.rank, p.seq, who, what
	n := int64(e.at / slot)
	if n < s.next {
		s.push(e)
		return
	}
	e.spot = far
	s.out++
	if n-s.next < horizon {
		s.slots[n%horizon] = append(s.slots[n%horizon], e)
		return
	}
	if s.later == nil {
		s.later = map[int64][]*event{}
	}
	s.later[n] = append(s.later[n], e)
}

func (s *schedule) push(e *event) {
	s.heap = append(s.heap, e)
	s.up(len(s.heap)-1, e)
}

// fill brings the events of the next slot that has any into the heap, if the heap is empty.
func (s *schedule) fill() {
	for len(s.heap) == 0 && s.out > 0 {
		list := s.slots[s.next%horizon]
		s.slots[s.next%horizon] = list[:0]
		s.take(list)
		if late, ok := s.later[s.next]; ok {
			delete(s.later, s.next)
			s.take(late)
		}
		s.next++
	}
}

func (s *schedule) take(list []*event) {
	s.out -= len(list)
	for i, e := range list {
		if e.spot == far {
			s.push(e)
		}
		list[i] = nil
	}
}

// withdraw takes back an event; nil and one that has run are left alone.
func (s *schedule) withdraw(e *event) {
	switch {
	case e == nil || e.spot == done:
	case e.spot == far:
		e.spot, e.who = done, nil
	default:
		s.remove(e)
	}
}

func (s *schedule) remove(e *event) {
	i, last := e.spot, len(s.heap)-1
	moved := s.heap[last]
	s.heap[last] = nil
	s.heap = s.heap[:last]
	e.spot, e.who = done, nil
	if i < last {
		s.down(i, moved)
		s.up(moved.spot, moved)
	}
}

// up places e at i or nearer to the top.
func (s *schedule) up(i int, e *event) {
	for i > 0 {
		parent := s.heap[(i-1)/4]
		if !before(e, parent) {
			break
		}
		s.heap[i], parent.spot = parent, i
		i = (i - 1) / 4
	}
	s.heap[i], e.spot = e, i
}

// down places e at i or further from the top.
func (s *schedule) down(i int, e *event) {
	for {
		first, least := 4*i+1, -1
		for c := first; c < min(first+4, len(s.heap)); c++ {
			if least < 0 || before(s.heap[c], s.heap[least]) {
				least = c
			}
		}
		if least < 0 || !before(s.heap[least], e) {
			break
		}
		s.heap[i] = s.heap[least]
		s.heap[i].spot = i
		i = least
	}
	s.heap[i], e.spot = e, i
}

// step runs the next event if it is due by end, and tells whether it was.
func (s *schedule) step(end time.Duration) bool {
	if s.fill(); len(s.heap) == 0 || s.heap[0].at > end {
		return false
	}
	e := s.heap[0]
	who, what := e.who, e.what
	s.remove(e)
	s.now = e.at
	if !e.kept {
		s.spare = append(s.spare, e)
	}
	who.act(s.now, what)
	return true
}
