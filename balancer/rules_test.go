package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"rowancart/balancer"
)

const ms = time.Millisecond

// answerSlack is how long after the deadline a final answer may come.
const answerSlack = 20 * ms

// sent is one attempt as the world sees it.
type sent struct {
	ep       balancer.Endpoint
	at, ends time.Duration
	result   balancer.Result
	out      bool
	ran      bool // ended, and nothing proves that it did not run
	canceled bool
}

// asked is one request as the world sees it.
type asked struct {
	balancer.Request
	class    balancer.Class
	attempts []*sent
	ended    bool // has its answer, or its client left
	told     bool // the balancer was told so, or did it itself, before the batch in hand
}

// world plays clients, discovery and endpoints against one balancer and watches the four rules.
type world struct {
	t        testing.TB
	rng      *rand.Rand
	s        balancer.Settings
	now      time.Duration
	b        *balancer.Balancer
	list     map[string]balancer.Endpoint // as last told
	stopped  map[string]time.Duration     // when told of a drain or removal
	requests map[string]*asked
	order    []string
	timers   []time.Duration
	cold     map[string][]time.Duration // sends to cold endpoints
	next     int
	over     bool // nothing new comes
	sends    int
	answers  [3]int // served, refused, failed
	whys     map[balancer.Reason]int
	log      []string
}

func (w *world) Send(id, ep string, timeout time.Duration) {
	w.log = append(w.log, fmt.Sprintf("%v send %s %s", w.now, id, ep))
	req, e := w.requests[id], w.list[ep]
	if req == nil || e.ID == "" {
		w.t.Fatalf("%v: Send of %s to %s, one of them unknown", w.now, id, ep)
	}
	if req.told {
		w.t.Fatalf("%v: Send of %s, which has ended", w.now, id)
	}
	if at, ok := w.stopped[ep]; ok && w.now > at {
		w.t.Fatalf("%v: Send to %s, told to stop at %v", w.now, ep, at)
	}
	if w.s.MaxAttempts > 0 && len(req.attempts) >= w.s.MaxAttempts {
		w.t.Fatalf("%v: attempt %d of %s", w.now, len(req.attempts), id)
	}
	for _, a := range req.attempts {
		if a.out {
			w.t.Fatalf("%v: second copy of %s", w.now, id)
		}
		if !a.out && !a.ran || req.class.Repeat == balancer.Idempotent {
			continue
		}
		c := req.class
		if c.Repeat == balancer.NonIdempotent || w.now > a.at+c.KeyWindow || c.KeyScope == balancer.KeyScopeZone && a.ep.Zone != e.Zone ||
			c.KeyScope == balancer.KeyScopeCell && a.ep.Cell != e.Cell {
			w.t.Fatalf("%v: %s may take effect twice at %s", w.now, id, ep)
		}
	}
	if e.Started > 0 && w.now-e.Started < w.s.SlowStartWindow {
		w.cold[ep] = append(w.cold[ep], w.now)
	}
	w.sends++
	a := &sent{ep: e, at: w.now, out: true, ends: w.now + time.Duration(1+w.rng.IntN(300))*ms}
	switch n := w.rng.IntN(20); {
	case n < 11:
		a.result = balancer.OK
	case n == 11: // hangs
		a.result, a.ends = balancer.TimedOut, w.now+timeout
	default:
		a.result = []balancer.Result{balancer.Errored, balancer.Rejected, balancer.ConnectFailed, balancer.Reset,
			balancer.NotSent, balancer.OK, balancer.TimedOut, balancer.Errored}[n-12]
	}
	if a.ends > w.now+timeout {
		a.result, a.ends = balancer.TimedOut, w.now+timeout
	}
	req.attempts = append(req.attempts, a)
}

func (w *world) Cancel(id string, n int) {
	if !w.s.CancelAllowed {
		w.t.Fatalf("%v: Cancel is not allowed", w.now)
	}
	req := w.requests[id]
	if req == nil || n < 0 || n >= len(req.attempts) {
		w.t.Fatalf("%v: Cancel of %s/%d, which was never sent", w.now, id, n)
	}
	if a := req.attempts[n]; a.out && !a.canceled {
		a.canceled = true
		if w.rng.IntN(4) > 0 || a.ends > w.now+50*ms { // else another outcome is on its way
			a.result, a.ends = balancer.Canceled, w.now
		}
	}
}

func (w *world) Reject(id string, why balancer.Reason, _ time.Duration) {
	req := w.answer(id)
	w.hold(req, why)
	w.answers[1]++
	for _, a := range req.attempts {
		if (a.out || a.ran) && (req.class.Repeat == balancer.NonIdempotent ||
			req.class.Repeat == balancer.IdempotencyKeyed && req.class.KeyScope != balancer.KeyScopeAll) {
			w.t.Fatalf("%v: %s is refused though it may have run", w.now, id)
		}
	}
}

func (w *world) Fail(id string, why balancer.Reason) {
	w.hold(w.answer(id), why)
	w.answers[2]++
}

