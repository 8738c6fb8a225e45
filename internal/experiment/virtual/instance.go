package virtual

import (
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment"
	"rowancart/internal/experiment/baseline"
	"rowancart/internal/experiment/invariant"
)

// call is a request that an instance has taken.
type call struct {
	id       string
	class    int
	tenant   int
	work     float64
	deadline time.Duration
	repeat   bool
	digest   uint64
	in       *instance // that is to take it
	caller   caller

	attempts   []*attempt
	first      [2]*attempt // room for most
	over       bool
	fate       invariant.Fate // once over
	retryAfter time.Duration
}

// caller is who made a call: a client, or a box for the tier below.
type caller interface {
	ended(now time.Duration, c *call)
	outOfTime(now time.Duration, c *call)
}

// What happens to a call.
const (
	callTaken = iota
	callEnded
	callOutOfTime
)

func (c *call) act(now time.Duration, what int) {
	switch what {
	case callTaken:
		c.in.take(now, c)
	case callEnded:
		c.caller.ended(now, c)
	case callOutOfTime:
		c.caller.outOfTime(now, c)
	}
}

// end tells the caller, after a delay, how its call ended.
func (c *call) end(at time.Duration, f invariant.Fate, retryAfter time.Duration) {
	c.fate, c.retryAfter = f, retryAfter
	c.in.w.plan(&c.in.party, at, c, callEnded)
}

// attempt is one Send.
type attempt struct {
	in        *instance
	life      int // of the instance
	call      *call
	n         int
	to        *host
	toLife    int // of the box, when the connection was made
	sent      time.Duration
	dialed    bool // on a new connection
	linked    bool // holds a connection
	keepAlive bool // the connection may serve again
	ended     bool
	errand    *errand
	limit     *event // its time-out
}

// instance hosts one policy: it stands in for a sidecar.
type instance struct {
	party
	w      *world
	name   string
	tier   int
	index  int
	count  int
	beside *host
	policy balancer.Events
	spread float64 // its place in the roster's spread
	toldAt time.Duration
	missed []balancer.Endpoint
	down   bool
	life   int
	starts int
	calls  map[string]*call
	idle   map[*host][]idle
	rings  time.Duration

	learned   balancer.LearnedState // when it was killed
	learnedAt time.Duration
}

// idle is a connection that waits for its next request.
type idle struct {
	since time.Duration
	life  int
}

func (w *world) newInstance(name string, tier, index, count int, beside *host) *instance {
	in := &instance{party: party{rank: experiment.Seed(w.seed, name)}, w: w, name: name, tier: tier, index: index, count: count,
		beside: beside, down: true, spread: experiment.Rand(w.seed, "spread "+name).Float64()}
	return in
}

// start begins with no knowledge but the roster's list.
func (in *instance) start(now time.Duration) {
	w := in.w
	in.starts++
	in.life++
	in.down = false
	in.calls, in.idle, in.missed, in.toldAt = map[string]*call{}, map[*host][]idle{}, nil, now
	seed := experiment.Seed(w.seed, in.name+" start "+string(rune('0'+in.starts%10)))
	settings := w.arm.Apply(w.e.Site.Settings(in.tier, in.index, in.count, seed))
	if w.arm.Policy == experiment.DesignPolicy {
		in.policy = balancer.New(zero+now, settings, (*hands)(in))
	} else {
		// The name was checked at the start of the run.
		in.policy, _ = baseline.New(w.arm.Policy, settings, (*hands)(in))
	}
	list := w.published[in.tier]
	for _, e := range list {
		w.ledger.Told(now, in.name, e.ID, e.State, e.Started > 0)
	}
	in.policy.EndpointList(zero+now, balancer.EndpointList{Complete: true, Entries: list})
	if b, ok := in.policy.(*balancer.Balancer); ok && w.arm.Snapshot && in.starts > 1 {
		b.Restore(zero+now, in.learned, now-in.learnedAt)
	}
	if in.starts == 1 {
		w.instances = append(w.instances, in)
	}
}

