package balancer

// Log events: what a Balancer reports to the operators. This file makes no load-balancing
// decisions.

import (
	"fmt"
	"time"
)

// logInterval is the minimum time between two log events of the same kind.
const logInterval = 10 * time.Second

// LogKind is the kind of a LogEvent.
type LogKind int

// The kinds of log events. Each names the field of LogEvent that is set.
const (
	EndpointUnresponsive LogKind = iota // an endpoint was ejected because it does not respond; sets Endpoint
	CapacityExhausted                   // requests time out in the queue for capacity; sets QueuedRequests
)

// LogEvent is an event for the operators. Events of the same kind are logged at most once in 10
// seconds.
type LogEvent struct {
	Kind           LogKind
	Endpoint       string // ID of the endpoint
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

// log passes an event to the host unless one of the same kind was logged within logInterval.
func (b *Balancer) log(now time.Duration, e LogEvent) {
	if at, ok := b.lastLoggedAt[e.Kind]; ok && now-at < logInterval {
		return
	}
	b.lastLoggedAt[e.Kind] = now
	b.host.Log(e)
}
