package balancer

// The decisions. The interface is in api.go, the state in state.go; the sources are told in docs/design.md.
// A weight w is a stretch: latency over what calls like it take here when all is calm.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	alpha       = 0.95                   // share of the old weight that a sample leaves, once there are many
	smoothFor   = 1.0                    // seconds that an endpoint's weight goes back at least
	memory      = 10 * time.Second       // a sample this old counts 1/e: time counts, not only samples
	prior       = 3.0                    // samples that its kind's weight is worth beside an endpoint's own
	kindGain    = 0.03                   // gain of a kind's weight per answer
	factor      = 2.0                    // active while w is within this multiple of the smallest active w
	riskyWait   = 2                      // backoffs that unsafe requests keep longer from what failed
	borne       = 2.0                    // times that, while much of the room is used
	backoffMin  = 500 * time.Millisecond // until the first trial of a dropped endpoint, at least
	backoffMost = 8                      // longest backoff, in first backoffs
	penaltyMost = 20.0                   // largest stretch that one sample can show
	crowdCharge = 1.0                    // charge for each call still out, in weights, beside the deficit
	common      = 0.7                    // share of the smallest weight that is not the endpoints' own doing
	lagMost     = 2.0                    // weights that an endpoint passed over for its crowd may fall behind
	late        = 3.0                    // an attempt out for this multiple of its expected time is overdue,
	lateSpread  = 6.0                    // but not before this multiple of the usual deviation from it
	lateLeast   = 0.05                   // or this share of the aim,
	lateFirst   = 0.25                   // and this, until
	lateKnown   = 10.0                   // answers of the class have come
	meanGain    = 0.05                   // gain of recent means per answer
	meanFor     = 0.5                    // seconds that a class's mean goes back at least
	calmFall    = 0.02                   // gain of the calm latency per answer while the mean is below it
	calmRise    = 60 * time.Second       // over which it gives in to a higher mean
	calmFirst   = 1.5                    // seconds until calm is known: the first answers are the quick ones
	roomStart   = 6.0                    // calls out for each endpoint before anything is known
	roomSpread  = 3.0                    // and deviations of chance that the caller must bear alone
	roomCut     = 0.5                    // the room shrinks to this share at most, every half answer time
	roomMemory  = 2 * time.Second        // a stretch this old counts 1/e there
	crowded     = 2.0                    // stretch of recent answers from which it shrinks: 1.8 is ordinary
	roomGrowth  = 0.2                    // it grows by this with each answer while it is used up,
	roomy       = 1.5                    // times what the stretch is short of this
	roomSample  = 4.0                    // stretch that one answer can show here
	slack       = 0.5                    // share of the wanted time that answers may take
	overRoom    = 0.6                    // share of the room up to which over-share requests are let in
	uncrowded   = 1.5                    // or while recent answers stretch no more than this
	allShares   = 1.3                    // or while requests come at this multiple of all quotas together
	holdShare   = 0.05                   // share of the mean aim that a request waits here at most
	hopeless    = 0.6                    // share of the expected time that must be left, when room is short
	freeMost    = 3                      // attempts beside the budget that one request may bring
	copyLeast   = 20.0                   // answers of a class from which its tail is known
	blame       = 10.0                   // times as likely that errors are its own as that all fail alike
	ownErrors   = 0.3                    // share that an endpoint fails then, and twice that of the others
	errorMemory = 20 * time.Second       // an outcome this old counts 1/e there
	coldShare   = 1.5                    // calls to a cold endpoint, in shares of its warmth,
	brisker     = 1.25                   // times more with each good answer, where there is no warm one,
	briskMost   = 10.0                   // up to this
	tableGap    = time.Second            // a table is so large that each endpoint in it is called this often,
	tableShare  = 6.0                    // that each endpoint is in the tables of this many callers,
	tableLeast  = 4.0                    // and no smaller than this
	rateLeast   = 0.2                    // requests a second from which a caller's rate is followed closely,
	rateMemory  = time.Minute            // and over which that of a quieter one is
	quotaBurst  = 1.0                    // seconds of a tenant's quota that may come at once
	retryAdvice = 300 * time.Millisecond // how long a refused client is asked to stay away
	logEvery    = 10 * time.Second       // between two log lines of one kind
)

// EndpointList is membership. Nothing new goes to an endpoint from the event on that says it drains.
func (b *Balancer) EndpointList(now time.Duration, l EndpointList) {
	if l.Failed { // ask anew, each caller at its own moment, and in time to count as asking
		if b.s.SubscribeRequired {
			b.askGap = min(max(2*b.askGap, backoffMin), max(b.s.PollInterval/2, backoffMin))
			b.askAt = now + b.jitter(b.askGap)
			b.wakeAt(b.askAt)
		}
		return
	}
	b.askGap, b.askAt, b.others = 0, 0, l.Unlisted
	b.hear(now, l)
}

