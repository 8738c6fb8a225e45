package proxy

import "time"

// eventQueue is a FIFO queue of events that were deferred until the current event has been handled.
// It is guarded by Pool.mu.
type eventQueue struct{ events []func(now time.Duration) }

// push adds an event.
func (q *eventQueue) push(event func(now time.Duration)) { q.events = append(q.events, event) }

// pop removes and returns the oldest event, or returns nil if the queue is empty.
func (q *eventQueue) pop() func(now time.Duration) {
	if len(q.events) == 0 {
		return nil
	}
	oldest := q.events[0]
	q.events = q.events[1:]
	return oldest
}
