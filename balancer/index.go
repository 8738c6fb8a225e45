package balancer

// Orders in which endpoints are looked for, and the books of endpoints and requests. No decision is made in this file.

import (
	"slices"
	"time"
)

// The places of an endpoint in orders.
const (
	byDeficit = iota
	byTrial
	byWeight
)

// order is a binary heap of endpoints, each of which knows its place.
type order struct {
	slot   int // of endpoint.places
	before func(x, y *endpoint) bool
	list   []*endpoint
}

// search goes through the endpoints of an order, or else through those among which are active, or are not.
// It is no func or interface: what it is handed would then be allocated for each search.
type search struct {
	in     *order
	among  []*endpoint
	active bool
}

// each hands over endpoints. Where more is false, those behind that endpoint in its order need not be seen.
func (s search) each(more func(e *endpoint) bool) {
	if s.in != nil {
		s.in.visit(0, more)
	}
	for _, e := range s.among {
		if e.State != Gone && e.active == s.active {
			more(e)
		}
	}
}

func lessDeficit(x, y *endpoint) bool {
	return x.deficit < y.deficit || x.deficit == y.deficit && x.pos < y.pos
}

// soonerTrial puts those last that have their trial out, the ones with the fewest calls first.
func soonerTrial(x, y *endpoint) bool {
	switch {
	case x.trial != y.trial:
		return y.trial
	case x.trial && x.inFlight != y.inFlight:
		return x.inFlight < y.inFlight
	}
	return x.trialAt < y.trialAt || x.trialAt == y.trialAt && x.pos < y.pos
}

// lessWeight orders endpoints of one kind.
func lessWeight(x, y *endpoint) bool {
	return (prior+x.sum)/(prior+x.samples) < (prior+y.sum)/(prior+y.samples)
}

// put brings an endpoint to its place, or takes it out.
func (o *order) put(e *endpoint, in bool) {
	i := e.places[o.slot] - 1
	switch {
	case in && i >= 0:
		o.fix(i)
	case in:
		o.list = append(o.list, e)
		e.places[o.slot] = len(o.list)
		o.fix(len(o.list) - 1)
	case i >= 0:
		last := len(o.list) - 1
		o.swap(i, last)
		o.list[last] = nil
		o.list = o.list[:last]
		e.places[o.slot] = 0
		if i < last {
			o.fix(i)
		}
	}
}

func (o *order) swap(i, j int) {
	o.list[i], o.list[j] = o.list[j], o.list[i]
	o.list[i].places[o.slot], o.list[j].places[o.slot] = i+1, j+1
}