// hear takes up what has changed of the endpoints.
func (b *Balancer) hear(now time.Duration, l EndpointList) {
	first := b.known == 0
	touched, started := b.merge(l)
	b.fill(touched) // a trial's moment is by the members of the table: with none, all first trials are due
	for _, e := range started {
		b.renew(now, e, first)
	}
	if first {
		b.room = b.roomFor(b.known + b.others)
	}
	if b.ready > 0 { // who still takes new work must not get the part of those who do not
		b.room *= b.roomFor(b.ready) / b.roomFor(cmp.Or(b.sized, b.ready))
		b.sized = b.ready
	}
	b.release(now)
}

// Disable takes an endpoint out at the operators' word, whatever the list says; what is out there goes on.
func (b *Balancer) Disable(now time.Duration, id string) {
	b.banned[id] = true
	b.relist(now, id)
}

// Enable leaves an endpoint to the list again. It may have restarted meanwhile: it is cold from now on, and
// its trial is due at once, since the operators wait to see it work.
func (b *Balancer) Enable(now time.Duration, id string) {
	if !b.banned[id] {
		return
	}
	delete(b.banned, id)
	if e := b.byName[id]; e != nil {
		e.backAt = now
		b.renew(now, e, false)
		e.trialAt, e.coldAt = now, now
	}
	b.relist(now, id)
}

// shut tells whether there are endpoints, and the operators have taken out all that the list has for ready.
func (b *Balancer) shut() bool {
	return b.ready == 0 && slices.ContainsFunc(b.endpoints, func(e *endpoint) bool {
		return e.State != Gone && e.listed == Ready
	})
}

// count follows the rate of requests and, with it, how many endpoints the table is to have.
func (b *Balancer) count(now time.Duration) {
	defer b.retime(now, b.calls == 0) // the first call tells the rate that no list before it knew
	b.slow = b.slow*math.Exp(-(now-b.callsAt).Seconds()/rateMemory.Seconds()) + 1
	b.calls, b.callsAt = b.calls*math.Exp(-(now-b.callsAt).Seconds()/memory.Seconds())+1, now
	want := b.rate(now) * tableGap.Seconds()
	if want > 1.5*b.size || want < 0.5*b.size { // else it would change with each call
		b.size = want
		b.fill(nil)
	}
}

// fill chooses the caller's table, the endpoints that it spreads its calls over. It guards against many quiet
// callers that meet each endpoint too seldom to know it, and open a connection for nearly every call. Tables
// are even steps through the list, sorted by kind and begun at the caller's own place: all endpoints get as
// many callers, all callers the same mix of kinds. What has changed decides the work.
func (b *Balancer) fill(touched []*endpoint) {
	n, callers := float64(b.ready), float64(max(b.s.Instances, 1))
	size := math.Floor(max(b.size, tableLeast, tableShare*(n+float64(b.others))/callers))
	if 2*size >= n {
		if !b.whole {
			for _, e := range b.table { // what is gone may have been cleared away
				b.seat(e, e.State == Ready, e.mention)
			}
			b.whole, b.table, b.sorted, touched = true, nil, nil, b.endpoints
		}
		for _, e := range touched {
			b.seat(e, e.State == Ready, e.mention)
		}
		return
	}
	byKind := func(x, y *endpoint) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.ID, y.ID))
	}
	if b.whole || b.sorted == nil {
		touched = b.endpoints
	}
	unready := func(e *endpoint) bool { return e.State != Ready }
	b.sorted = slices.DeleteFunc(b.sorted, func(e *endpoint) bool {
		return unready(e) || len(touched) > 0 && e.changed == b.lists
	})
	if len(touched) > 64 {
		b.sorted = append(b.sorted, touched...)
		slices.SortFunc(b.sorted, byKind)
		b.sorted = slices.DeleteFunc(slices.Compact(b.sorted), unready)
	} else {
		for _, e := range touched {
			if i, found := slices.BinarySearchFunc(b.sorted, e, byKind); !found && e.State == Ready {
				b.sorted = slices.Insert(b.sorted, i, e)
			}
		}
	}
	place := min(float64(max(b.s.Index, 0))/callers, 1-1/callers)
	table := make([]*endpoint, int(size))
	for i := range table {
		table[i] = b.sorted[int((float64(i)+place)/size*n)]
	}
	b.sit(table)
}

// renew puts a new or restarted endpoint outside the active set, its trial at a moment of the caller's turn.
// All hear of it at once, and drawn at random alone some would meet: their numbers spread them as the golden
// ratio spreads a range; one that knows none (-1) draws in the whole turn. What was warm at first is active.
func (b *Balancer) renew(now time.Duration, e *endpoint, first bool) {
	e.active, e.out = first && b.warmth(now, e) == 1, InactiveNew
	e.backoff = b.firstBackoff(now)
	spread := float64(max(b.s.Instances*min(b.s.Index+1, 1), 1))
	turn := math.Mod(float64(max(b.s.Index, 0))*0.6180339887+b.rng.Float64()/spread, 1)
	e.trialAt = now + max(seconds(turn*b.turnGap(now).Seconds()), b.coldGap(now, e, turn))
	e.sum, e.samples, e.deficit, e.brisk = 0, 0, b.zero(e)+b.rng.Float64(), 1
	if b.warmth(now, e) < 1 { // also where it is the only one: all callers have waited for it
		e.coldAt = e.trialAt
		b.pace(e)
	}
	b.place(e)
}

