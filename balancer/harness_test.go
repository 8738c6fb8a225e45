package balancer_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"rowancart/balancer"
)

const ms = time.Millisecond

// harness is a Host that records the actions of its Balancer. Its methods simulate clients and
// endpoints: they report events to the Balancer.
type harness struct {
	t            *testing.T
	now          time.Duration
	b            *balancer.Balancer
	actions      []string // all actions except timers and logs, in order
	sentTo       map[string][]string
	sentAt       map[string]time.Duration
	timers       []time.Duration
	requestCount int
}

func (h *harness) Send(id, ep string, _ time.Duration) {
	h.actions = append(h.actions, "send "+id+" "+ep)
	h.sentTo[id] = append(h.sentTo[id], ep)
	h.sentAt[id] = h.now
}

func (h *harness) Cancel(id string, n int) {
	h.actions = append(h.actions, fmt.Sprint("cancel ", id, " ", n))
}

func (h *harness) Reject(id string, _ balancer.Reason, _ time.Duration) {
	h.actions = append(h.actions, "reject "+id)
}

func (h *harness) Fail(id string, _ balancer.Reason) { h.actions = append(h.actions, "fail "+id) }

func (h *harness) Subscribe() { h.actions = append(h.actions, "subscribe") }

func (h *harness) Timer(at time.Duration) { h.timers = append(h.timers, at) }

func (h *harness) Log(balancer.LogEvent) {}

func testSettings() balancer.Settings {
	return balancer.Settings{Instances: 1, MaxAttempts: 4, CancelAllowed: true, Resolution: ms,
		SlowStartCapacity: 0.3, SlowStartWindow: 9 * time.Second, Classes: []balancer.Class{
			{Name: "read", Idempotency: balancer.Idempotent, LatencyObjective: 2 * time.Second},
			{Name: "bill", Idempotency: balancer.NonIdempotent, LatencyObjective: 2 * time.Second}}}
}

// testSettingsWithObjective returns testSettings with another latency objective, on which the
// tolerated latency ratio and the straggling delay depend.
func testSettingsWithObjective(objective time.Duration) balancer.Settings {
	s := testSettings()
	for i := range s.Classes {
		s.Classes[i].LatencyObjective = objective
	}
	return s
}

func newHarness(t *testing.T, s balancer.Settings, endpoints ...string) *harness {
	return newSeededHarness(t, s, 7, endpoints...)
}

func newSeededHarness(t *testing.T, s balancer.Settings, seed uint64, endpoints ...string) *harness {
	h := &harness{t: t, now: 100 * time.Second, sentTo: map[string][]string{}, sentAt: map[string]time.Duration{}}
	s.Seed = seed
	h.b = balancer.New(h.now, s, h)
	l := balancer.EndpointList{Complete: true}
	for _, id := range endpoints {
		l.Entries = append(l.Entries, balancer.Endpoint{ID: id})
	}
	h.b.EndpointList(h.now, l)
	return h
}

// newHarnessOfInstance returns a harness for one of several instances that send to the same
// endpoints.
func newHarnessOfInstance(t *testing.T, instances, endpoints int) *harness {
	s := testSettings()
	s.Instances = instances
	return newHarness(t, s, endpointIDs(endpoints)...)
}

// endpointIDs returns n endpoint IDs.
func endpointIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("e%02d", i)
	}
	return ids
}

// advance advances the time by d in steps of 1 ms and fires the timers that are due.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += ms
		due := 0
		h.timers = slices.DeleteFunc(h.timers, func(at time.Duration) bool {
			if at <= h.now {
				due++
			}
			return at <= h.now
		})
		for range due {
			h.b.Timer(h.now)
		}
	}
}

// request makes a request and returns its ID and the endpoint that it was sent to, or "" if it was
// not sent.
func (h *harness) request(class string) (id, ep string) {
	id = h.requestFor(class, "")
	if len(h.sentTo[id]) > 0 {
		ep = h.sentTo[id][0]
	}
	return id, ep
}

// requestFor makes a request of a tenant and returns its ID, whether or not the request was sent.
func (h *harness) requestFor(class, tenant string) string {
	h.requestCount++
	id := "r" + strconv.Itoa(h.requestCount)
	h.b.Request(h.now, balancer.Request{ID: id, Class: class, Tenant: tenant, Deadline: h.now + 5*time.Second})
	return id
}

// requestStreamed makes a streamed request and returns its ID.
func (h *harness) requestStreamed(class string) string {
	h.requestCount++
	id := fmt.Sprint("long", h.requestCount)
	h.b.Request(h.now, balancer.Request{ID: id, Class: class, Deadline: h.now + time.Minute, Streamed: true})
	return id
}

