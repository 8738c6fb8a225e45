package virtual

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"tuliprock"
	"tuliprock/internal/lab/ledger"
	"tuliprock/internal/lab/tally"
	"tuliprock/internal/lab/traffic"
)

// want is something that a client wants, with its retries.
type want struct {
	*traffic.Request
	n     int // place in the list
	tries int
	ended bool
}

func sortCalls(calls []*call) {
	slices.SortFunc(calls, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
}

// want begins what a client wants. The front deals clients out among the instances that it knows to be up.
func (w *world) want(now time.Duration, n int, r *traffic.Request) {
	w.try(now, &want{Request: r, n: n})
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
	current := true
	var patience *event
	c := &call{id: strconv.Itoa(v.n) + "-" + strconv.Itoa(n), class: v.Class, tenant: v.Tenant, work: v.Work,
		deadline: deadline, repeat: n > 1}
	c.ended = func(now time.Duration, f ledger.Fate, retryAfter time.Duration) {
		if current && !v.ended {
			current = false
			w.withdraw(patience)
			w.tried(now, v, f, retryAfter)
		}
	}
	clients := &in.party
	w.at(clients, now+w.hop(), func(now time.Duration) {
		in.take(now, c)
		if v.Leaves > 0 && n == 1 {
			w.at(clients, v.At+v.Leaves, func(now time.Duration) {
				if current && !v.ended {
					v.ended = true
					in.leave(now, c)
				}
			})
		}
	})
	// The client's own clock ends the try. What the instance still owes it, the ledger watches.
	patience = w.at(clients, deadline+w.e.Site.Rules.AnswerSlack, func(now time.Duration) {
		if current && !v.ended {
			current = false
			w.tried(now, v, ledger.Failed, 0)
		}
	})
}

// tried takes the end of one try: the request's end, or a retry where the client may ask again.
func (w *world) tried(now time.Duration, v *want, f ledger.Fate, retryAfter time.Duration) {
	class := &w.e.Site.Classes[v.Class]
	took := now - v.At
	if f == ledger.Served {
		v.ended = true
		fate := tally.InTime
		if took > class.Aim {
			fate = tally.Late
		}
		w.tally.Ended(*class, v.Class, v.Tenant, v.At, took, fate)
		return
	}
	harmless := class.Effect == tuliprock.Safe || f == ledger.Refused || retryAfter == unreachable
	wait := w.e.Load.Clients.RetryWait << (v.tries - 1)
	if w.e.Load.Clients.Heed {
		wait = max(wait, retryAfter)
	}
	if harmless && v.tries <= w.e.Load.Clients.Retries && now+wait < v.At+class.Deadline {
		w.at(&w.party, now+wait, func(now time.Duration) { w.try(now, v) })
		return
	}
	v.ended = true
	fate := tally.Failed
	if f == ledger.Refused {
		fate = tally.Refused
	}
	w.tally.Ended(*class, v.Class, v.Tenant, v.At, took, fate)
}