// retime times again, when asked, the trials of cold endpoints that were timed by a rate not known then.
func (b *Balancer) retime(now time.Duration, asked bool) {
	for _, e := range b.cold {
		if asked && e.State == Ready && e.out == InactiveNew && e.samples == 0 && b.warmth(now, e) < 1 {
			b.renew(now, e, false)
		}
	}
}

// coldGap is the time until a cold endpoint's part of the caller's own traffic, little more than a warm
// share, comes to so many turns; between two sends, trials included, to one. It guards against all callers
// together pushing the endpoint over. The part is the area under the warmth: by the warmth at the last send
// alone, quiet callers would leave the endpoint at what it could do when it started.
func (b *Balancer) coldGap(now time.Duration, e *endpoint, turns float64) time.Duration {
	due := turns * b.turnGap(now).Seconds() / (cmp.Or(b.s.SlowStartShare, coldShare) * max(e.brisk, 1))
	warmth := b.warmth(now, e)
	if warmth == 1 {
		return seconds(due)
	}
	rise := max(1-b.s.SlowStartCapacity, 0) / b.s.SlowStartWindow.Seconds()
	return seconds(2 * due / (warmth + math.Sqrt(warmth*warmth+2*rise*due)))
}

// quicken gives a cold endpoint more of the traffic while there are only cold ones and it answers as one that
// is not busy: its warmth's part leaves it idle at little load, and the less is served the less is asked.
// Warm ones dropped as slow are no reason: their load is what the cold one would get.
func (b *Balancer) quicken(now time.Duration, e *endpoint, stretch float64) {
	warm := func(o *endpoint) bool { return o.State == Ready && b.warmth(now, o) == 1 }
	switch warmth := b.warmth(now, e); {
	case warmth == 1:
	case stretch*warmth > crowded:
		e.brisk = 1
	case !slices.ContainsFunc(b.endpoints, warm):
		e.brisk = min(max(e.brisk, 1)*brisker, briskMost)
		e.coldAt = min(e.coldAt, now+b.coldGap(now, e, 1))
	}
}

// firstBackoff guards against quiet callers that crowd a dropped endpoint with nothing but trials.
func (b *Balancer) firstBackoff(now time.Duration) time.Duration {
	return max(backoffMin, b.turnGap(now))
}

// expected is what a request takes at a calm endpoint, in seconds: like is compared with like, by the class.
func (b *Balancer) expected(q *request) float64 {
	c := q.class
	if c.samples == 0 || c.calm <= 0 {
		return max(c.LatencyObjective.Seconds()/4, 0.001)
	}
	return c.calm
}

// late is how long an attempt may be out, in seconds, before it counts as overdue. What a class takes may be
// a mixture of quick and slow, and the first answers may all be quick: neither must make a server silent.
func (c *class) late(w, took float64) float64 {
	least := lateLeast
	if c.samples < lateKnown {
		least = lateFirst
	}
	return max(late*max(w, 1)*took, max(w, 1)*took+lateSpread*c.spread, least*c.LatencyObjective.Seconds())
}

// learn updates what calls of the class take. Calm rises by time alone: an overload must not pass for calm.
func (c *class) learn(now time.Duration, q *request, took float64) {
	if c.samples++; c.samples == 1 {
		c.since = now
	}
	gap := now - c.at
	c.at = now
	if c.mean > 0 {
		took = min(took, penaltyMost*c.mean)
	}
	if step := meanGain * c.mean; c.tail == 0 { // begins at twice the mean
		c.tail = 2 * c.mean
	} else if took > c.tail {
		c.tail += step * c.HedgeQuantile
	} else {
		c.tail = max(c.tail-step*(1-c.HedgeQuantile), c.mean)
	}
	gain := max(1/c.samples, min(meanGain, gap.Seconds()/meanFor))
	c.spread += (math.Abs(took-c.mean) - c.spread) * gain
	c.mean += (took - c.mean) * gain
	switch {
	case c.samples < 10 || (now-c.since).Seconds() < calmFirst:
		c.calm = c.mean
	case c.mean < c.calm:
		c.calm += (c.mean - c.calm) * min(calmFall, gap.Seconds()/meanFor)
	default:
		c.calm += (c.mean - c.calm) * min(gap.Seconds()/calmRise.Seconds(), 1)
	}
}

