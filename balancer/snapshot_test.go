package balancer

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// recordingHost is a Host that records sends and ignores timers. Other calls panic, since the
// embedded Host is nil.
type recordingHost struct {
	Host
	sent map[string]string
}

func (h *recordingHost) Send(id, endpoint string, _ time.Duration) { h.sent[id] = endpoint }
func (h *recordingHost) Timer(time.Duration)                       {}

var (
	learnedSettings = Settings{Classes: []Class{{Name: "look", LatencyObjective: time.Second}},
		SlowStartCapacity: 0.3, SlowStartWindow: 10 * time.Second}
	learnedList = EndpointList{Complete: true, Entries: []Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
)

// learnState returns what a Balancer learns from 200 requests to three endpoints, of which c is
// slow, and the time after the last one.
func learnState(t *testing.T) (LearnedState, time.Duration) {
	t.Helper()
	h := &recordingHost{sent: map[string]string{}}
	now := time.Hour
	b := New(now, learnedSettings, h)
	b.EndpointList(now, learnedList)
	for i := range 200 {
		id := string(rune('0'+i%10)) + string(rune('a'+i/10))
		now += 50 * time.Millisecond
		b.Request(now, Request{ID: id, Class: "look", Deadline: now + 5*time.Second})
		latency := 20 * time.Millisecond
		if h.sent[id] == "c" {
			latency = 400 * time.Millisecond
		}
		b.Outcome(now+latency, Outcome{ID: id, Endpoint: h.sent[id], Result: OK, Latency: latency, Final: true})
		now += latency
	}
	return b.LearnedState(now), now
}

func TestRestoreOfLearnedState(t *testing.T) {
	l, _ := learnState(t)
	h := &recordingHost{sent: map[string]string{}}
	now := 3 * time.Hour // by the clock of another process
	b := New(now, learnedSettings, h)
	b.EndpointList(now, learnedList)
	b.Restore(now, l, time.Second)
	got := b.LearnedState(now)
	if len(got.Latencies) != 1 || got.Latencies[0].BaselineLatency != l.Latencies[0].BaselineLatency ||
		got.ConcurrencyLimit != l.ConcurrencyLimit {
		t.Errorf("state %+v after the restore of %+v", got, l)
	}
	if c := b.byID["c"]; c.active || !b.byID["a"].active || !b.byID["b"].active {
		t.Errorf("active: a %v, b %v, c %v; want a and b only", b.byID["a"].active, b.byID["b"].active, c.active)
	}
	for _, id := range []string{"1", "2", "3", "4"} {
		b.Request(now, Request{ID: id, Class: "look", Deadline: now + 5*time.Second})
		if h.sent[id] == "c" {
			t.Errorf("request %s was sent to the slow endpoint c", id)
		}
	}
}

func TestRestoreLeavesWarmingEndpointsAlone(t *testing.T) {
	l, _ := learnState(t)
	now := 3 * time.Hour
	b := New(now, learnedSettings, &recordingHost{sent: map[string]string{}})
	b.EndpointList(now, EndpointList{Complete: true, Entries: []Endpoint{{ID: "a", Started: now - time.Second},
		{ID: "c"}}})
	b.Restore(now, l, time.Second)
	if a := b.byID["a"]; a.samples.count != 0 {
		t.Errorf("endpoint a, which has just restarted, has %g samples, want 0", a.samples.count)
	}
	if !b.byID["c"].active {
		t.Error("endpoint c, the only warm one, is ejected")
	}
}

// TestRestoreWithstandsInvalidState checks that weights stay valid and requests are sent after the
// restore of any learned state, such as that of a damaged file.
func TestRestoreWithstandsInvalidState(t *testing.T) {
	number := rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), -1, 0, 1e300}))
	rapid.Check(t, func(t *rapid.T) {
		h := &recordingHost{sent: map[string]string{}}
		now := time.Hour
		b := New(now, learnedSettings, h)
		b.EndpointList(now, learnedList)
		l := LearnedState{ConcurrencyLimit: number.Draw(t, "limit"),
			Latencies: []LearnedLatency{{Name: "look", BaselineLatency: number.Draw(t, "baseline"), MeanLatency: number.Draw(t,
				"mean"), Samples: number.Draw(t, "n"),
				Age: time.Duration(rapid.Int64().Draw(t, "age of work"))}},
			Kinds: []LearnedKind{{Weight: number.Draw(t, "w"), Samples: number.Draw(t, "of kind")}}}
		for _, id := range []string{"a", "b", "b", "unknown"} {
			l.Endpoints = append(l.Endpoints, LearnedEndpoint{ID: id, Sum: number.Draw(t, "sum"), Samples: number.Draw(t,
				"samples"),
				Errors: number.Draw(t, "errors"), Active: rapid.Bool().Draw(t, "active")})
		}
		b.Restore(now, l, time.Duration(rapid.Int64().Draw(t, "age")))
		for _, e := range b.endpoints {
			if w := e.weight(); math.IsNaN(w) || math.IsInf(w, 0) || w < 0 || !areValid(e.outcomes.errors, e.samples.count) {
				t.Fatalf("endpoint %s has weight %g or invalid counts after the restore of %+v", e.ID, w, l)
			}
		}
		b.Request(now, Request{ID: "1", Class: "look", Deadline: now + time.Hour})
		if h.sent["1"] == "" {
			t.Fatalf("the request is not sent after the restore of %+v", l)
		}
	})
}

// TestRestoreOfTheRequestRate guards against successors that do not know the request rate. In a
// run with process handovers during a release, a successor delayed the trials of new endpoints as
// if it got a request only every few seconds, and the other endpoints were overloaded meanwhile.
func TestRestoreOfTheRequestRate(t *testing.T) {
	l, now := learnState(t)
	longestDelay := func(restore bool) (delay time.Duration) {
		for seed := range uint64(20) {
			s := learnedSettings
			s.Seed = seed
			b := New(now, s, &recordingHost{sent: map[string]string{}})
			b.EndpointList(now, learnedList)
			if restore {
				b.Restore(now, l, time.Second)
			}
			b.EndpointList(now, EndpointList{Entries: []Endpoint{{ID: "fresh"}}})
			delay = max(delay, b.byID["fresh"].trial.nextAt-now)
		}
		return delay
	}
	if with, without := longestDelay(true), longestDelay(false); with > time.Second || without < 5*with {
		t.Errorf("longest trial delay %v with learned state and %v without; want at most 1s, and 5 times as long without",
			with, without)
	}
}
