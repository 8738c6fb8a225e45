package reference

import (
	"strconv"
	"testing"
	"time"

	. "tuliprock"
)

// mute is a host that only remembers where the latest send went.
type mute struct{ endpoint string }

func (m *mute) Send(_, endpoint string, _ time.Duration) { m.endpoint = endpoint }
func (*mute) Cancel(string, int)                         {}
func (*mute) Refuse(string, time.Duration)               {}
func (*mute) Fail(string)                                {}
func (*mute) Probe(string)                               {}
func (*mute) Subscribe()                                 {}
func (*mute) Timer(time.Duration)                        {}
func (*mute) Log(string)                                 {}

var settings = Settings{Balancers: 1, Resolution: time.Millisecond, Classes: []Class{{Name: "c", Aim: time.Second}}}

var rivals = []struct {
	name string
	make func(h Host) Events
}{
	{"index", func(h Host) Events { return New(time.Hour, settings, h) }},
	{"walk", func(h Host) Events { return newWalker(time.Hour, settings, h) }},
}

// each runs a benchmark for both rivals and all sizes of fleet.
func each(b *testing.B, run func(b *testing.B, e Events, m *mute, l List)) {
	for _, n := range []int{10, 100, 1_000, 10_000, 100_000} {
		for _, r := range rivals {
			b.Run(strconv.Itoa(n)+"/"+r.name, func(b *testing.B) {
				m := &mute{}
				e := r.make(m)
				l := List{Complete: true}
				for i := range n {
					l.Entries = append(l.Entries, Endpoint{ID: "e" + strconv.Itoa(i), Kind: "k" + strconv.Itoa(i%3)})
				}
				e.EndpointList(time.Hour, l)
				run(b, e, m, l)
			})
		}
	}
}

// BenchmarkRequest is one request with its outcome, on a calm day.
func BenchmarkRequest(b *testing.B) {
	each(b, func(b *testing.B, e Events, m *mute, _ List) {
		now := time.Hour
		for i := 0; b.Loop(); i++ {
			id := strconv.Itoa(i)
			e.Request(now, Request{ID: id, Class: "c", Deadline: now + time.Second})
			took := time.Duration(8+i%5) * time.Millisecond
			now += took
			e.Outcome(now, Outcome{ID: id, Endpoint: m.endpoint, Took: took, Final: true})
		}
	})
}

// BenchmarkChange is one endpoint that drains or is back.
func BenchmarkChange(b *testing.B) {
	each(b, func(b *testing.B, e Events, _ *mute, l List) {
		now := time.Hour
		for i := 0; b.Loop(); i++ {
			entry := l.Entries[i/2%len(l.Entries)]
			entry.State = State((i + 1) % 2)
			now += time.Millisecond
			e.EndpointList(now, List{Entries: []Endpoint{entry}})
		}
	})
}

// BenchmarkWholeList is a whole list in which nothing has changed.
func BenchmarkWholeList(b *testing.B) {
	each(b, func(b *testing.B, e Events, _ *mute, l List) {
		for b.Loop() {
			e.EndpointList(time.Hour, l)
		}
	})
}