// Request is admission: refuse at once what cannot be in time, or is over its tenant's share while room
// is short or more is asked than all shares together (quiet callers see that before endpoints are full); else
// send it, or hold it until there is room.
func (b *Balancer) Request(now time.Duration, r Request) {
	c := b.classes[r.Class]
	if c == nil { // a class that nobody listed: what may have run is never repeated
		unlisted := Class{Repeat: NonIdempotent, LatencyObjective: max(r.Deadline-now, 0)}
		c = &class{Class: unlisted, work: &work{}}
		b.classes[r.Class] = c
	}
	b.count(now)
	q := &request{Request: r, class: c, arrived: now, spot: len(b.live)}
	q.giveUp = r.Deadline - max(b.s.Resolution, time.Millisecond)
	b.requests[r.ID], b.live = q, append(b.live, q)
	b.resends.earn(now)
	over := b.overShare(now, q)
	short := float64(b.out) > overRoom*b.space() && b.stretch > uncrowded*b.bearable()
	pressed := len(b.waiting) > 0 || short || b.rate(now) > allShares*b.quota
	if now >= q.giveUp || len(b.waiting) > 0 && !b.inTime(now, q, hopeless) {
		b.end(now, q, DeadlineTooClose)
		return
	}
	if pressed && over {
		b.end(now, q, OverQuota)
		return
	}
	b.dispatch(now, q)
	b.wakeAt(b.lookAt(q))
}

// overShare charges a request to its tenant's quota and tells whether it is beyond. Only the first tier can
// tell: further down one request becomes several calls.
func (b *Balancer) overShare(now time.Duration, q *request) bool {
	t := b.tenants[q.Tenant]
	if t == nil || t.Quota <= 0 || b.s.Tier > 0 {
		return false
	}
	rate := t.Quota / float64(max(b.s.Instances, 1))
	t.tokens = min(t.tokens+rate*(now-t.at).Seconds(), max(rate*quotaBurst, 1))
	t.at = now
	if t.tokens < 1 {
		return true
	}
	if !q.ClientRetry { // the first try has paid
		t.tokens--
	}
	return false
}

// resize moves the room for calls out: down while it is used and recent answers stretch, up while it is used
// up and they hardly do. It guards against endpoints tipped into a slow state and late answers. Quiet callers
// have few answers to go by, and seldom a call out: the latest count most, and the one that came in as well.
func (b *Balancer) resize(now time.Duration, stretch float64) {
	gain := 1 - math.Exp(-(now-b.resizedAt).Seconds()/roomMemory.Seconds())
	b.resizedAt = now
	most := b.bearable()
	b.stretch += (min(stretch, roomSample*most) - b.stretch) * max(gain, meanGain)
	switch {
	case b.stretch > crowded*most && float64(b.out+1) > overRoom*b.space() && now >= b.cutAt:
		least := b.share(b.known + b.others)
		b.room = max(min(b.room, float64(b.out+1))*max(roomCut, crowded*most/b.stretch), least)
		b.cutAt = now + seconds(b.stretch*b.typical()/2)
	case float64(b.out+2) > b.space():
		b.room += roomGrowth * most * max(roomy*most-b.stretch, 0)
	}
}

// space is what there is of the room while some endpoints fail: the rest must not get their part.
func (b *Balancer) space() float64 {
	return max(b.room*b.roomFor(b.members-b.broken)/b.roomFor(b.members), 1)
}

// roomFor is the caller's part of the room of so many endpoints, and what chance needs beyond it: of calls
// that come at random, one caller has more than its part out far sooner than all have more than theirs.
func (b *Balancer) roomFor(endpoints int) float64 {
	part, all := roomStart*b.share(endpoints), roomStart*float64(max(endpoints, 1))
	return part + roomSpread*(math.Sqrt(part)-part/math.Sqrt(all))
}

// bearable is how far answers may stretch beyond what is ordinary: as far as leaves them well within the time
// that is wanted, of which each tier has its part. Where that is long, a wait is better than a refusal.
func (b *Balancer) bearable() float64 {
	return max(slack*b.aim/b.typical()/float64(1+b.s.Tier+b.s.TiersBelow)/crowded, 1)
}

// allowed tells whether an endpoint may get this request: ready, within a cold one's share, no second effect.
func (b *Balancer) allowed(now time.Duration, q *request, e *endpoint) bool {
	return e.State == Ready &&
		(now >= e.coldAt || b.warmth(now, e) == 1) && b.mayResend(now, q, e)
}

// mayResend is the rule against double effects.
func (b *Balancer) mayResend(now time.Duration, q *request, e *endpoint) bool {
	for i := range q.attempts {
		a, c := &q.attempts[i], q.class
		if a.out && !q.copying {
			return false
		}
		if !a.mayRun || c.Repeat == Idempotent && !c.NeverRerun {
			continue
		}
		if c.Repeat == NonIdempotent || c.NeverRerun || now+2*b.s.Resolution >= a.sent+c.KeyWindow ||
			c.KeyScope == KeyScopeZone && a.e.Zone != e.Zone ||
			c.KeyScope == KeyScopeCell && a.e.Cell != e.Cell {
			return false
		}
	}
	return true
}