// kill ends the process: its connections break, callers see that at once, and what boxes have of it they go on with.
func (in *instance) kill(now time.Duration) {
	if in.down {
		return
	}
	in.down = true
	if b, ok := in.policy.(*balancer.Balancer); ok {
		in.learned, in.learnedAt = b.LearnedState(zero+now), now
	}
	in.life++
	in.w.ledger.Killed(in.name)
	for h, conns := range in.idle { // boxes forget them: the order does not matter
		for _, c := range conns {
			if c.life == h.life {
				h.box.Disconnect()
			}
		}
	}
	calls := in.calls
	in.calls = nil
	var open []*call
	for _, c := range calls {
		for _, a := range c.attempts {
			if !a.ended {
				a.ended = true
				in.w.withdraw(a.limit)
				a.unlink(now)
			}
		}
		if !c.over {
			c.over = true
			open = append(open, c)
		}
	}
	sortCalls(open)
	for _, c := range open {
		c.end(now+in.w.e.Site.Delay, invariant.Failed, 0)
	}
}

// unreachable stands for advice where nobody was there to take the request.
const unreachable = time.Duration(-1)

// take gives the instance a request.
func (in *instance) take(now time.Duration, c *call) {
	w := in.w
	if in.down {
		c.end(now+w.e.Site.Delay, invariant.Failed, unreachable)
		return
	}
	c.digest = experiment.Seed(w.seed, c.id)
	class := &w.e.Site.Classes[c.class]
	w.ledger.Taken(now, invariant.Request{ID: c.id, Instance: in.name, Effect: class.Effect, Deadline: c.deadline, Digest: 1,
		Attempts: w.arm.Of(class.Name).Attempts, Once: w.arm.Of(class.Name).NoRerun})
	in.calls[c.id] = c
	c.attempts = c.first[:0]
	if in.tier == 0 {
		w.tally.Requests++
	}
	r := balancer.Request{ID: c.id, Class: class.Name, Deadline: zero + c.deadline, ClientRetry: c.repeat}
	if c.tenant >= 0 {
		r.Tenant = w.e.Site.Tenants[c.tenant].Name
	}
	in.policy.Request(zero+now, r)
}

// act rings a timer of the life that asked for it.
func (in *instance) act(now time.Duration, life int) {
	if !in.down && in.life == life {
		in.policy.Timer(zero + now)
	}
}

// leave reports that the caller has gone.
func (in *instance) leave(now time.Duration, c *call) {
	if in.down || c.over || in.calls[c.id] != c {
		return
	}
	c.over = true
	in.w.ledger.Excuse(c.id)
	in.policy.ClientLeft(zero+now, c.id)
	in.forget(c)
}

// finish gives a request's final answer.
func (in *instance) finish(now time.Duration, c *call, f invariant.Fate, retryAfter time.Duration) {
	if c == nil || c.over {
		return
	}
	c.over = true
	in.w.ledger.Answered(now, c.id, f, c.digest)
	c.end(now+in.w.hop(), f, retryAfter)
	in.forget(c)
}

func (in *instance) forget(c *call) {
	if !c.over {
		return
	}
	for _, a := range c.attempts {
		if !a.ended {
			return
		}
	}
	delete(in.calls, c.id)
}

// over reports the end of an attempt to the policy.
func (a *attempt) over(now time.Duration, r balancer.Result) {
	if a.ended {
		return
	}
	a.ended = true
	in, c := a.in, a.call
	in.w.withdraw(a.limit)
	if r == balancer.OK || a.keepAlive && (r == balancer.Errored || r == balancer.Rejected) {
		a.giveBack(now)
	} else {
		a.unlink(now)
	}
	o := balancer.Outcome{ID: c.id, Attempt: a.n, Result: r, Latency: now - a.sent, Final: c.over}
	if a.to != nil {
		o.Endpoint = a.to.name
	}
	if r == balancer.OK && !c.over {
		o.Final = true
		in.finish(now, c, invariant.Served, 0)
	}
	in.policy.Outcome(zero+now, o)
	in.forget(c)
}

// reaches is what happens to an attempt at its box; all else that happens is its end, by its result.
const reaches = -1

func (a *attempt) act(now time.Duration, what int) {
	switch {
	case what != reaches:
		if !a.in.down && a.in.life == a.life {
			a.over(now, balancer.Result(what))
		}
	case a.ended && a.in.down || a.to.life != a.toLife: // what was not yet written whole breaks with its sender
		a.comesBack(now, balancer.Reset)
	default:
		a.to.reach(now, a)
	}
}

// later ends the attempt at an instant, if nothing else has by then.
func (a *attempt) later(at time.Duration, r balancer.Result) {
	a.in.w.plan(&a.in.party, at, a, int(r))
}

