package balancer_test

import (
	"strconv"
	"testing"
	"time"

	"rowancart/balancer"
)

// recordingHost is a host that records the endpoint of the latest send and ignores all other calls.
type recordingHost struct{ endpoint string }

func (h *recordingHost) Send(_, endpoint string, _ time.Duration)    { h.endpoint = endpoint }
func (*recordingHost) Cancel(string, int)                            {}
func (*recordingHost) Reject(string, balancer.Reason, time.Duration) {}
func (*recordingHost) Fail(string, balancer.Reason)                  {}
func (*recordingHost) Subscribe()                                    {}
func (*recordingHost) Timer(time.Duration)                           {}
func (*recordingHost) Log(balancer.LogEvent)                         {}

// BenchmarkEvents measures the cost of events for several numbers of endpoints. The case request is
// a request and its outcome without load, change is a list of one endpoint that starts to drain or
// is ready again, and complete is a complete list without changes.
func BenchmarkEvents(b *testing.B) {
	settings := balancer.Settings{Instances: 1, Resolution: time.Millisecond, Classes: []balancer.Class{{Name: "c",
		LatencyObjective: time.Second}}}
	for _, n := range []int{10, 1_000, 100_000} {
		h := &recordingHost{}
		lb := balancer.New(time.Hour, settings, h)
		l := balancer.EndpointList{Complete: true}
		for i := range n {
			l.Entries = append(l.Entries, balancer.Endpoint{ID: "e" + strconv.Itoa(i), Kind: "k" + strconv.Itoa(i%3)})
		}
		lb.EndpointList(time.Hour, l)
		now := time.Hour
		b.Run("request/"+strconv.Itoa(n), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				id := strconv.Itoa(i)
				lb.Request(now, balancer.Request{ID: id, Class: "c", Deadline: now + time.Second})
				latency := time.Duration(8+i%5) * time.Millisecond
				now += latency
				lb.Outcome(now, balancer.Outcome{ID: id, Endpoint: h.endpoint, Latency: latency, Final: true})
			}
		})
		b.Run("change/"+strconv.Itoa(n), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				entry := l.Entries[i/2%len(l.Entries)]
				entry.State = balancer.State((i + 1) % 2)
				now += time.Millisecond
				lb.EndpointList(now, balancer.EndpointList{Entries: []balancer.Endpoint{entry}})
			}
		})
		b.Run("complete/"+strconv.Itoa(n), func(b *testing.B) {
			for b.Loop() {
				now += time.Millisecond
				lb.EndpointList(now, l)
			}
		})
	}
}
