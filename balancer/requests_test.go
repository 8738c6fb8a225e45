package balancer

import (
	"slices"
	"testing"
	"time"
)

// checkUnanswered checks the unanswered requests of a set and the index stored in each.
func checkUnanswered(t *testing.T, s *requestSet, want ...string) {
	t.Helper()
	var got []string
	for i, req := range s.unanswered {
		if req.unansweredIndex != i {
			t.Errorf("request %s is at index %d, but its unansweredIndex is %d", req.ID, i, req.unansweredIndex)
		}
		got = append(got, req.ID)
	}
	if !slices.Equal(got, want) {
		t.Errorf("unanswered requests %v, want %v", got, want)
	}
}

// newTestRequest returns a request with an ID.
func newTestRequest(id string) *request { return &request{Request: Request{ID: id}, class: &class{}} }

func TestRequestSetOpensAndRemoves(t *testing.T) {
	s := newRequestSet()
	a, b, c := newTestRequest("a"), newTestRequest("b"), newTestRequest("c")
	for _, req := range []*request{a, b, c} {
		s.openRequest(req)
	}
	checkUnanswered(t, &s, "a", "b", "c")
	if s.requests["b"] != b {
		t.Errorf("request b is not stored by its ID: %v", s.requests)
	}
	s.removeUnanswered(a) // the last one moves to its index
	checkUnanswered(t, &s, "c", "b")
	s.removeUnanswered(b)
	checkUnanswered(t, &s, "c")
	s.removeUnanswered(c)
	checkUnanswered(t, &s)
}

// cancelRecorder is a Host that records canceled attempts. Other calls panic, since the embedded
// Host is nil.
type cancelRecorder struct {
	Host
	canceled []int
}

func (r *cancelRecorder) Cancel(_ string, n int) { r.canceled = append(r.canceled, n) }

// A closed request is removed as soon as no attempt is in flight. If canceling is allowed, attempts
// in flight are canceled, except for one whose response is being streamed.
func TestCloseRequest(t *testing.T) {
	for _, c := range []struct {
		name     string
		allowed  bool
		attempts []attempt
		canceled []int
		kept     bool
	}{
		{"without an attempt", true, nil, nil, false},
		{"all attempts ended", true, []attempt{{}, {}}, nil, false},
		{"one in flight", true, []attempt{{}, {inFlight: true}}, []int{1}, true},
		{"one that streams", true, []attempt{{inFlight: true}, {inFlight: true, streaming: true}}, []int{0}, true},
		{"cancel not allowed", false, []attempt{{inFlight: true}}, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			host := &cancelRecorder{}
			b := New(0, Settings{CancelAllowed: c.allowed}, host)
			req := newTestRequest("r")
			req.attempts = c.attempts
			req.queued = true
			b.openRequest(req)
			b.closeRequest(req)
			b.closeRequest(req) // repeating it has no effect
			if !req.answered || req.queued {
				t.Errorf("closed request: answered %v, queued %v, want true and false", req.answered, req.queued)
			}
			if !slices.Equal(host.canceled, c.canceled) {
				t.Errorf("canceled attempts %v, want %v", host.canceled, c.canceled)
			}
			checkUnanswered(t, &b.requestSet)
			if kept := b.requests["r"] != nil; kept != c.kept {
				t.Errorf("request kept: %v, want %v", kept, c.kept)
			}
		})
	}
}

func TestAttemptInFlight(t *testing.T) {
	req := &request{attempts: []attempt{{}, {inFlight: true}}}
	for _, c := range []struct {
		name string
		req  *request
		n    int
		want *attempt
	}{
		{"no request", nil, 0, nil},
		{"a negative number", req, -1, nil},
		{"an attempt that was never made", req, 2, nil},
		{"an attempt that has ended", req, 0, nil},
		{"an attempt in flight", req, 1, &req.attempts[1]},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.req.attemptInFlight(c.n); got != c.want {
				t.Errorf("got attempt %p, want %p", got, c.want)
			}
		})
	}
}

func TestRequestAttemptTimeout(t *testing.T) {
	const now = time.Hour
	for _, c := range []struct {
		name                        string
		untilDeadline, classTimeout time.Duration // time until the deadline; AttemptTimeout of the class
		want                        time.Duration
	}{
		{"to the deadline", time.Second, 0, time.Second},
		{"the class's timeout", time.Second, 300 * time.Millisecond, 300 * time.Millisecond},
		{"the deadline before the timeout", time.Second, time.Minute, time.Second},
		{"the deadline has passed", -time.Second, 0, time.Microsecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			req := newTestRequest("r")
			req.Deadline = now + c.untilDeadline
			req.class.AttemptTimeout = c.classTimeout
			if got := req.attemptTimeout(now); got != c.want {
				t.Errorf("timeout %v, want %v", got, c.want)
			}
		})
	}
}

func TestResultMayHaveRun(t *testing.T) {
	for result, want := range map[Result]bool{OK: true, Errored: true, Rejected: false, TimedOut: true,
		ConnectFailed: false, Reset: true, Canceled: true, NotSent: false} {
		if got := result.mayHaveRun(); got != want {
			t.Errorf("mayHaveRun of result %v is %v, want %v", result, got, want)
		}
	}
}
