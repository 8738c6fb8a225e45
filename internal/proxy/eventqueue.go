package proxy

import "time"

// eventQueue holds the events that arose while another one was handled, the oldest first. Pool.mu
// guards it.
type eventQueue struct{ events []func(now time.Duration) }

// push adds an event.
func (q *eventQueue) push(event func(now time.Duration)) { q.events = append(q.events, event) }

// pop removes the oldest event and returns it, or nil if there is none.
func (q *eventQueue) pop() func(now time.Duration) {
	if len(q.events) == 0 {
		return nil
	}
	oldest := q.events[0]
	q.events = q.events[1:]
	return oldest
}
