package virtual

import "time"

// eventSource is whoever schedules events. Events of one instant run in the order of their parties' ranks, which come from
// names, and then in the order of scheduling: the order in which parties were made does not matter.
type eventSource struct {
	rank uint64
	seq  uint64
}

// actor is what most events happen to. An event names the actor and what happens: a closure for each would be most of
// what a run allocates.
type actor interface {
	act(now time.Duration, what int)
}

// actorFunc is an actor that does one thing.
type actorFunc func(now time.Duration)

func (f actorFunc) act(now time.Duration, _ int) { f(now) }

type event struct {
	at         time.Duration
	rank       uint64
	seq        uint64
	actor      actor
	action     int
	heapIndex  int  // in the heap; far: in a slot; done: it has run or was withdrawn
	cancelable bool // somebody may withdraw it
}

const (
	notScheduled = -1 - iota
	inTimeSlot
)

// slot is the time that one slot of far events covers, and horizon how many slots lie ready.
const (
	slotLength = time.Millisecond
	numSlots   = 1 << 13
)

// eventQueue holds the events to come: those of the present slot of time in a four-ary heap, half the depth of a binary
// one; later ones in slots, without order. Most of them are time limits that will be kept and withdrawn, and never see
// the heap.
type eventQueue struct {
	now           time.Duration
	nextSlot      int64 // slot that comes into the heap next
	heap          []*event
	slots         [numSlots][]*event
	beyondSlots   map[int64][]*event // slots beyond the horizon
	slottedEvents int                // far events, withdrawn ones included
	freeEvents    []*event           // to be used again
}

func firesBefore(a, b *event) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.seq < b.seq
}

// scheduleFunc schedules do for an instant, now at the earliest.
func (q *eventQueue) scheduleFunc(p *eventSource, at time.Duration, do func(now time.Duration)) {
	q.schedule(p, at, actorFunc(do), 0)
}

// schedule schedules what happens to who.
func (q *eventQueue) schedule(p *eventSource, at time.Duration, who actor, what int) {
	var e *event
	if n := len(q.freeEvents); n > 0 {
		e, q.freeEvents = q.freeEvents[n-1], q.freeEvents[:n-1]
	} else {
		e = &event{}
	}
	q.add(p, e, at, who, what)
}

// scheduleCancelable schedules what withdraw may take back.
func (q *eventQueue) scheduleCancelable(p *eventSource, at time.Duration, who actor, what int) *event {
	e := &event{cancelable: true}
	q.add(p, e, at, who, what)
	return e
}

func (q *eventQueue) add(p *eventSource, e *event, at time.Duration, who actor, what int) {
	p.seq++
	e.at, e.rank, e.seq, e.actor, e.action = max(at, q.now), p.rank, p.seq, who, what
	n := int64(e.at / slotLength)
	if n < q.nextSlot {
		q.push(e)
		return
	}
	e.heapIndex = inTimeSlot
	q.slottedEvents++
	if n-q.nextSlot < numSlots {
		q.slots[n%numSlots] = append(q.slots[n%numSlots], e)
		return
	}
	if q.beyondSlots == nil {
		q.beyondSlots = map[int64][]*event{}
	}
	q.beyondSlots[n] = append(q.beyondSlots[n], e)
}

func (q *eventQueue) push(e *event) {
	q.heap = append(q.heap, e)
	q.siftUp(len(q.heap)-1, e)
}

// fillHeap brings the events of the next slot that has any into the heap, if the heap is empty.
func (q *eventQueue) fillHeap() {
	for len(q.heap) == 0 && q.slottedEvents > 0 {
		list := q.slots[q.nextSlot%numSlots]
		q.slots[q.nextSlot%numSlots] = list[:0]
		q.pushSlot(list)
		if beyond, ok := q.beyondSlots[q.nextSlot]; ok {
			delete(q.beyondSlots, q.nextSlot)
			q.pushSlot(beyond)
		}
		q.nextSlot++
	}
}

func (q *eventQueue) pushSlot(list []*event) {
	q.slottedEvents -= len(list)
	for i, e := range list {
		if e.heapIndex == inTimeSlot {
			q.push(e)
		}
		list[i] = nil
	}
}

// cancel takes back an event; nil and one that has run are left alone.
func (q *eventQueue) cancel(e *event) {
	switch {
	case e == nil || e.heapIndex == notScheduled:
	case e.heapIndex == inTimeSlot:
		e.heapIndex, e.actor = notScheduled, nil
	default:
		q.remove(e)
	}
}

func (q *eventQueue) remove(e *event) {
	i, last := e.heapIndex, len(q.heap)-1
	moved := q.heap[last]
	q.heap[last] = nil
	q.heap = q.heap[:last]
	e.heapIndex, e.actor = notScheduled, nil
	if i < last {
		q.siftDown(i, moved)
		q.siftUp(moved.heapIndex, moved)
	}
}

// siftUp places e at i or nearer to the top.
func (q *eventQueue) siftUp(i int, e *event) {
	for i > 0 {
		parent := q.heap[(i-1)/4]
		if !firesBefore(e, parent) {
			break
		}
		q.heap[i], parent.heapIndex = parent, i
		i = (i - 1) / 4
	}
	q.heap[i], e.heapIndex = e, i
}

// siftDown places e at i or further from the top.
func (q *eventQueue) siftDown(i int, e *event) {
	for {
		first, least := 4*i+1, -1
		for c := first; c < min(first+4, len(q.heap)); c++ {
			if least < 0 || firesBefore(q.heap[c], q.heap[least]) {
				least = c
			}
		}
		if least < 0 || !firesBefore(q.heap[least], e) {
			break
		}
		q.heap[i] = q.heap[least]
		q.heap[i].heapIndex = i
		i = least
	}
	q.heap[i], e.heapIndex = e, i
}

// runNext runs the next event if it is due by end, and reports whether it was.
func (q *eventQueue) runNext(end time.Duration) bool {
	if q.fillHeap(); len(q.heap) == 0 || q.heap[0].at > end {
		return false
	}
	e := q.heap[0]
	who, what := e.actor, e.action
	q.remove(e)
	q.now = e.at
	if !e.cancelable {
		q.freeEvents = append(q.freeEvents, e)
	}
	who.act(q.now, what)
	return true
}
