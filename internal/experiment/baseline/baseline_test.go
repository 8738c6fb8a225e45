package baseline

import (
	"slices"
	"testing"
	"time"

	"rowancart/balancer"
)

// recordingHost records the actions of a policy.
type recordingHost struct {
	sent     []string // endpoints to which attempts were sent, in order
	rejected []balancer.Reason
	failed   []balancer.Reason
}

func (h *recordingHost) Send(_, endpoint string, _ time.Duration) { h.sent = append(h.sent, endpoint) }
func (h *recordingHost) Cancel(string, int)                       {}
func (h *recordingHost) Subscribe()                               {}
func (h *recordingHost) Timer(time.Duration)                      {}
func (h *recordingHost) Log(balancer.LogEvent)                    {}

func (h *recordingHost) Reject(_ string, reason balancer.Reason, _ time.Duration) {
	h.rejected = append(h.rejected, reason)
}

func (h *recordingHost) Fail(_ string, reason balancer.Reason) { h.failed = append(h.failed, reason) }

// newPolicy returns a policy whose endpoints are all ready. It has an idempotent class "get" and a
// non-idempotent class "post".
func newPolicy(t *testing.T, name string, endpoints ...string) (*Policy, *recordingHost) {
	t.Helper()
	h := &recordingHost{}
	p, err := New(name, balancer.Settings{
		Seed:        1,
		MaxAttempts: 3,
		Classes: []balancer.Class{
			{Name: "get", Idempotency: balancer.Idempotent},
			{Name: "post", Idempotency: balancer.NonIdempotent},
		},
	}, h)
	if err != nil {
		t.Fatal(err)
	}
	list := balancer.EndpointList{Complete: true}
	for _, id := range endpoints {
		list.Entries = append(list.Entries, balancer.Endpoint{ID: id, State: balancer.Ready})
	}
	p.EndpointList(0, list)
	return p, h
}

func newRequest(id, class string) balancer.Request {
	return balancer.Request{ID: id, Class: class, Deadline: time.Second}
}

func TestUnknownPolicyNamesTheKnownOnes(t *testing.T) {
	_, err := New("best", balancer.Settings{}, nil)
	const want = `policy "best" is not one of [random round_robin least_outstanding two_choices peak_ewma]`
	if err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}

// An idempotent request that fails is retried at endpoints that it has not been sent to, until its
// attempts are exhausted.
func TestIdempotentRequestsAreRetriedElsewhere(t *testing.T) {
	for _, name := range Names {
		t.Run(name, func(t *testing.T) {
			p, h := newPolicy(t, name, "a", "b", "c", "d")
			p.Request(0, newRequest("1", "get"))
			for attempt := range 3 {
				p.Outcome(0, balancer.Outcome{ID: "1", Attempt: attempt, Result: balancer.Errored})
			}
			slices.Sort(h.sent)
			if len(h.sent) != 3 || len(slices.Compact(h.sent)) != 3 {
				t.Errorf("sent to %v, want three different endpoints", h.sent)
			}
			if !slices.Equal(h.rejected, []balancer.Reason{balancer.AttemptsExhausted}) || len(h.failed) > 0 {
				t.Errorf("rejected %v, failed %v", h.rejected, h.failed)
			}
		})
	}
}

// A non-idempotent request is retried only after attempts that provably did not run.
func TestNonIdempotentRequestsRunOnce(t *testing.T) {
	for _, name := range Names {
		t.Run(name, func(t *testing.T) {
			p, h := newPolicy(t, name, "a", "b", "c")
			p.Request(0, newRequest("1", "post"))
			p.Outcome(0, balancer.Outcome{ID: "1", Attempt: 0, Result: balancer.ConnectFailed})
			p.Outcome(0, balancer.Outcome{ID: "1", Attempt: 1, Result: balancer.Reset})
			if len(h.sent) != 2 {
				t.Errorf("sent to %v, want two attempts", h.sent)
			}
			if !slices.Equal(h.failed, []balancer.Reason{balancer.MayHaveRun}) || len(h.rejected) > 0 {
				t.Errorf("rejected %v, failed %v", h.rejected, h.failed)
			}
		})
	}
}

func TestRequestWithoutEndpointsIsRejected(t *testing.T) {
	p, h := newPolicy(t, "random")
	p.Request(0, newRequest("1", "get"))
	if len(h.sent) > 0 || !slices.Equal(h.rejected, []balancer.Reason{balancer.NoEndpoint}) {
		t.Errorf("sent to %v, rejected %v; want no attempt and one rejection with NoEndpoint", h.sent, h.rejected)
	}
}

func TestDrainingAndRemovedEndpointsGetNoRequests(t *testing.T) {
	p, h := newPolicy(t, "round_robin", "a", "b", "c")
	p.EndpointList(0, balancer.EndpointList{Entries: []balancer.Endpoint{
		{ID: "a", State: balancer.Draining},
		{ID: "b", State: balancer.Removed},
	}})
	for _, id := range []string{"1", "2", "3"} {
		p.Request(0, newRequest(id, "get"))
	}
	if !slices.Equal(h.sent, []string{"c", "c", "c"}) {
		t.Errorf("sent to %v, want all to c", h.sent)
	}
}

func TestRoundRobinAlternates(t *testing.T) {
	p, h := newPolicy(t, "round_robin", "a", "b", "c")
	for _, id := range []string{"1", "2", "3", "4"} {
		p.Request(0, newRequest(id, "get"))
	}
	distinct := slices.Clone(h.sent[:3])
	slices.Sort(distinct)
	if !slices.Equal(distinct, []string{"a", "b", "c"}) || h.sent[3] != h.sent[0] {
		t.Errorf("sent to %v, want a, b and c in some order and then the first again", h.sent)
	}
}

func TestLeastOutstandingPrefersIdleEndpoints(t *testing.T) {
	p, h := newPolicy(t, "least_outstanding", "a", "b", "c")
	for _, id := range []string{"1", "2", "3"} {
		p.Request(0, newRequest(id, "get"))
	}
	p.Outcome(0, balancer.Outcome{ID: "2", Attempt: 0, Result: balancer.OK})
	p.Request(0, newRequest("4", "get"))
	if h.sent[3] != h.sent[1] {
		t.Errorf("sent to %v, want the last to %s, which alone has no request in flight", h.sent, h.sent[1])
	}
}

// A latency above the average replaces the average at once. After that, the average decays toward
// lower latencies.
func TestPeakEWMAFollowsPeaksAtOnce(t *testing.T) {
	var e endpoint
	e.updateCost(0, balancer.Outcome{Result: balancer.OK, Latency: 100 * time.Millisecond})
	if e.cost != 0.1 {
		t.Errorf("cost %g after the first latency, want 0.1", e.cost)
	}
	e.updateCost(time.Second, balancer.Outcome{Result: balancer.OK, Latency: 2 * time.Second})
	if e.cost != 2 {
		t.Errorf("cost %g after a peak, want 2", e.cost)
	}
	e.updateCost(11*time.Second, balancer.Outcome{Result: balancer.OK, Latency: 100 * time.Millisecond})
	if e.cost <= 0.1 || e.cost >= 1 {
		t.Errorf("cost %g one time constant after a peak, want between 0.1 and 1", e.cost)
	}
	before := e
	e.updateCost(12*time.Second, balancer.Outcome{Result: balancer.Canceled, Latency: time.Hour})
	if e.cost != before.cost || e.costUpdated != before.costUpdated {
		t.Error("a canceled attempt changed the cost")
	}
}
