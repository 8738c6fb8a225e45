package balancer

// Log events: what is logged of the decisions. No decision is made in this
// file.

import (
	"fmt"
	"time"
)

// logInterval is the least time between two log events of one kind.
const logInterval = 10 * time.Second

// LogKind says what a LogEvent reports.
type LogKind int

// The kinds of log events, each with the field of LogEvent that it fills in.
const (
	EndpointUnresponsive LogKind = iota // an endpoint was ejected because it does not respond: Endpoint
	CapacityExhausted                   // requests time out in the queue for capacity: QueuedRequests
)

// LogEvent is an event for the people on call. Events of one kind are logged at most once in 10
// seconds.
type LogEvent struct {
	Kind           LogKind
	Endpoint       string // its ID
	QueuedRequests int
}

// String returns the event as one line of text. The simulator's protocol and the logs of
// experiments carry this text, so its wording is fixed.
func (e LogEvent) String() string {
	switch e.Kind {
	case EndpointUnresponsive:
		return "silent: " + e.Endpoint + " answers nothing and gets trials only"
	case CapacityExhausted:
		return fmt.Sprintf("full: no endpoint has room, %d requests wait", e.QueuedRequests)
	}
	return fmt.Sprintf("LogKind(%d)", e.Kind)
}

// log passes an event to the host unless one of its kind was logged within logInterval.
func (b *Balancer) log(now time.Duration, e LogEvent) {
	if at, ok := b.loggedAt[e.Kind]; ok && now-at < logInterval {
		return
	}
	b.loggedAt[e.Kind] = now
	b.host.Log(e)
}
