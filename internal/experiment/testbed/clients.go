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

// requestInfo is what servers must know of a request to play their part.
type requestInfo struct {
	classIndex int
	work       float64 // seconds, over all tiers
	repeat     balancer.Repeatability
	tenant     string
	deadline   time.Duration // the class's whole time
}

// storeRequest notes what servers must know of a request.
func (r *testRun) storeRequest(id string, q requestInfo) { r.requests.Store(id, q) }

// requestInfo returns what is known of a request; nothing is known of one that no client sent.
func (r *testRun) requestInfo(id string) requestInfo {
	if q, ok := r.requests.Load(id); ok {
		return q.(requestInfo)
	}
	return requestInfo{}
}

// offCPUTime is the time that a request waits for others than its own tiers, at the last of them.
func (r *testRun) offCPUTime(q requestInfo, calls bool) time.Duration {
	if calls {
		return 0
	}
	return r.e.Site.Classes[q.classIndex].OffCPUTime
}

// attemptOutcome is how an attempt ended.
type attemptOutcome struct {
	outcome       invariant.Outcome
	retryAfter    time.Duration
	connectFailed bool // no connection came about: nothing was asked
	clientLeft    bool
}

// timingSlack is how long after the deadline an answer still counts on sockets, as for the checker.
const timingSlack = 50 * time.Millisecond

// send sends a request to a sidecar and waits for its end. A connection that closes without an answer before a request
// was read is replaced once (PROTOCOL, Callers to sidecars). When ctx ends, the client leaves without a word.
func (r *testRun) send(m *request, q requestInfo, s *sidecar, l *connPool, ctx context.Context) attemptOutcome {
	text := m.bytes()
	for try := range 2 {
		c, err := l.acquire(try > 0)
		if err != nil {
			if try > 0 {
				r.checker.Waive(m.id)
			}
			return attemptOutcome{outcome: invariant.Failed, connectFailed: true}
		}
		start := time.Now()
		deadline := start.Add(m.patience)
		if try == 0 {
			r.checker.RecordRequest(r.now(), invariant.Request{ID: m.id, Instance: s.name, Repeat: q.repeat, Deadline: r.now() + m.patience, Digest: m.digest()})
		}
		stop := context.AfterFunc(ctx, func() { // before its connection goes: what ends by that is no loss
			r.checker.Waive(m.id)
			c.Close()
		})
		a, reusable, err := c.exchange(text, m.method, deadline.Add(r.e.Site.Rules.ResponseSlack+timingSlack))
		used := c.used
		if !stop() {
			l.closeConn(c)
			return attemptOutcome{outcome: invariant.Failed, clientLeft: true}
		}
		if err == nil && reusable {
			l.release(c)
		} else {
			l.closeConn(c)
		}
		switch {
		case errors.Is(err, errTimeout):
			r.checker.RecordTimeout(m.id)
			return attemptOutcome{outcome: invariant.Failed}
		case errors.Is(err, errClosed):
			if !used || s.killed.Load() {
				r.checker.Waive(m.id) // TERMS, Failed and lost requests
				return attemptOutcome{outcome: invariant.Failed}
			}
			if r.checker.RecordClosedConn(r.now(), m.id) {
				return attemptOutcome{outcome: invariant.Failed}
			}
			continue
		}
		out := attemptOutcome{retryAfter: a.retryAfter}
		switch {
		case a.truncated:
			out.outcome = invariant.Truncated
		case a.status == http.StatusOK:
			out.outcome = invariant.Served
		case a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable:
			out.outcome = invariant.Rejected
		default:
			out.outcome = invariant.Failed
		}
		r.checker.RecordResponse(r.now(), m.id, out.outcome, xxhash.Sum64(a.body))
		return out
	}
	r.checker.Waive(m.id)
	return attemptOutcome{outcome: invariant.Failed}
}

// playClient plays one client: its request, at the time intended, and its retries.
func (r *testRun) playClient(n int, v *traffic.Request) {
	class := r.e.Site.Classes[v.Class]
	q := requestInfo{classIndex: v.Class, work: v.Work, repeat: class.Repeat, deadline: class.Deadline}
	if v.Tenant >= 0 {
		q.tenant = r.e.Site.Tenants[v.Tenant].Name
	}
	for try := 0; ; try++ {
		now := r.now()
		left := v.At + class.Deadline - now
		patience := min(v.Patience, left)
		if patience < time.Millisecond {
			r.recordOutcome(class, v, counters.Failed)
			return
		}
		m := &request{id: strconv.FormatUint(v.Seed, 16) + "-" + strconv.Itoa(n) + "-" + strconv.Itoa(try), method: http.MethodGet,
			target: "/" + class.Name + "/" + strconv.Itoa(n), tenant: q.tenant, patience: patience, retry: try > 0}
		if class.Repeat != balancer.Idempotent {
			m.method, m.body = http.MethodPost, []byte("return of household "+strconv.Itoa(n))
		}
		r.storeRequest(m.id, q)
		s := r.pickSidecar(v.Seed + uint64(try))
		ctx, cancel := r.ctx, context.CancelFunc(func() {})
		if v.DisconnectsAfter > 0 && try == 0 {
			ctx, cancel = context.WithTimeout(r.ctx, max(v.At+v.DisconnectsAfter-now, time.Millisecond))
		}
		r.requestsSent.Add(1)
		out := r.send(m, q, s, s.conns, ctx)
		cancel()
		if out.clientLeft || r.ctx.Err() != nil {
			return
		}
		if out.outcome == invariant.Served {
			fate := counters.ServedInTime
			if r.now()-v.At > class.LatencyObjective {
				fate = counters.ServedLate
			}
			r.recordOutcome(class, v, fate)
			return
		}
		harmless := class.Repeat == balancer.Idempotent || out.outcome == invariant.Rejected || out.connectFailed
		wait := r.e.Load.Clients.RetryWait << try
		if r.e.Load.Clients.HonorRetryAfter {
			wait = max(wait, out.retryAfter)
		}
		if !harmless || try >= r.e.Load.Clients.Retries || r.now()+wait >= v.At+class.Deadline {
			fate := counters.Failed
			if out.outcome == invariant.Rejected {
				fate = counters.Rejected
			}
			r.recordOutcome(class, v, fate)
			return
		}
		select {
		case <-time.After(wait):
		case <-r.ctx.Done():
			return
		}
	}
}

func (r *testRun) recordOutcome(c experiment.Class, v *traffic.Request, f counters.Outcome) {
	took := r.now() - v.At
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.Record(c, v.Class, v.Tenant, v.At, took, f)
}

// pickSidecar deals a client to one of the sidecars that the front tier's load balancer knows to be up, or to any if none is.
func (r *testRun) pickSidecar(n uint64) *sidecar {
	for i := range r.frontSidecars {
		if s := r.frontSidecars[(n+uint64(i))%uint64(len(r.frontSidecars))]; s.up.Load() {
			return s
		}
	}
	return r.frontSidecars[n%uint64(len(r.frontSidecars))]
}
