package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"rowancart/balancer"
)

// answerSlack is how long after the deadline of a request its final answer may come.
const answerSlack = 20 * ms

// simulatedAttempt is the simulation's record of an attempt.
type simulatedAttempt struct {
	endpoint       balancer.Endpoint
	sentAt, endsAt time.Duration
	result         balancer.Result
	inFlight       bool
	mayHaveRun     bool // it has ended, and its result does not prove that it did not run
	canceled       bool
}

// simulatedRequest is the simulation's record of a request.
type simulatedRequest struct {
	balancer.Request
	class    balancer.Class
	attempts []*simulatedAttempt
	ended    bool // it has its final answer, or its client has disconnected
	notified bool // the Balancer has ended it, or has been or is being told that it has ended
}

// simulation is a Host that simulates the clients, service discovery and endpoints of one Balancer,
// and checks that the Balancer keeps the rules for sends and answers.
type simulation struct {
	t            testing.TB
	rng          *rand.Rand
	settings     balancer.Settings
	now          time.Duration
	b            *balancer.Balancer
	listed       map[string]balancer.Endpoint // endpoints as last reported to the Balancer
	drainedAt    map[string]time.Duration     // when an endpoint was reported as draining or removed
	requests     map[string]*simulatedRequest
	openIDs      []string
	timers       []time.Duration
	warmingSends map[string][]time.Duration // times of the sends to each warming endpoint
	requestCount int
	ending       bool // no more requests and changes are simulated
	sends        int
	answers      [3]int // number of successes, rejections and failures
	reasons      map[balancer.Reason]int
	actions      []string
}

func (sim *simulation) Send(id, ep string, timeout time.Duration) {
	sim.actions = append(sim.actions, fmt.Sprintf("%v send %s %s", sim.now, id, ep))
	req := sim.requests[id]
	e := sim.listed[ep]
	if req == nil || e.ID == "" {
		sim.t.Fatalf("%v: Send of request %s to endpoint %s, one of which is unknown", sim.now, id, ep)
	}
	sim.checkSend(req, e)
	if e.Started > 0 && sim.now-e.Started < sim.settings.SlowStartWindow {
		sim.warmingSends[ep] = append(sim.warmingSends[ep], sim.now)
	}
	sim.sends++
	req.attempts = append(req.attempts, sim.drawAttempt(e, timeout))
}

// checkSend checks that a request may be sent to an endpoint: it has not ended, has attempts left,
// has none in flight and cannot take effect twice, and the endpoint was not reported as draining or
// removed before now.
func (sim *simulation) checkSend(req *simulatedRequest, e balancer.Endpoint) {
	if req.notified {
		sim.t.Fatalf("%v: Send of request %s, which has ended", sim.now, req.ID)
	}
	if at, ok := sim.drainedAt[e.ID]; ok && sim.now > at {
		sim.t.Fatalf("%v: Send to endpoint %s, which has been draining or removed since %v", sim.now, e.ID, at)
	}
	if sim.settings.MaxAttempts > 0 && len(req.attempts) >= sim.settings.MaxAttempts {
		sim.t.Fatalf("%v: Send after %d attempts of request %s, which reach MaxAttempts", sim.now, len(req.attempts), req.ID)
	}
	for _, a := range req.attempts {
		if a.inFlight {
			sim.t.Fatalf("%v: Send of request %s while another attempt of it is in flight", sim.now, req.ID)
		}
		if a.mayHaveRun && sim.mayTakeEffectTwice(req.class, a, e) {
			sim.t.Fatalf("%v: Send of request %s, which may take effect a second time at endpoint %s", sim.now, req.ID, e.ID)
		}
	}
}

// mayTakeEffectTwice reports whether a request of a class can take effect at an endpoint although
// an earlier attempt has run.
func (sim *simulation) mayTakeEffectTwice(c balancer.Class, earlier *simulatedAttempt, e balancer.Endpoint) bool {
	switch {
	case c.Idempotency == balancer.Idempotent:
		return false
	case c.Idempotency == balancer.NonIdempotent:
		return true
	case sim.now > earlier.sentAt+c.KeyWindow:
		return true
	case c.KeyScope == balancer.KeyScopeZone:
		return earlier.endpoint.Zone != e.Zone
	case c.KeyScope == balancer.KeyScopeCell:
		return earlier.endpoint.Cell != e.Cell
	}
	return false
}