// mayRefuse tells whether "trying again is harmless" is true.
func (q *request) mayRefuse() bool {
	keyedEverywhere := q.class.Repeat == IdempotencyKeyed && q.class.KeyScope == KeyScopeAll
	return q.class.Repeat == Idempotent || keyedEverywhere ||
		!slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.out || a.mayRun })
}

// pick chooses: a due trial, else the lowest deficit, with none active that this request has not been at the
// trial due soonest, be it out already. Calls still out are charged on top, so that a
// crowd or a hang is seen before its answers are. What it goes through comes in heaps: behind one that is out
// of the question no better one can be.
func (b *Balancer) pick(now time.Duration, q *request, turns, trials search) *endpoint {
	var trial, turn, soonest *endpoint
	trials.each(func(e *endpoint) bool {
		if e.trial || now < e.trialAt || trial != nil && !soonerTrial(e, trial) {
			return false
		}
		if !q.tried(e) && b.allowed(now, q, e) && !(q.precious() && e.risky(now)) {
			trial = e
		}
		return true
	})
	if trial != nil {
		return trial
	}
	lowest, active, first := math.Inf(1), false, len(q.attempts) == 0
	turns.each(func(e *endpoint) bool {
		active = true
		deficit := e.deficit - b.zero(e)
		if deficit > lowest {
			return false
		}
		if b.allowed(now, q, e) {
			key := deficit + crowdCharge*e.w()*float64(e.inFlight)
			if q.tried(e) {
				key += penaltyMost
			}
			if key < lowest || key == lowest && turn != nil && e.pos < turn.pos {
				turn, lowest = e, key
			}
		}
		return true
	})
	if active && (first || turn != nil && !q.tried(turn)) {
		return turn
	}
	trials.each(func(e *endpoint) bool {
		if soonest != nil && !soonerTrial(e, soonest) {
			return false
		}
		if b.allowed(now, q, e) && !q.tried(e) && !(q.precious() && e.risky(now)) {
			soonest = e
		}
		return true
	})
	if soonest != nil || turn != nil {
		return cmp.Or(soonest, turn)
	}
	trials.each(func(e *endpoint) bool { // all were tried or are risky: better one of them than none
		if soonest == nil && b.allowed(now, q, e) {
			soonest = e
		}
		return soonest == nil
	})
	return soonest
}

// precious tells whether a request that fails at a trial is lost, since it may not be sent again.
func (q *request) precious() bool { return q.class.Repeat != Idempotent || q.class.NeverRerun }

// risky tells whether a trial is likely to cost what may not be sent again: the endpoint failed with what it
// had taken. Other requests are to try it first, if there are any.
func (e *endpoint) risky(now time.Duration) bool {
	return (e.out == InactiveFailing || e.out == InactiveUnresponsive) && now < e.trialAt+riskyWait*e.backoff
}

// pickAny chooses among all endpoints: a repeat may be bound to some outside the table.
func (b *Balancer) pickAny(now time.Duration, q *request) *endpoint {
	if b.whole {
		return nil // they have been looked through
	}
	return b.pick(now, q, search{among: b.endpoints, active: true}, search{among: b.endpoints})
}

// dispatch sends a request to the endpoint picked, or holds it. Resends are not held back for room.
func (b *Balancer) dispatch(now time.Duration, q *request) {
	if len(q.attempts) > 0 || len(b.waiting) == 0 || q.held {
		e := b.pick(now, q, search{in: &b.turns}, search{in: &b.trials})
		if e != nil && len(q.attempts) == 0 && !b.fits(e) {
			e = nil
		}
		if e == nil && len(q.attempts) > 0 {
			e = b.pickAny(now, q)
		}
		if e != nil {
			b.send(now, q, e)
			return
		}
	}
	if b.shut() { // only the operators could let it go
		b.end(now, q, NoEndpoint)
		return
	}
	if !q.held {
		if len(q.attempts) == 0 && b.queueFull(q.class) {
			b.end(now, q, cmp.Or(b.outage(), QueueFull))
			return
		}
		q.held, b.waiting = true, append(b.waiting, q)
	}
	b.wakeAt(b.lookAt(q))
	b.cold = slices.DeleteFunc(b.cold, func(e *endpoint) bool {
		return e.coldAt <= now || e.State == Gone
	})
	for _, e := range b.cold {
		b.wakeAt(e.coldAt)
	}
}

// fits tells whether there is room for one more call at an endpoint: in all, or since others hold its part.
func (b *Balancer) fits(e *endpoint) bool {
	part := b.space() / float64(max(len(b.turns.list), 1))
	return float64(b.out) < b.space() || e.active && float64(e.inFlight+1) <= part
}

// queueFull tells whether no more requests of a class may wait.
func (b *Balancer) queueFull(c *class) bool {
	n := 0
	for _, q := range b.waiting {
		if c.QueueLimit != 0 && q.held && q.class == c {
			n++
		}
	}
	return c.QueueLimit < 0 || c.QueueLimit > 0 && n >= c.QueueLimit
}

