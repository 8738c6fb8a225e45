package virtual

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment/counters"
	"rowancart/internal/experiment/invariant"
	"rowancart/internal/experiment/traffic"
)

// want is something that a client wants, with its retries.
type want struct {
	*traffic.Request
	w        *world
	n        int // place in the list
	tries    int
	current  *call  // the try that is on
	patience *event // its end
}

func sortCalls(calls []*call) {
	slices.SortFunc(calls, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
}

// want begins what a client wants. The front deals clients out among the instances that it knows to be up.
func (w *world) want(now time.Duration, n int, r *traffic.Request) {
	w.try(now, &want{Request: r, w: w, n: n})
}

func (w *world) instance(v *want) *instance {
	start := int((v.Seed + uint64(v.tries)) % uint64(len(w.front)))
	for i := range w.front {
		if in := w.front[(start+i)%len(w.front)]; !in.down {
			return in
		}
	}
	return w.front[start]
}

func (w *world) try(now time.Duration, v *want) {
	class := &w.e.Site.Classes[v.Class]
	in := w.instance(v)
	v.tries++
	n := v.tries
	deadline := min(now+v.Patience, v.At+class.Deadline)
	var id [24]byte
	text := strconv.AppendInt(append(strconv.AppendInt(id[:0], int64(v.n), 10), '-'), int64(n), 10)
	c := &call{id: string(text), class: v.Class, tenant: v.Tenant, work: v.Work, deadline: deadline, repeat: n > 1, in: in, caller: v}
	v.current = c
	clients := &in.party
	w.plan(clients, now+w.hop(), c, callTaken)
	if v.Leaves > 0 && n == 1 {
		w.at(clients, max(v.At+v.Leaves, now+2*w.e.Site.Delay), func(now time.Duration) {
			if v.current == c {
				v.current = nil
				w.withdraw(v.patience)
				in.leave(now, c)
			}
		})
	}
	// The client's own clock ends the try. What the instance still owes it, the ledger watches.
	v.patience = w.limit(clients, deadline+w.e.Site.Rules.AnswerSlack, c, callOutOfTime)
}

// ended implements caller.
func (v *want) ended(now time.Duration, c *call) {
	if v.current == c {
		v.w.withdraw(v.patience)
		v.w.tried(now, v, c.fate, c.retryAfter)
	}
}

// outOfTime implements caller.
func (v *want) outOfTime(now time.Duration, c *call) {
	if v.current == c {
		v.w.tried(now, v, invariant.Failed, 0)
	}
}

// tried takes the end of one try: the request's end, or a retry where the client may ask again.
func (w *world) tried(now time.Duration, v *want, f invariant.Fate, retryAfter time.Duration) {
	class := &w.e.Site.Classes[v.Class]
	took := now - v.At
	v.current = nil
	if f == invariant.Served {
		fate := counters.InTime
		if took > class.Aim {
			fate = counters.Late
		}
		w.tally.Ended(*class, v.Class, v.Tenant, v.At, took, fate)
		return
	}
	harmless := class.Effect == balancer.Idempotent || f == invariant.Refused || retryAfter == unreachable
	wait := w.e.Load.Clients.RetryWait << (v.tries - 1)
	if w.e.Load.Clients.Heed {
		wait = max(wait, retryAfter)
	}
	if harmless && v.tries <= w.e.Load.Clients.Retries && now+wait < v.At+class.Deadline {
		w.at(&w.party, now+wait, func(now time.Duration) { w.try(now, v) })
		return
	}
	fate := counters.Failed
	if f == invariant.Refused {
		fate = counters.Refused
	}
	w.tally.Ended(*class, v.Class, v.Tenant, v.At, took, fate)
}