// drawAttempt returns an attempt with a random result and end time.
func (sim *simulation) drawAttempt(e balancer.Endpoint, timeout time.Duration) *simulatedAttempt {
	a := &simulatedAttempt{endpoint: e, sentAt: sim.now, inFlight: true,
		endsAt: sim.now + time.Duration(1+sim.rng.IntN(300))*ms}
	switch n := sim.rng.IntN(20); {
	case n < 11:
		a.result = balancer.OK
	case n == 11: // hangs
		a.result = balancer.TimedOut
		a.endsAt = sim.now + timeout
	default:
		a.result = []balancer.Result{balancer.Errored, balancer.Rejected, balancer.ConnectFailed, balancer.Reset,
			balancer.NotSent, balancer.OK, balancer.TimedOut, balancer.Errored}[n-12]
	}
	if a.endsAt > sim.now+timeout {
		a.result = balancer.TimedOut
		a.endsAt = sim.now + timeout
	}
	return a
}

func (sim *simulation) Cancel(id string, n int) {
	if !sim.settings.CancelAllowed {
		sim.t.Fatalf("%v: Cancel, which the settings do not allow", sim.now)
	}
	req := sim.requests[id]
	if req == nil || n < 0 || n >= len(req.attempts) {
		sim.t.Fatalf("%v: Cancel of request %s, attempt %d, which was never sent", sim.now, id, n)
	}
	if a := req.attempts[n]; a.inFlight && !a.canceled {
		a.canceled = true
		if sim.rng.IntN(4) > 0 || a.endsAt > sim.now+50*ms { // else the attempt's own result comes first
			a.result = balancer.Canceled
			a.endsAt = sim.now
		}
	}
}

func (sim *simulation) Reject(id string, reason balancer.Reason, _ time.Duration) {
	req := sim.recordAnswer(id)
	sim.checkReason(req, reason)
	sim.answers[1]++
	for _, a := range req.attempts {
		if (a.inFlight || a.mayHaveRun) && (req.class.Idempotency == balancer.NonIdempotent ||
			req.class.Idempotency == balancer.IdempotencyKeyed && req.class.KeyScope != balancer.KeyScopeAll) {
			sim.t.Fatalf("%v: Reject of request %s, which may have run", sim.now, id)
		}
	}
}

func (sim *simulation) Fail(id string, reason balancer.Reason) {
	sim.checkReason(sim.recordAnswer(id), reason)
	sim.answers[2]++
}

// checkReason checks that the reason of a rejection or failure applies to the request.
func (sim *simulation) checkReason(req *simulatedRequest, reason balancer.Reason) {
	var ready, failed, mayHaveRun, inFlight bool
	for _, e := range sim.listed {
		ready = ready || e.State == balancer.Ready
	}
	for _, a := range req.attempts {
		failed = failed || !a.inFlight
		mayHaveRun = mayHaveRun || a.mayHaveRun
		inFlight = inFlight || a.inFlight
	}
	applies := map[balancer.Reason]bool{
		balancer.NoEndpoint:        !ready,
		balancer.NoCapacity:        ready && len(req.attempts) == 0,
		balancer.OverQuota:         req.Tenant != "t2" && len(req.attempts) == 0,
		balancer.DeadlineTooClose:  true, // depends on the Balancer's estimate of the latency
		balancer.RetryBudgetSpent:  failed && !inFlight,
		balancer.AttemptsExhausted: len(req.attempts) >= sim.settings.MaxAttempts && !inFlight,
		balancer.MayHaveRun:        mayHaveRun && req.class.Idempotency != balancer.Idempotent,
	}
	if !applies[reason] {
		sim.t.Fatalf("%v: request %s got the reason %q after %d attempts, but the reason does not apply", sim.now, req.ID,
			reason, len(req.attempts))
	}
	sim.reasons[reason]++
}

// recordAnswer records the final answer of a request and returns the request.
func (sim *simulation) recordAnswer(id string) *simulatedRequest {
	sim.actions = append(sim.actions, fmt.Sprintf("%v answer %s", sim.now, id))
	req := sim.requests[id]
	if req == nil || req.notified {
		sim.t.Fatalf("%v: answer to request %s, which has ended or is unknown", sim.now, id)
	}
	if !req.ended && sim.now > req.Deadline+answerSlack {
		sim.t.Fatalf("%v: answer to request %s later than its deadline %v plus answerSlack", sim.now, id, req.Deadline)
	}
	req.ended = true
	req.notified = true
	return req
}

func (sim *simulation) Subscribe() {}