// hold holds a reason to what the world has seen.
func (w *world) hold(req *asked, why balancer.Reason) {
	ready, failed, ran, out := false, false, false, false
	for _, e := range w.list {
		ready = ready || e.State == balancer.Ready
	}
	for _, a := range req.attempts {
		failed, ran, out = failed || !a.out, ran || a.ran, out || a.out
	}
	holds := map[balancer.Reason]bool{
		balancer.NoEndpoint:        !ready,
		balancer.NoCapacity:        ready && len(req.attempts) == 0,
		balancer.OverQuota:         req.Tenant != "t2" && len(req.attempts) == 0,
		balancer.DeadlineTooClose:  true, // how long an answer would take is the module's own estimate
		balancer.RetryBudgetSpent:  failed && !out,
		balancer.AttemptsExhausted: len(req.attempts) >= w.s.MaxAttempts && !out,
		balancer.MayHaveRun:        ran && req.class.Repeat != balancer.Idempotent,
	}
	if !holds[why] {
		w.t.Fatalf("%v: %s is told %q after %d attempts, which is not so", w.now, req.ID, why, len(req.attempts))
	}
	w.whys[why]++
}

func (w *world) answer(id string) *asked {
	w.log = append(w.log, fmt.Sprintf("%v answer %s", w.now, id))
	req := w.requests[id]
	if req == nil || req.told {
		w.t.Fatalf("%v: a second answer to %s", w.now, id)
	}
	if !req.ended && w.now > req.Deadline+answerSlack {
		w.t.Fatalf("%v: a late answer to %s, due at %v", w.now, id, req.Deadline)
	}
	req.ended, req.told = true, true
	return req
}

func (w *world) Subscribe()             {}
func (w *world) Timer(at time.Duration) { w.timers = append(w.timers, at) }
func (w *world) Log(string)             {}

// start begins a life of the balancer; what an earlier one held is lost.
func (w *world) start(seed uint64) {
	w.requests, w.order, w.timers = map[string]*asked{}, nil, nil
	w.s.Seed = seed
	w.b = balancer.New(w.now, w.s, w)
	l := balancer.EndpointList{Complete: true}
	for i := range 12 {
		if e, ok := w.list["e"+strconv.Itoa(i)]; ok && e.State != balancer.Gone {
			l.Entries = append(l.Entries, e)
		}
	}
	w.b.EndpointList(w.now, l)
}

func (w *world) change() {
	if w.rng.IntN(10) == 0 {
		w.b.EndpointList(w.now, balancer.EndpointList{Failed: true})
		return
	}
	id := w.rng.IntN(12)
	e := balancer.Endpoint{ID: "e" + strconv.Itoa(id), State: balancer.State(w.rng.IntN(3)), Zone: "z" + strconv.Itoa(id%2),
		Kind: "k" + strconv.Itoa(id%3), Cell: id % 4}
	if w.rng.IntN(3) > 0 {
		e.State = balancer.Ready
	}
	old, known := w.list[e.ID]
	if e.State == balancer.Ready && (!known || old.State == balancer.Gone || w.rng.IntN(3) == 0) {
		e.Started = w.now
	} else {
		e.Started = old.Started
	}
	if e.State == balancer.Ready {
		delete(w.stopped, e.ID)
	} else if _, ok := w.stopped[e.ID]; !ok {
		w.stopped[e.ID] = w.now
	}
	w.list[e.ID] = e
	w.b.EndpointList(w.now, balancer.EndpointList{Entries: []balancer.Endpoint{e}})
}

func (w *world) call() {
	w.next++
	c := w.s.Classes[w.rng.IntN(len(w.s.Classes))]
	r := balancer.Request{ID: "r" + strconv.Itoa(w.next), Class: c.Name, Tenant: "t" + strconv.Itoa(w.rng.IntN(3)),
		Deadline: w.now + time.Duration(w.rng.IntN(1500))*ms, ClientRetry: w.rng.IntN(5) == 0}
	if w.rng.IntN(30) == 0 {
		r.Class, c = "never listed", balancer.Class{Repeat: balancer.NonIdempotent}
	}
	w.requests[r.ID] = &asked{Request: r, class: c}
	w.order = append(w.order, r.ID)
	w.b.Request(w.now, r)
}