// release sends held requests while there is room, oldest first.
func (b *Balancer) release(now time.Duration) {
	full := false
	for _, q := range b.waiting {
		if q.held && (!full || len(q.attempts) > 0) {
			b.dispatch(now, q)
			full = full || q.held && len(q.attempts) == 0
		}
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(q *request) bool { return !q.held })
}

// send charges the endpoint for its turn.
func (b *Balancer) send(now time.Duration, q *request, e *endpoint) {
	took, w := b.expected(q), e.w()
	if b.warmth(now, e) < 1 {
		e.coldAt = now + b.coldGap(now, e, 1)
		b.pace(e)
	}
	if e.active {
		turn := e.deficit
		charge := w
		if b.s.TiersBelow > 0 { // slow machines must not pass for fast ones by the time that tiers below take
			charge -= common * min(b.smallest(), w)
		}
		e.deficit += charge * took / b.typical()
		b.place(e)
		// One passed over for its crowd must not get all of it back at once.
		least, floor := &b.turns, turn-b.zero(e)+b.base-lagMost*w
		for len(least.list) > 0 && least.list[0].deficit < floor {
			least.list[0].deficit = floor
			least.fix(0)
		}
	}
	a := attempt{e: e, sent: now, out: true, trial: !e.active}
	if a.overdueAt = now + max(seconds(q.class.late(w, took)), 3*b.s.Resolution); q.Streamed {
		a.overdueAt = q.Deadline // its endpoint has yet to get it
	}
	e.trial = a.trial
	e.inFlight++
	b.place(e)
	q.attempts, q.held, q.copyAt = append(q.attempts, a), false, 0
	b.load(&q.attempts[len(q.attempts)-1], !q.Streamed)
	if gap := q.class.copyGap(); gap > 0 && len(q.attempts) == 1 {
		q.copyAt = now + gap
		b.wakeAt(q.copyAt)
	}
	b.wakeAt(a.overdueAt)
	timeout := q.Deadline - now
	if limit := q.class.AttemptTimeout; limit > 0 {
		timeout = min(timeout, limit)
	}
	b.host.Send(q.ID, e.ID, max(timeout, time.Microsecond))
}

// pace remembers an endpoint whose next send has to wait: requests may wait for it.
func (b *Balancer) pace(e *endpoint) {
	if !slices.Contains(b.cold, e) {
		b.cold = append(b.cold, e)
		slices.SortFunc(b.cold, func(x, y *endpoint) int { return cmp.Compare(x.mention, y.mention) })
	}
}

// copyGap is how long the first attempt may stay unanswered before a second copy goes out; 0: none does.
func (c *class) copyGap() time.Duration {
	switch {
	case c.Repeat != Idempotent:
		return 0
	case c.HedgeQuantile > 0 && c.samples >= copyLeast && c.tail > 0:
		return seconds(max(c.tail, c.calm))
	}
	return c.HedgeAfter
}

// copy sends a second copy beside the first, to another endpoint, within the budget. Short of room there are
// none: copies would feed the overload that makes answers slow.
func (b *Balancer) copy(now time.Duration, q *request) {
	q.copyAt, q.copying = 0, true
	if q.outs() == 1 && float64(b.out) < overRoom*b.space() && b.whyNot(now, q, false) == "" {
		if e := b.pick(now, q, search{in: &b.turns}, search{in: &b.trials}); e != nil && !q.tried(e) {
			q.copied = true
			b.resends.spend()
			b.send(now, q, e)
		}
	}
	q.copying = false
}

// holdEnd ends the wait for room, alike for all classes: else those with the shortest aim starve in overload.
func (b *Balancer) holdEnd(q *request) time.Duration {
	switch {
	case len(q.attempts) > 0:
		return q.giveUp
	case b.ready == 0: // whoever comes first may still answer in time
		return q.giveUp - seconds(b.expected(q))
	}
	return min(q.giveUp, q.arrived+seconds(holdShare*b.bearable()*b.aim))
}

// Outcome takes the sample of an attempt's end and decides whether the request goes out again.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	q := b.requests[o.ID]
	a := q.attempt(o.Attempt)
	if a == nil {
		return
	}
	a.out, a.mayRun = false, o.Result != Rejected && o.Result != ConnectFailed && o.Result != NotSent
	a.e.inFlight--
	b.place(a.e)
	b.load(a, false)
	free := b.free(q, a, o.Result)
	if !a.streams {
		b.judge(now, q, a, o.Result, o.Latency)
	}
	switch {
	case q.done || o.Final || o.Result == OK:
		b.close(q)
	case q.held || q.outs() > 0:
	default:
		if why := b.whyNot(now, q, free); why != "" {
			b.end(now, q, why)
			break
		}
		if !free {
			b.resends.spend()
		}
		b.dispatch(now, q)
	}
	b.release(now)
}

// outage is the reason when no endpoint takes new work, else none.
func (b *Balancer) outage() Reason {
	if b.ready == 0 {
		return NoEndpoint
	}
	return ""
}