func (sim *simulation) Timer(at time.Duration) { sim.timers = append(sim.timers, at) }

func (sim *simulation) Log(balancer.LogEvent) {}

// startBalancer starts a Balancer, as after a restart of its process: it does not know the requests
// of the one before.
func (sim *simulation) startBalancer(seed uint64) {
	sim.requests = map[string]*simulatedRequest{}
	sim.openIDs = nil
	sim.timers = nil
	sim.settings.Seed = seed
	sim.b = balancer.New(sim.now, sim.settings, sim)
	l := balancer.EndpointList{Complete: true}
	for i := range 12 {
		if e, ok := sim.listed["e"+strconv.Itoa(i)]; ok && e.State != balancer.Removed {
			l.Entries = append(l.Entries, e)
		}
	}
	sim.b.EndpointList(sim.now, l)
}

// changeEndpoint reports a random change of one endpoint, or a failure of service discovery.
func (sim *simulation) changeEndpoint() {
	if sim.rng.IntN(10) == 0 {
		sim.b.EndpointList(sim.now, balancer.EndpointList{Failed: true})
		return
	}
	id := sim.rng.IntN(12)
	e := balancer.Endpoint{ID: "e" + strconv.Itoa(id), State: balancer.State(sim.rng.IntN(3)),
		Zone: "z" + strconv.Itoa(id%2),
		Kind: "k" + strconv.Itoa(id%3), Cell: id % 4}
	if sim.rng.IntN(3) > 0 {
		e.State = balancer.Ready
	}
	old, known := sim.listed[e.ID]
	if e.State == balancer.Ready && (!known || old.State == balancer.Removed || sim.rng.IntN(3) == 0) {
		e.Started = sim.now
	} else {
		e.Started = old.Started
	}
	if e.State == balancer.Ready {
		delete(sim.drainedAt, e.ID)
	} else if _, ok := sim.drainedAt[e.ID]; !ok {
		sim.drainedAt[e.ID] = sim.now
	}
	sim.listed[e.ID] = e
	sim.b.EndpointList(sim.now, balancer.EndpointList{Entries: []balancer.Endpoint{e}})
}

// startRequest makes a random request.
func (sim *simulation) startRequest() {
	sim.requestCount++
	c := sim.settings.Classes[sim.rng.IntN(len(sim.settings.Classes))]
	r := balancer.Request{ID: "r" + strconv.Itoa(sim.requestCount), Class: c.Name,
		Tenant:   "t" + strconv.Itoa(sim.rng.IntN(3)),
		Deadline: sim.now + time.Duration(sim.rng.IntN(1500))*ms, ClientRetry: sim.rng.IntN(5) == 0}
	if sim.rng.IntN(30) == 0 {
		r.Class, c = "unlisted class", balancer.Class{Idempotency: balancer.NonIdempotent}
	}
	sim.requests[r.ID] = &simulatedRequest{Request: r, class: c}
	sim.openIDs = append(sim.openIDs, r.ID)
	sim.b.Request(sim.now, r)
}

// step simulates one step of time and the events in it, and checks the endpoint set.
func (sim *simulation) step() {
	sim.now += max(sim.settings.Resolution, ms)
	for range sim.rng.IntN(4) {
		if !sim.ending {
			sim.startRequest()
		}
	}
	if !sim.ending && sim.rng.IntN(40) == 0 {
		sim.changeEndpoint()
	}
	sim.fireTimers()
	open := sim.openIDs[:0]
	for _, id := range sim.openIDs {
		if sim.stepRequest(sim.requests[id]) {
			open = append(open, id)
		}
	}
	sim.openIDs = open
	if err := sim.b.CheckEndpointSet(); err != nil {
		sim.t.Fatalf("%v: %v", sim.now, err)
	}
}

// fireTimers reports and removes the timers that are due.
func (sim *simulation) fireTimers() {
	due := 0
	for i := 0; i < len(sim.timers); i++ {
		if sim.timers[i] <= sim.now {
			sim.timers[i] = sim.timers[len(sim.timers)-1]
			sim.timers = sim.timers[:len(sim.timers)-1]
			i--
			due++
		}
	}
	for range due {
		sim.b.Timer(sim.now)
	}
}

