package balancer

import (
	"testing"
	"time"
)

// logRecorder is a Host that records log events. Other calls panic, since the embedded Host is nil.
type logRecorder struct {
	Host
	events []LogEvent
}

func (r *logRecorder) Log(e LogEvent) { r.events = append(r.events, e) }

// The simulator's protocol carries these texts.
func TestLogEventText(t *testing.T) {
	for _, c := range []struct {
		event LogEvent
		want  string
	}{
		{LogEvent{Kind: EndpointUnresponsive, Endpoint: "h:1"}, "silent: h:1 answers nothing and gets trials only"},
		{LogEvent{Kind: CapacityExhausted, QueuedRequests: 3}, "full: no endpoint has room, 3 requests wait"},
		{LogEvent{Kind: 7}, "LogKind(7)"},
	} {
		if got := c.event.String(); got != c.want {
			t.Errorf("event %+v has the text %q, want %q", c.event, got, c.want)
		}
	}
}

// At most one event of each kind is passed to the host in an interval, even if the fields differ.
func TestLogEventsAreLimitedByKind(t *testing.T) {
	r := &logRecorder{}
	b := New(0, Settings{}, r)
	first := LogEvent{Kind: EndpointUnresponsive, Endpoint: "a"}
	second := LogEvent{Kind: EndpointUnresponsive, Endpoint: "b"}
	otherKind := LogEvent{Kind: CapacityExhausted, QueuedRequests: 1}
	b.log(time.Second, first)
	b.log(time.Second+logInterval-1, second)
	b.log(time.Second+logInterval-1, otherKind)
	b.log(time.Second+logInterval, second)
	want := []LogEvent{first, otherKind, second}
	if len(r.events) != len(want) {
		t.Fatalf("events %v, want %v", r.events, want)
	}
	for i := range want {
		if r.events[i] != want[i] {
			t.Errorf("event %d is %v, want %v", i, r.events[i], want[i])
		}
	}
}