// fix restores the order after the endpoint at i has changed.
func (o *order) fix(i int) {
	for i > 0 && o.before(o.list[i], o.list[(i-1)/2]) {
		o.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	for {
		first := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(o.list); child++ {
			if o.before(o.list[child], o.list[first]) {
				first = child
			}
		}
		if first == i {
			return
		}
		o.swap(i, first)
		i = first
	}
}

// visit goes through the endpoint at i and those behind it.
func (o *order) visit(i int, more func(e *endpoint) bool) {
	if i < len(o.list) && more(o.list[i]) {
		o.visit(2*i+1, more)
		o.visit(2*i+2, more)
	}
}

// seat puts an endpoint into the table or takes it out, and everywhere where it is looked for.
func (b *Balancer) seat(e *endpoint, in bool, pos int) {
	if in != e.in {
		real := e.deficit - b.zero(e)
		e.in = in
		e.deficit = real + b.zero(e)
		if in {
			b.members, b.errors, b.all = b.members+1, b.errors+e.errors, b.all+e.all
		} else {
			b.members, b.errors, b.all = b.members-1, b.errors-e.errors, b.all-e.all
		}
	}
	e.pos = pos
	b.place(e)
}

// sit makes a part of the endpoints the table.
func (b *Balancer) sit(table []*endpoint) {
	for _, e := range b.walk() { // nobody may be found by a place that is about to change
		b.turns.put(e, false)
		b.trials.put(e, false)
		e.pos = -1
	}
	for i, e := range table {
		e.pos = i
	}
	for _, e := range b.walk() {
		if e.pos < 0 {
			b.seat(e, false, 0)
		}
	}
	b.whole, b.table = false, table
	for i, e := range table {
		b.seat(e, true, i)
	}
}

// zero is what counts as a deficit of 0. All deficits of the table drop together when that rises; those of others stay.
func (b *Balancer) zero(e *endpoint) float64 {
	if e.in {
		return b.base
	}
	return 0
}

// place brings an endpoint to where it belongs in all orders, after anything that they go by has changed.
func (b *Balancer) place(e *endpoint) {
	b.turns.put(e, e.in && e.active)
	b.trials.put(e, e.in && !e.active)
	e.kind.best.put(e, e.in && e.active)
	broken := e.in && !e.active && e.out == InactiveFailing
	switch {
	case broken && !e.broken:
		b.broken++
	case !broken && e.broken:
		b.broken--
	}
	e.broken = broken
}

// walk gives the endpoints among which are those of the table, in its order.
func (b *Balancer) walk() []*endpoint {
	if b.whole {
		return b.endpoints
	}
	return b.table
}

// merge applies what discovery says to the endpoints and returns those that were named or have left, and of them those
// that are new or have restarted.
func (b *Balancer) merge(l EndpointList) (touched, started []*endpoint) {
	b.lists++
	for _, in := range l.Entries {
		e := b.byName[in.ID]
		if e == nil {
			e = &endpoint{mention: len(b.endpoints)}
			if n := len(b.endpoints); n > 0 {
				e.mention = b.endpoints[n-1].mention + 1
			}
			e.State = Gone
			b.byName[in.ID], b.endpoints = e, append(b.endpoints, e)
		}
		e.heard, e.listed = b.lists, in.State
		if b.banned[in.ID] && in.State == Ready { // the operators' word goes beside the list's
			in.State = Draining
		}
		if e.kind != nil && e.Endpoint == in {
			continue
		}
		if e.kind == nil || in.Started > e.Started {
			started = append(started, e)
		}
		if e.kind != nil && e.Kind != in.Kind {
			e.kind.best.put(e, false)
		}
		if e.kind = b.kinds[in.Kind]; e.kind == nil {
			e.kind = &kind{w: 1, best: order{slot: byWeight, before: lessWeight}}
			b.kinds[in.Kind], b.kindList = e.kind, append(b.kindList, e.kind)
		}
		was := e.State
		e.Endpoint, e.changed = in, b.lists
		b.tally(was, in.State)
		touched = append(touched, e)
	}
	if l.Complete {
		for _, e := range b.endpoints {
			if e.heard != b.lists && e.State != Gone {
				b.tally(e.State, Gone)
				e.State, e.changed = Gone, b.lists
				touched = append(touched, e)
			}
		}
	}
	for _, e := range touched {
		if e.State == Gone {
			delete(b.byName, e.ID)
		}
	}
	if len(b.endpoints) > 2*b.known+16 {
		b.endpoints = slices.DeleteFunc(b.endpoints, func(e *endpoint) bool { return e.State == Gone })
	}
	return touched, started
}

// relist has the list's word of an endpoint heard anew.
func (b *Balancer) relist(now time.Duration, id string) {
	if e := b.byName[id]; e != nil {
		in := e.Endpoint
		in.State = e.listed
		b.hear(now, EndpointList{Entries: []Endpoint{in}})
	}
}

// StreamStarted implements Events: the attempt is the client's, and no limit of time runs any more.
func (b *Balancer) StreamStarted(now time.Duration, id string, n int) {
	if q := b.requests[id]; q != nil {
		if a := q.attempt(n); a != nil {
			a.streams = true
			b.load(a, false)
			b.judge(now, q, a, OK, now-a.sent)
			b.close(q)
		}
	}
}

// ClientLeft implements Events.
func (b *Balancer) ClientLeft(now time.Duration, id string) {
	if q := b.requests[id]; q != nil && !q.done {
		b.close(q)
		b.release(now)
	}
}

// RequestWritten reports that the last byte of an attempt of a long request is out: only now its endpoint can begin, and what the body took
// is not the endpoint's time.
func (b *Balancer) RequestWritten(now time.Duration, id string, n int) {
	if q := b.requests[id]; q.attempt(n) != nil {
		a := q.attempt(n)
		a.sent, a.overdueAt = now, now+max(seconds(q.class.late(a.e.w(), b.expected(q))), 3*b.s.Resolution)
		b.load(a, true)
		b.wakeAt(a.overdueAt)
	}
}

// CapDeadlines reports that no answer will be of use after an instant: requests that would wait for longer do not.
func (b *Balancer) CapDeadlines(now, by time.Duration) {
	for _, q := range b.live {
		if q.Deadline > by {
			q.Deadline, q.giveUp = by, by-max(b.s.Resolution, time.Millisecond)
			b.wakeAt(max(b.lookAt(q), now))
		}
	}
}

// load says whether an attempt takes room. Room is for what makes endpoints slow: what a caller takes to send or to read is not.
func (b *Balancer) load(a *attempt, on bool) {
	switch {
	case on && !a.loads:
		b.out++
	case !on && a.loads:
		b.out--
	}
	a.loads = on
}

// tally follows how many endpoints are known and ready.
func (b *Balancer) tally(was, is State) {
	for _, change := range []struct {
		state State
		by    int
	}{{was, -1}, {is, 1}} {
		if change.state != Gone {
			b.known += change.by
		}
		if change.state == Ready {
			b.ready += change.by
		}
	}
}

// close takes a request that is answered off the books and calls off what is still out for it.
func (b *Balancer) close(q *request) {
	if !q.done {
		q.done, q.held = true, false
		last := len(b.live) - 1
		b.live[q.spot] = b.live[last]
		b.live[q.spot].spot = q.spot
		b.live[last] = nil
		b.live = b.live[:last]
		for i := range q.attempts {
			if a := &q.attempts[i]; a.out && !a.streams && b.s.CancelAllowed {
				b.host.Cancel(q.ID, i)
			}
		}
	}
	if q.outs() == 0 {
		delete(b.requests, q.ID)
	}
}

// log writes at most one line of a kind every logEvery.
func (b *Balancer) log(now time.Duration, kind, text string) {
	if at, ok := b.logged[kind]; !ok || now-at >= logEvery {
		b.logged[kind] = now
		b.host.Log(kind + ": " + text)
	}
}

// attempt returns attempt n if it is out, else nil.
func (q *request) attempt(n int) *attempt {
	if q == nil || n < 0 || n >= len(q.attempts) || !q.attempts[n].out {
		return nil
	}
	return &q.attempts[n]
}

// outs counts the attempts that are out.
func (q *request) outs() int {
	n := 0
	for i := range q.attempts {
		if q.attempts[i].out {
			n++
		}
	}
	return n
}

// tried tells whether an attempt went to the endpoint.
func (q *request) tried(e *endpoint) bool {
	return slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.e == e })
}