// comesBack carries what the box sent, or the break of the connection, to the instance.
func (a *attempt) comesBack(now time.Duration, r balancer.Result) {
	if !a.ended {
		a.later(now+a.in.w.hop(), r)
	}
}

// unlink closes the attempt's connection.
func (a *attempt) unlink(now time.Duration) {
	if !a.linked {
		return
	}
	a.linked = false
	if a.to.life == a.toLife {
		a.to.box.Disconnect()
	}
	if e := a.errand; e != nil && a.in.w.e.Site.Tiers[a.to.tier].Box.CancelsStops {
		a.to.advance(now)
		if !e.Over() {
			a.to.box.End(&e.Job)
			a.to.drop(e)
			a.to.reschedule()
		}
	}
}

// giveBack keeps the connection for the next attempt.
func (a *attempt) giveBack(now time.Duration) {
	if !a.linked {
		return
	}
	a.linked = false
	if a.to.life == a.toLife {
		a.in.idle[a.to] = append(a.in.idle[a.to], idle{now, a.toLife})
	}
}

// link finds an idle connection that still stands.
func (in *instance) link(now time.Duration, h *host) bool {
	conns := in.idle[h]
	limit := in.w.e.Site.Tiers[h.tier].Box.ConnIdle
	for len(conns) > 0 {
		c := conns[len(conns)-1]
		if c.life == h.life && (limit <= 0 || now-c.since < limit) {
			in.idle[h] = conns[:len(conns)-1]
			return true
		}
		// The one used last is too old: so are all others.
		for _, c := range conns {
			if c.life == h.life {
				h.box.Disconnect()
			}
		}
		conns = nil
	}
	in.idle[h] = conns
	return false
}

// hands carries out what a policy asks for.
type hands instance

var _ balancer.Host = (*hands)(nil)

// Send implements balancer.Host.
func (hs *hands) Send(id, endpoint string, timeout time.Duration) {
	in := (*instance)(hs)
	w, now := in.w, in.w.now
	c := in.calls[id]
	if c == nil {
		return
	}
	h := w.byName[endpoint]
	a := &attempt{in: in, life: in.life, call: c, n: len(c.attempts), to: h, sent: now}
	c.attempts = append(c.attempts, a)
	if in.tier == 0 {
		w.tally.Attempts++
		if a.n == 0 {
			w.tally.Sent++
		}
	}
	if c.over || h == nil {
		a.later(now, balancer.NotSent)
		return
	}
	a.limit = w.limit(&in.party, now+max(min(timeout, c.deadline-now), 0), a, int(balancer.TimedOut))
	lag := w.hop()
	a.toLife = h.life
	if !in.link(now, h) {
		switch {
		case h.vanished || h.stalled:
			a.later(now+dialTimeout, balancer.ConnectFailed)
			return
		case !h.box.Connect():
			a.later(now+2*lag, balancer.ConnectFailed)
			return
		}
		a.dialed = true
		lag *= 3 // a round trip for the connection comes first
	}
	a.linked = true
	if h.before > 0 && h.rng.Float64() < h.before {
		a.later(now+lag, balancer.ConnectFailed)
		return
	}
	w.plan(&in.party, now+lag, a, reaches)
}

// Cancel implements balancer.Host.
func (hs *hands) Cancel(id string, n int) {
	in := (*instance)(hs)
	if c := in.calls[id]; c != nil && n >= 0 && n < len(c.attempts) {
		c.attempts[n].later(in.w.now, balancer.Canceled)
	}
}

// Reject implements balancer.Host.
func (hs *hands) Reject(id string, why balancer.Reason, retryAfter time.Duration) {
	in := (*instance)(hs)
	in.w.tally.Why[why]++
	in.finish(in.w.now, in.calls[id], invariant.Refused, retryAfter)
}

// Fail implements balancer.Host.
func (hs *hands) Fail(id string, why balancer.Reason) {
	in := (*instance)(hs)
	in.w.tally.Why[why]++
	in.finish(in.w.now, in.calls[id], invariant.Failed, 0)
}

// Subscribe implements balancer.Host. The roster tells without being asked.
func (hs *hands) Subscribe() {}

// Timer implements balancer.Host.
func (hs *hands) Timer(at time.Duration) {
	in := (*instance)(hs)
	in.w.plan(&in.party, at-zero, in, in.life)
}

// Log implements balancer.Host.
func (hs *hands) Log(line string) {
	in := (*instance)(hs)
	in.w.log(in.w.now, in.name, line)
}
