package proxy

import (
	"bytes"
	"log/slog"
	"testing"

	"rowancart/balancer"
)

// TestLogEventsHaveAttributes checks the log lines that are written for the Balancer's log events.
func TestLogEventsHaveAttributes(t *testing.T) {
	for _, c := range []struct {
		name  string
		event balancer.LogEvent
		want  string
	}{
		{"unresponsive endpoint", balancer.LogEvent{Kind: balancer.EndpointUnresponsive, Endpoint: "h:1"},
			"level=INFO msg=\"endpoint unresponsive\" endpoint=h:1\n"},
		{"exhausted capacity", balancer.LogEvent{Kind: balancer.CapacityExhausted, QueuedRequests: 3},
			"level=INFO msg=\"capacity exhausted\" queued=3\n"},
		{"another kind", balancer.LogEvent{Kind: 9}, "level=INFO msg=LogKind(9)\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			withoutTime := func(_ []string, a slog.Attr) slog.Attr {
				if a.Key == slog.TimeKey {
					return slog.Attr{}
				}
				return a
			}
			log := slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{ReplaceAttr: withoutTime}))
			host{&Pool{log: log}}.Log(c.event)
			if out.String() != c.want {
				t.Errorf("got log line %q, want %q", out.String(), c.want)
			}
		})
	}
}