// step plays one batch.
func (w *world) step() {
	defer func() {
		if err := w.b.CheckIndex(); err != nil {
			w.t.Fatalf("%v: %v", w.now, err)
		}
	}()
	w.now += max(w.s.Resolution, ms)
	for range w.rng.IntN(4) {
		if !w.over {
			w.call()
		}
	}
	if !w.over && w.rng.IntN(40) == 0 {
		w.change()
	}
	due := 0
	for i := 0; i < len(w.timers); i++ {
		if w.timers[i] <= w.now {
			w.timers[i] = w.timers[len(w.timers)-1]
			w.timers = w.timers[:len(w.timers)-1]
			i--
			due++
		}
	}
	for range due {
		w.b.Timer(w.now)
	}
	kept := w.order[:0]
	for _, id := range w.order {
		req := w.requests[id]
		if !w.over && !req.ended && w.rng.IntN(400) == 0 {
			req.ended, req.told = true, true
			w.b.ClientLeft(w.now, id)
		}
		out := false
		for n, a := range req.attempts {
			if a.out && a.ends <= w.now {
				a.out, a.ran = false, a.result != balancer.Rejected && a.result != balancer.ConnectFailed && a.result != balancer.NotSent
				if a.result == balancer.OK && !req.ended {
					req.ended = true
					w.answers[0]++
				}
				final := req.ended
				req.told = req.told || final
				w.b.Outcome(w.now, balancer.Outcome{ID: id, Attempt: n, Endpoint: a.ep.ID, Result: a.result,
					Latency: w.now - a.at, Final: final})
				if w.rng.IntN(30) == 0 { // a host that reports twice must do no harm
					w.b.Outcome(w.now, balancer.Outcome{ID: id, Attempt: n, Endpoint: a.ep.ID, Result: a.result, Final: final})
				}
			}
			out = out || a.out
		}
		if !req.ended && w.now > req.Deadline+answerSlack {
			w.t.Fatalf("%v: no answer to %s by %v", w.now, id, req.Deadline)
		}
		if !req.ended || out {
			kept = append(kept, id)
		}
	}
	w.order = kept
}

func newWorld(t testing.TB, seed uint64) *world {
	rng := rand.New(rand.NewPCG(seed, 2))
	w := &world{t: t, rng: rng, now: time.Duration(1+rng.IntN(1000)) * time.Second, list: map[string]balancer.Endpoint{},
		whys: map[balancer.Reason]int{}, stopped: map[string]time.Duration{}, cold: map[string][]time.Duration{}}
	w.s = balancer.Settings{Instances: 1 + rng.IntN(3), Tier: rng.IntN(2), TiersBelow: rng.IntN(3),
		SubscribeRequired: rng.IntN(2) == 0, PollInterval: 10 * time.Second, MaxAttempts: 1 + rng.IntN(5),
		CancelAllowed:     rng.IntN(4) > 0,
		Resolution:        time.Duration(1+rng.IntN(5)) * ms,
		SlowStartCapacity: 0.3, SlowStartWindow: 9 * time.Second,
		Tenants: []balancer.Tenant{{Name: "t0", Quota: 100}, {Name: "t1", Quota: 5}}}
	for i, effect := range []balancer.Repeatability{balancer.Idempotent, balancer.IdempotencyKeyed, balancer.IdempotencyKeyed, balancer.IdempotencyKeyed, balancer.NonIdempotent} {
		w.s.Classes = append(w.s.Classes, balancer.Class{Name: "c" + strconv.Itoa(i), Repeat: effect,
			KeyScope: balancer.KeyScope(max(i-1, 0) % 3), KeyWindow: time.Duration(100+rng.IntN(400)) * ms, LatencyObjective: 400 * ms,
		})
	}
	for i := range 8 {
		id := "e" + strconv.Itoa(i)
		w.list[id] = balancer.Endpoint{ID: id, Zone: "z" + strconv.Itoa(i%2), Kind: "k" + strconv.Itoa(i%3), Cell: i % 4}
	}
	w.start(seed)
	return w
}

// play runs a random day of legal events; any broken rule is fatal.
func play(t testing.TB, seed uint64, steps int) *world {
	w := newWorld(t, seed)
	for i := range steps {
		w.step()
		if i == steps/2 && seed%3 == 0 {
			w.start(seed + 1)
		}
	}
	w.over = true
	for range 3000 { // let everything end
		if len(w.order) == 0 {
			break
		}
		w.step()
	}
	if len(w.order) > 0 {
		t.Fatalf("%d requests never ended", len(w.order))
	}
	return w
}

func TestRulesHoldOnRandomDays(t *testing.T) {
	var answers [3]int
	whys := map[balancer.Reason]int{}
	for seed := range uint64(60) {
		w := play(t, seed, 1500)
		for i, n := range w.answers {
			answers[i] += n
		}
		for why, n := range w.whys {
			whys[why] += n
		}
	}
	for i, n := range answers {
		if n < 1000 {
			t.Errorf("only %d answers of kind %d: the days test too little", n, i)
		}
	}
	for _, why := range balancer.Reasons {
		if why != balancer.QueueFull && why != balancer.NoEndpoint && whys[why] < 20 {
			t.Errorf("only %d answers say %s: the days test too little", whys[why], why)
		}
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	for seed := range uint64(5) {
		a, b := play(t, seed, 500).log, play(t, seed, 500).log
		if len(a) != len(b) || len(a) == 0 {
			t.Fatalf("seed %d: %d and %d actions", seed, len(a), len(b))
		}
		for i := range a {
			if a[i] != b[i] {
				t.Fatalf("seed %d: %q, then %q", seed, a[i], b[i])
			}
		}
	}
}

func FuzzRules(f *testing.F) {
	f.Add(uint64(1), uint16(300))
	f.Add(uint64(99), uint16(900))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) { play(t, seed, int(steps)%1000) })
}
