package balancer_test

import (
	"strconv"
	"testing"
	"time"

	"rowancart/balancer"
)

// recordingHost is a host that only records sends.
type recordingHost struct{ endpoint string }

func (m *recordingHost) Send(_, endpoint string, _ time.Duration)    { m.endpoint = endpoint }
func (*recordingHost) Cancel(string, int)                            {}
func (*recordingHost) Reject(string, balancer.Reason, time.Duration) {}
func (*recordingHost) Fail(string, balancer.Reason)                  {}
func (*recordingHost) Subscribe()                                    {}
func (*recordingHost) Timer(time.Duration)                           {}
func (*recordingHost) Log(balancer.LogEvent)                         {}

// BenchmarkEvents measures events by the number of endpoints: request is a request and its outcome
// without load, change is a list of one endpoint that drains or is ready again, and complete is a
// complete list in which nothing has changed.
func BenchmarkEvents(b *testing.B) {
	settings := balancer.Settings{Instances: 1, Resolution: time.Millisecond, Classes: []balancer.Class{{Name: "c",
		LatencyObjective: time.Second}}}
	for _, n := range []int{10, 1_000, 100_000} {
		m := &recordingHost{}
		e := balancer.New(time.Hour, settings, m)
		l := balancer.EndpointList{Complete: true}
		for i := range n {
			l.Entries = append(l.Entries, balancer.Endpoint{ID: "e" + strconv.Itoa(i), Kind: "k" + strconv.Itoa(i%3)})
		}
		e.EndpointList(time.Hour, l)
		now := time.Hour
		b.Run("request/"+strconv.Itoa(n), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				id := strconv.Itoa(i)
				e.Request(now, balancer.Request{ID: id, Class: "c", Deadline: now + time.Second})
				latency := time.Duration(8+i%5) * time.Millisecond
				now += latency
				e.Outcome(now, balancer.Outcome{ID: id, Endpoint: m.endpoint, Latency: latency, Final: true})
			}
		})
		b.Run("change/"+strconv.Itoa(n), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				entry := l.Entries[i/2%len(l.Entries)]
				entry.State = balancer.State((i + 1) % 2)
				now += time.Millisecond
				e.EndpointList(now, balancer.EndpointList{Entries: []balancer.Endpoint{entry}})
			}
		})
		b.Run("complete/"+strconv.Itoa(n), func(b *testing.B) {
			for b.Loop() {
				now += time.Millisecond
				e.EndpointList(now, l)
			}
		})
	}
}