// anyLeft tells whether some endpoint may get the request again. One is as good as another, unless repeats
// are dropped in groups: then those that it may go to are found by looking.
func (b *Balancer) anyLeft(now time.Duration, q *request) bool {
	may := func(e *endpoint) bool { return e.State == Ready && b.mayResend(now, q, e) }
	i := slices.IndexFunc(b.endpoints, func(e *endpoint) bool { return e.State == Ready })
	if i < 0 || may(b.endpoints[i]) {
		return i >= 0
	}
	if q.class.Repeat != IdempotencyKeyed || q.class.KeyScope == KeyScopeAll {
		return false
	}
	return slices.ContainsFunc(b.endpoints, may)
}

// whyNot tells what rules one more attempt out: rules, limit, time or budget, lest resends multiply by tiers.
func (b *Balancer) whyNot(now time.Duration, q *request, free bool) Reason {
	most := cmp.Or(q.class.MaxAttempts, b.s.MaxAttempts)
	switch {
	case b.ready == 0:
		return NoEndpoint
	case !b.anyLeft(now, q):
		return MayHaveRun
	case most > 0 && len(q.attempts) >= most:
		return AttemptsExhausted
	case !free && !b.resends.left():
		return RetryBudgetSpent
	case !b.inTime(now, q, 1):
		return DeadlineTooClose
	}
	return ""
}

// free tells whether the attempt after one that has just ended is beside the budget, which is against asking
// endpoints that fail ever more: what was not sent cost nobody anything, trials are this balancer's doing.
func (b *Balancer) free(q *request, a *attempt, r Result) bool {
	trial := a.trial && len(b.turns.list) > 0
	return len(q.attempts) <= freeMost && (trial || r == ConnectFailed || r == NotSent)
}

// inTime tells whether an attempt sent now can still bring an answer that counts.
func (b *Balancer) inTime(now time.Duration, q *request, share float64) bool {
	return now+seconds(b.expected(q)*b.smallest()*share) <= q.giveUp
}

// end gives the final answer: refused if that is true, else failed.
func (b *Balancer) end(now time.Duration, q *request, why Reason) {
	if q.mayRefuse() {
		b.host.Reject(q.ID, why, min(b.jitter(retryAdvice), b.s.MaxRetryAfter))
	} else {
		b.host.Fail(q.ID, why)
	}
	b.close(q)
}

// judge turns an outcome into a sample.
func (b *Balancer) judge(now time.Duration, q *request, a *attempt, r Result, took time.Duration) {
	e, stretch, failed := a.e, min(took.Seconds()/b.expected(q), penaltyMost), r != OK
	own := false // are errors the endpoint's
	switch r {
	case OK:
		b.note(now, e, 0)
		e.answeredAt = now
		q.class.learn(now, q, took.Seconds())
		b.resize(now, stretch)
		b.quicken(now, e, stretch)
		e.kind.learn(stretch)
	case Errored:
		b.note(now, e, 1)
		own = b.failsAlone(e)
		if failed = b.s.TiersBelow == 0 || own; !failed {
			r = NotSent // the tier below fails for all alike: says nothing of this endpoint, good or bad
		}
	case Reset, ConnectFailed:
		b.broke(now, e, r)
	}
	if r == Canceled && q.copied && !a.trial && stretch > e.w() { // a copy was quicker: must not pass unseen
		b.sample(now, e, stretch)
	}
	if r == Canceled || r == NotSent { // no sample, but a trial called off because it was overdue has failed
		if a.trial {
			e.trial = false
			b.backOff(now, e, a.overdue)
		}
		return
	}
	if failed {
		stretch = min(max(stretch, (q.Deadline-a.sent).Seconds()/b.expected(q)), penaltyMost)
	}
	if a.trial && !e.active {
		b.tryOver(now, e, stretch, failed)
		b.blames(e, r, failed)
		return
	}
	b.sample(now, e, stretch)
	// Nobody is there, or it is the last one active: what fails must not pass for the best.
	last := len(b.turns.list) == 1 && len(b.trials.list) > 0
	if failed && e.active && (r == ConnectFailed || r == Reset || own || last) {
		b.drop(now, e, InactiveFailing)
	}
	b.blames(e, r, failed)
}

// blames notes why an endpoint that has just failed is out.
func (b *Balancer) blames(e *endpoint, r Result, failed bool) {
	switch {
	case e.active || !failed:
	case r == ConnectFailed:
		e.out = InactiveUnreachable
	case r != Rejected:
		e.out = InactiveFailing
	}
	b.place(e)
}

// failsAlone weighs an endpoint's errors against those of the others: is it likelier that it fails by itself,
// or that it shows by chance what all show, since a tier below fails? A quiet caller meets an endpoint too
// seldom to wait for a share of errors: where the others have none, one or two are enough.
func (b *Balancer) failsAlone(e *endpoint) bool {
	others := b.outcomes
	if e.in {
		others.errors, others.all = max(others.errors-e.errors, 0), max(others.all-e.all, 0)
	}
	usual := (others.errors + 0.5) / (others.all + 1)
	own := min(max(ownErrors, 2*usual), 0.9)
	odds := e.errors*math.Log(own/usual) + (e.all-e.errors)*math.Log((1-own)/(1-usual))
	return own > usual && odds > math.Log(blame)
}

