package virtual

import "time"

// eventSource is a component that schedules events. Events due at the same time run in the order of
// their sources' ranks, and events of one source in the order of scheduling. Ranks are derived from
// names, so the order in which components are created does not affect the result.
type eventSource struct {
	rank     uint64
	sequence uint64 // number of events scheduled so far
}

// actor is a component that handles events. An event holds the actor and the number of an action
// instead of a closure, because closures would be most of what a run allocates.
type actor interface {
	act(now time.Duration, action int)
}

// actorFunc is an actor with one action.
type actorFunc func(now time.Duration)

func (f actorFunc) act(now time.Duration, _ int) { f(now) }

type event struct {
	at         time.Duration
	rank       uint64 // of the source
	sequence   uint64 // within its source
	actor      actor
	action     int
	heapIndex  int  // index in the heap, or one of the constants below
	cancelable bool // the component that scheduled it has a reference, so it must not be reused
}

// Values of event.heapIndex for events that are not in the heap.
const (
	notScheduled = -1 - iota // it has run or was canceled
	inTimeSlot
)

const (
	slotLength = time.Millisecond
	numSlots   = 1 << 13
)

// eventQueue holds the scheduled events. Those of the current time slot are in a heap with four
// children a node, which has half the depth of a binary heap. Later events are in slots, unordered:
// most of them are timeouts that are canceled before they reach the heap.
type eventQueue struct {
	now           time.Duration
	nextSlot      int64 // the slot that moves into the heap next
	heap          []*event
	slots         [numSlots][]*event // by slot number modulo numSlots
	beyondSlots   map[int64][]*event // by slot number; nextSlot+numSlots or more when added
	slottedEvents int                // events in slots and beyondSlots, including canceled ones
	freeEvents    []*event           // for reuse
}

// firesBefore reports whether event a runs before event b.
func firesBefore(a, b *event) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.sequence < b.sequence
}

// scheduleFunc schedules a call of f at an instant, or now if the instant is in the past.
func (q *eventQueue) scheduleFunc(source *eventSource, at time.Duration, f func(now time.Duration)) {
	q.schedule(source, at, actorFunc(f), 0)
}

// schedule schedules an action of a at an instant, or now if the instant is in the past.
func (q *eventQueue) schedule(source *eventSource, at time.Duration, a actor, action int) {
	var e *event
	if n := len(q.freeEvents); n > 0 {
		e, q.freeEvents = q.freeEvents[n-1], q.freeEvents[:n-1]
	} else {
		e = &event{}
	}
	q.add(source, e, at, a, action)
}

// scheduleCancelable is like schedule, and returns the event so that it can be canceled.
func (q *eventQueue) scheduleCancelable(source *eventSource, at time.Duration, a actor, action int) *event {
	e := &event{cancelable: true}
	q.add(source, e, at, a, action)
	return e
}

func (q *eventQueue) add(source *eventSource, e *event, at time.Duration, a actor, action int) {
	source.sequence++
	e.at, e.rank, e.sequence, e.actor, e.action = max(at, q.now), source.rank, source.sequence, a, action
	slot := int64(e.at / slotLength)
	if slot < q.nextSlot {
		q.push(e)
		return
	}
	e.heapIndex = inTimeSlot
	q.slottedEvents++
	if slot-q.nextSlot < numSlots {
		q.slots[slot%numSlots] = append(q.slots[slot%numSlots], e)
		return
	}
	if q.beyondSlots == nil {
		q.beyondSlots = map[int64][]*event{}
	}
	q.beyondSlots[slot] = append(q.beyondSlots[slot], e)
}

func (q *eventQueue) push(e *event) {
	q.heap = append(q.heap, e)
	q.siftUp(len(q.heap)-1, e)
}

// fillHeap moves the events of the next non-empty slot into the heap, if the heap is empty.
func (q *eventQueue) fillHeap() {
	for len(q.heap) == 0 && q.slottedEvents > 0 {
		events := q.slots[q.nextSlot%numSlots]
		q.slots[q.nextSlot%numSlots] = events[:0]
		q.pushSlot(events)
		if beyond, ok := q.beyondSlots[q.nextSlot]; ok {
			delete(q.beyondSlots, q.nextSlot)
			q.pushSlot(beyond)
		}
		q.nextSlot++
	}
}

// pushSlot moves a slot's events into the heap, except canceled ones.
func (q *eventQueue) pushSlot(events []*event) {
	q.slottedEvents -= len(events)
	for i, e := range events {
		if e.heapIndex == inTimeSlot {
			q.push(e)
		}
		events[i] = nil
	}
}

// cancel cancels an event. It does nothing if e is nil, has run or was canceled.
func (q *eventQueue) cancel(e *event) {
	switch {
	case e == nil || e.heapIndex == notScheduled:
	case e.heapIndex == inTimeSlot:
		e.heapIndex, e.actor = notScheduled, nil
	default:
		q.remove(e)
	}
}

// remove removes an event from the heap.
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

// siftUp places e at index i or closer to the root.
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

// siftDown places e at index i or further from the root.
func (q *eventQueue) siftDown(i int, e *event) {
	for {
		first, least := 4*i+1, -1
		for child := first; child < min(first+4, len(q.heap)); child++ {
			if least < 0 || firesBefore(q.heap[child], q.heap[least]) {
				least = child
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
	a, action := e.actor, e.action
	q.remove(e)
	q.now = e.at
	if !e.cancelable {
		q.freeEvents = append(q.freeEvents, e)
	}
	a.act(q.now, action)
	return true
}
