package testbed

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"rowancart/balancer"
	"rowancart/internal/experiment"
	"rowancart/internal/experiment/counters"
	"rowancart/internal/experiment/invariant"
	"rowancart/internal/experiment/traffic"
)

// wanted is what boxes must know of a request to play their part.
type wanted struct {
	class    int
	work     float64 // seconds, over all tiers
	effect   balancer.Repeatability
	tenant   string
	deadline time.Duration // the class's whole time
}

// remember notes what boxes must know of a request.
func (r *run) remember(id string, q wanted) { r.requests.Store(id, q) }

// wanted gives what is known of a request; nothing is known of one that no client sent.
func (r *run) wanted(id string) wanted {
	if q, ok := r.requests.Load(id); ok {
		return q.(wanted)
	}
	return wanted{}
}

// pause is the time that a request waits for others than its own tiers, at the last of them.
func (r *run) pause(q wanted, calls bool) time.Duration {
	if calls {
		return 0
	}
	return r.e.Site.Classes[q.class].Wait
}

// outcome is how a try ended.
type outcome struct {
	fate       invariant.Fate
	retryAfter time.Duration
	nobody     bool // no connection came about: nothing was asked
	left       bool
}

// socketSlack is how long after the deadline an answer still counts on sockets, as for the ledger.
const socketSlack = 50 * time.Millisecond

// ask sends a request to a sidecar and waits for its end. A connection that closes without an answer before a request
// was read is replaced once (PROTOCOL, Callers to sidecars). When ctx ends, the client leaves without a word.
func (r *run) ask(m *message, q wanted, s *sidecar, l *links, ctx context.Context) outcome {
	text := m.bytes()
	for try := range 2 {
		c, err := l.take(try > 0)
		if err != nil {
			if try > 0 {
				r.ledger.Excuse(m.id)
			}
			return outcome{fate: invariant.Failed, nobody: true}
		}
		start := time.Now()
		deadline := start.Add(m.patience)
		if try == 0 {
			r.ledger.Taken(r.now(), invariant.Request{ID: m.id, Instance: s.name, Effect: q.effect, Deadline: r.now() + m.patience, Digest: m.digest()})
		}
		stop := context.AfterFunc(ctx, func() { // before its connection goes: what ends by that is no loss
			r.ledger.Excuse(m.id)
			c.Close()
		})
		a, reusable, err := c.exchange(text, m.method, deadline.Add(r.e.Site.Rules.AnswerSlack+socketSlack))
		used := c.used
		if !stop() {
			l.drop(c)
			return outcome{fate: invariant.Failed, left: true}
		}
		if err == nil && reusable {
			l.put(c)
		} else {
			l.drop(c)
		}
		switch {
		case errors.Is(err, errSilent):
			r.ledger.Unanswered(m.id)
			return outcome{fate: invariant.Failed}
		case errors.Is(err, errClosed):
			if !used || s.killed.Load() {
				r.ledger.Excuse(m.id) // TERMS, Failed and lost requests
				return outcome{fate: invariant.Failed}
			}
			if r.ledger.Lost(r.now(), m.id) {
				return outcome{fate: invariant.Failed}
			}
			continue
		}
		out := outcome{retryAfter: a.retryAfter}
		switch {
		case a.torn:
			out.fate = invariant.Torn
		case a.status == http.StatusOK:
			out.fate = invariant.Served
		case a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable:
			out.fate = invariant.Refused
		default:
			out.fate = invariant.Failed
		}
		r.ledger.Answered(r.now(), m.id, out.fate, xxhash.Sum64(a.body))
		return out
	}
	r.ledger.Excuse(m.id)
	return outcome{fate: invariant.Failed}
}

// client plays one client: its request, at the time intended, and its retries.
func (r *run) client(n int, v *traffic.Request) {
	class := r.e.Site.Classes[v.Class]
	q := wanted{class: v.Class, work: v.Work, effect: class.Effect, deadline: class.Deadline}
	if v.Tenant >= 0 {
		q.tenant = r.e.Site.Tenants[v.Tenant].Name
	}
	for try := 0; ; try++ {
		now := r.now()
		left := v.At + class.Deadline - now
		patience := min(v.Patience, left)
		if patience < time.Millisecond {
			r.ended(class, v, counters.Failed)
			return
		}
		m := &message{id: strconv.FormatUint(v.Seed, 16) + "-" + strconv.Itoa(n) + "-" + strconv.Itoa(try), method: http.MethodGet,
			target: "/" + class.Name + "/" + strconv.Itoa(n), tenant: q.tenant, patience: patience, retry: try > 0}
		if class.Effect != balancer.Idempotent {
			m.method, m.body = http.MethodPost, []byte("return of household "+strconv.Itoa(n))
		}
		r.remember(m.id, q)
		s := r.pick(v.Seed + uint64(try))
		ctx, cancel := r.work, context.CancelFunc(func() {})
		if v.Leaves > 0 && try == 0 {
			ctx, cancel = context.WithTimeout(r.work, max(v.At+v.Leaves-now, time.Millisecond))
		}
		r.asked.Add(1)
		out := r.ask(m, q, s, s.links, ctx)
		cancel()
		if out.left || r.work.Err() != nil {
			return
		}
		if out.fate == invariant.Served {
			fate := counters.InTime
			if r.now()-v.At > class.Aim {
				fate = counters.Late
			}
			r.ended(class, v, fate)
			return
		}
		harmless := class.Effect == balancer.Idempotent || out.fate == invariant.Refused || out.nobody
		wait := r.e.Load.Clients.RetryWait << try
		if r.e.Load.Clients.Heed {
			wait = max(wait, out.retryAfter)
		}
		if !harmless || try >= r.e.Load.Clients.Retries || r.now()+wait >= v.At+class.Deadline {
			fate := counters.Failed
			if out.fate == invariant.Refused {
				fate = counters.Refused
			}
			r.ended(class, v, fate)
			return
		}
		select {
		case <-time.After(wait):
		case <-r.work.Done():
			return
		}
	}
}

func (r *run) ended(c experiment.Class, v *traffic.Request, f counters.Fate) {
	took := r.now() - v.At
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.Ended(c, v.Class, v.Tenant, v.At, took, f)
}

// pick deals a client to one of the sidecars that the front knows to be up, or to any if none is.
func (r *run) pick(n uint64) *sidecar {
	for i := range r.front {
		if s := r.front[(n+uint64(i))%uint64(len(r.front))]; s.up.Load() {
			return s
		}
	}
	return r.front[n%uint64(len(r.front))]
}