// broke takes a broken or failed connection. One reset may be the network's and says nothing of the process.
// Only if no answer comes between it and the next break has the endpoint gone down, and is cold when it is
// back. It guards against a warm endpoint on a cold one's share, while the others get its calls.
func (b *Balancer) broke(now time.Duration, e *endpoint, r Result) {
	if e.brokeAt > e.answeredAt {
		e.Started, e.brisk = max(e.Started, now), 1
	}
	if r == Reset {
		e.brokeAt = now
	}
}

// w is the endpoint's weight: what its kind usually takes, moved by what it took itself. Alone, a quiet
// caller's few samples cannot tell a slow machine from a heavy call.
func (e *endpoint) w() float64 { return e.kind.w * (prior + e.sum) / (prior + e.samples) }

// sample smooths the weight and drops the endpoint if it left the factor.
func (b *Balancer) sample(now time.Duration, e *endpoint, stretch float64) {
	gap := (now - e.sampledAt).Seconds()
	old := max(min(math.Exp(-gap/memory.Seconds()), 1-1/(1/(1-alpha)-prior)), math.Exp(-gap/smoothFor))
	e.sum, e.samples, e.sampledAt = e.sum*old+stretch/e.kind.w, e.samples*old+1, now
	b.place(e)
	if e.active && b.tooSlow(e) {
		b.drop(now, e, InactiveSlow)
	}
}

// tooSlow tells whether an endpoint is out of the factor. While much of the room is used, twice the factor is
// borne: fewer endpoints would be crowded, slow in their turn, and dropped one after the other.
func (b *Balancer) tooSlow(e *endpoint) bool {
	most := factor
	if float64(b.out) > overRoom*b.space() {
		most *= borne
	}
	return e.w() > most*b.smallest()
}

func (b *Balancer) drop(now time.Duration, e *endpoint, out InactiveReason) {
	e.active, e.out, e.backoff = false, out, b.firstBackoff(now)
	b.backOff(now, e, false)
}

// backOff sets the next trial, after twice the wait if the last one failed.
func (b *Balancer) backOff(now time.Duration, e *endpoint, failed bool) {
	if failed {
		e.backoff = min(2*e.backoff, backoffMost*b.firstBackoff(now))
	}
	e.trialAt = now + b.jitter(e.backoff)
	b.place(e)
}

// tryOver ends a trial: back among the active, or out for twice as long.
func (b *Balancer) tryOver(now time.Duration, e *endpoint, stretch float64, failed bool) {
	e.trial, e.sum, e.samples, e.sampledAt = false, stretch/e.kind.w, 1, now
	if failed || len(b.turns.list) > 0 && b.tooSlow(e) {
		b.backOff(now, e, true)
		return
	}
	if len(b.turns.list) > 0 { // all deficits drop by the lowest
		b.base = b.turns.list[0].deficit
	}
	e.active, e.deficit = true, b.zero(e)+e.w()
	b.place(e)
}

// tick looks after what time alone changes.
func (b *Balancer) tick(now time.Duration) {
	if b.askAt > 0 && now >= b.askAt {
		b.askAt = 0
		b.host.Subscribe()
	}
	for _, q := range slices.Clone(b.live) {
		if now >= q.giveUp || q.held && now >= b.holdEnd(q) {
			why := cmp.Or(b.outage(), DeadlineTooClose)
			if why == DeadlineTooClose && q.held && len(q.attempts) == 0 {
				why = NoCapacity
			}
			if len(q.attempts) == 0 {
				b.log(now, "full", fmt.Sprintf("no endpoint has room, %d requests wait", len(b.waiting)))
			}
			b.end(now, q, why)
			continue
		}
		if q.copyAt > 0 && now >= q.copyAt {
			b.copy(now, q)
		}
		for i := range q.attempts {
			if q.attempts[i].out && now >= q.attempts[i].overdueAt {
				b.overdue(now, q, i)
			}
		}
	}
	b.release(now)
}

// overdue takes an attempt that is out too long as a sample of at least its age. An endpoint that has
// answered nothing since is dropped: a hang shows after a few answer times, not a time-out.
func (b *Balancer) overdue(now time.Duration, q *request, i int) {
	a := &q.attempts[i]
	e, silent := a.e, a.e.answeredAt < a.sent
	a.overdue, a.overdueAt = true, now+(now-a.sent)
	if e.active {
		b.sample(now, e, min((now-a.sent).Seconds()/b.expected(q), penaltyMost))
		if e.active && silent {
			b.log(now, "silent", e.ID+" answers nothing and gets trials only")
			b.drop(now, e, InactiveUnresponsive)
		}
	}
}