// stepRequest simulates one step of a request, and reports whether the request is still open: it
// has not ended, or has an attempt in flight.
func (sim *simulation) stepRequest(req *simulatedRequest) (open bool) {
	if !sim.ending && !req.ended && sim.rng.IntN(400) == 0 {
		req.ended = true
		req.notified = true
		sim.b.ClientDisconnected(sim.now, req.ID)
	}
	for n, a := range req.attempts {
		if a.inFlight && a.endsAt <= sim.now {
			sim.finishAttempt(req, n)
		}
		open = open || a.inFlight
	}
	if !req.ended && sim.now > req.Deadline+answerSlack {
		sim.t.Fatalf("%v: no answer to request %s within its deadline %v plus answerSlack", sim.now, req.ID, req.Deadline)
	}
	return open || !req.ended
}

// finishAttempt reports the outcome of an attempt. It sometimes reports the outcome twice, which
// must be harmless.
func (sim *simulation) finishAttempt(req *simulatedRequest, n int) {
	a := req.attempts[n]
	a.inFlight = false
	a.mayHaveRun = mayHaveRun(a.result)
	if a.result == balancer.OK && !req.ended {
		req.ended = true
		sim.answers[0]++
	}
	req.notified = req.notified || req.ended
	o := balancer.Outcome{ID: req.ID, Attempt: n, Endpoint: a.endpoint.ID, Result: a.result,
		Latency: sim.now - a.sentAt, Final: req.ended}
	sim.b.Outcome(sim.now, o)
	if sim.rng.IntN(30) == 0 {
		o.Latency = 0
		sim.b.Outcome(sim.now, o)
	}
}

// mayHaveRun reports whether the request may have run in an attempt with this result.
func mayHaveRun(r balancer.Result) bool {
	return r != balancer.Rejected && r != balancer.ConnectFailed && r != balancer.NotSent
}

// newSimulation returns a simulation with random settings.
func newSimulation(t testing.TB, seed uint64) *simulation {
	rng := rand.New(rand.NewPCG(seed, 2))
	sim := &simulation{t: t, rng: rng, now: time.Duration(1+rng.IntN(1000)) * time.Second,
		listed:  map[string]balancer.Endpoint{},
		reasons: map[balancer.Reason]int{}, drainedAt: map[string]time.Duration{}, warmingSends: map[string][]time.Duration{}}
	sim.settings = balancer.Settings{Instances: 1 + rng.IntN(3), Tier: rng.IntN(2), TiersBelow: rng.IntN(3),
		SubscribeRequired: rng.IntN(2) == 0, PollInterval: 10 * time.Second, MaxAttempts: 1 + rng.IntN(5),
		CancelAllowed:     rng.IntN(4) > 0,
		Resolution:        time.Duration(1+rng.IntN(5)) * ms,
		SlowStartCapacity: 0.3, SlowStartWindow: 9 * time.Second,
		Tenants: []balancer.Tenant{{Name: "t0", Quota: 100}, {Name: "t1", Quota: 5}}}
	for i, idempotency := range []balancer.Idempotency{balancer.Idempotent, balancer.IdempotencyKeyed,
		balancer.IdempotencyKeyed, balancer.IdempotencyKeyed, balancer.NonIdempotent} {
		sim.settings.Classes = append(sim.settings.Classes, balancer.Class{Name: "c" + strconv.Itoa(i),
			Idempotency: idempotency, KeyScope: balancer.KeyScope(max(i-1, 0) % 3),
			KeyWindow: time.Duration(100+rng.IntN(400)) * ms, LatencyObjective: 400 * ms,
		})
	}
	for i := range 8 {
		id := "e" + strconv.Itoa(i)
		sim.listed[id] = balancer.Endpoint{ID: id, Zone: "z" + strconv.Itoa(i%2), Kind: "k" + strconv.Itoa(i%3), Cell: i % 4}
	}
	sim.startBalancer(seed)
	return sim
}

// simulate runs a simulation with random valid events for a number of steps, then without new
// requests, endpoint changes and disconnects until no request is open. For every third seed, the
// Balancer is restarted halfway. A violation of a rule fails the test.
func simulate(t testing.TB, seed uint64, steps int) *simulation {
	sim := newSimulation(t, seed)
	for i := range steps {
		sim.step()
		if i == steps/2 && seed%3 == 0 {
			sim.startBalancer(seed + 1)
		}
	}
	sim.ending = true
	for range 3000 { // enough steps for all requests to end
		if len(sim.openIDs) == 0 {
			break
		}
		sim.step()
	}
	if len(sim.openIDs) > 0 {
		t.Fatalf("%d requests are still open after 3000 further steps", len(sim.openIDs))
	}
	return sim
}