// finish reports the outcome of the latest attempt of a request.
func (h *harness) finish(id string, result balancer.Result) {
	n := len(h.sentTo[id]) - 1
	h.b.Outcome(h.now, balancer.Outcome{ID: id, Attempt: n, Endpoint: h.sentTo[id][n], Result: result,
		Latency: h.now - h.sentAt[id],
		Final:   result == balancer.OK})
}

// finishDue reports success for each request whose time in due has come, in order of their IDs, and
// deletes it from due.
func (h *harness) finishDue(due map[string]time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(due)) {
		if h.now >= due[id] {
			delete(due, id)
			h.finish(id, balancer.OK)
		}
	}
}

// finishAll reports the outcomes of all attempts of a request: success for the latest, Canceled for
// the others.
func (h *harness) finishAll(id string) {
	for n, ep := range h.sentTo[id] {
		o := balancer.Outcome{ID: id, Attempt: n, Endpoint: ep, Result: balancer.Canceled,
			Latency: h.now - h.sentAt[id], Final: true}
		if n == len(h.sentTo[id])-1 {
			o.Result = balancer.OK
		}
		h.b.Outcome(h.now, o)
	}
}

// countActions counts the actions that start with a prefix.
func (h *harness) countActions(prefix string) int {
	n := 0
	for _, action := range h.actions {
		if strings.HasPrefix(action, prefix) {
			n++
		}
	}
	return n
}

// finalAnswers returns the rejections and failures that a request got.
func (h *harness) finalAnswers(id string) []string {
	var answers []string
	for _, action := range h.actions {
		if action == "reject "+id || action == "fail "+id {
			answers = append(answers, action)
		}
	}
	return answers
}

// evenLatency returns an argument for serve in which all endpoints have the same latency.
func evenLatency(latency time.Duration, endpoints ...string) map[string]time.Duration {
	latencies := map[string]time.Duration{}
	for _, ep := range endpoints {
		latencies[ep] = latency
	}
	return latencies
}

// serve makes requests one after another, and finishes each with success after the latency of its
// endpoint. It returns how many requests each endpoint got.
func (h *harness) serve(requests int, latency map[string]time.Duration) map[string]int {
	counts := map[string]int{}
	for range requests {
		id, ep := h.request("read")
		counts[ep]++
		h.advance(latency[ep])
		h.finish(id, balancer.OK)
	}
	return counts
}

// serveSteadily makes requests at a regular interval for some time, and finishes each with success
// after the latency of the endpoint of its latest attempt. It calls onSend for each send. Requests
// that would finish later stay open.
func (h *harness) serveSteadily(interval, duration time.Duration, latency func(ep string) time.Duration,
	onSend func(ep string)) {
	due := map[string]time.Duration{}
	seen := len(h.actions)
	for start := h.now; h.now < start+duration; {
		if h.now%interval == 0 {
			h.request("read")
		}
		h.advance(ms)
		h.finishDue(due)
		for ; seen < len(h.actions); seen++ {
			if f := strings.Fields(h.actions[seen]); f[0] == "send" {
				due[f[1]] = h.now + latency(f[2])
				onSend(f[2])
			}
		}
	}
}

// overload makes requests at a regular interval for some time. Each endpoint works on one request
// at a time, for the service time. It returns the longest queue of an endpoint, including the
// request in service, in the second half of the time, and the number of answered requests.
func (h *harness) overload(
	interval, serviceTime, duration time.Duration, endpoints ...string,
) (longestQueue, answered int) {
	queue := map[string][]string{}
	busy := map[string]time.Duration{}
	start := h.now
	for h.now < start+duration {
		if id, ep := h.request("read"); ep != "" {
			queue[ep] = append(queue[ep], id)
		}
		for next := h.now + interval; h.now < next; {
			sent := len(h.actions)
			h.advance(ms)
			for _, ep := range endpoints {
				if busy[ep] += ms; busy[ep] >= serviceTime || len(queue[ep]) == 0 {
					busy[ep] = 0
					if len(queue[ep]) > 0 {
						id := queue[ep][0]
						queue[ep] = queue[ep][1:]
						h.finish(id, balancer.OK)
						answered++
					}
				}
			}
			for _, action := range h.actions[sent:] { // the Balancer's queued requests that were sent meanwhile
				if f := strings.Fields(action); f[0] == "send" && !slices.Contains(queue[f[2]], f[1]) {
					queue[f[2]] = append(queue[f[2]], f[1])
				}
			}
			for _, ep := range endpoints {
				if h.now > start+duration/2 {
					longestQueue = max(longestQueue, len(queue[ep]))
				}
			}
		}
	}
	return longestQueue, answered
}

// measureCapacity returns how many requests are sent at once before one is queued.
func (h *harness) measureCapacity() int {
	before := h.countActions("send ")
	var ids []string
	for {
		id, ep := h.request("read")
		if ep == "" {
			break
		}
		ids = append(ids, id)
	}
	n := h.countActions("send ") - before
	for _, id := range ids {
		h.finish(id, balancer.OK)
	}
	return n
}
