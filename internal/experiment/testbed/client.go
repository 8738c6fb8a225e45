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

// requestInfo is what servers must know of a request to run it.
type requestInfo struct {
	classIndex int
	work       float64 // seconds, over all tiers
	repeat     balancer.Idempotency
	tenant     string
	deadline   time.Duration // the class's whole time
}

// storeRequest stores what servers must know of a request.
func (r *testRun) storeRequest(id string, info requestInfo) { r.requests.Store(id, info) }

// requestInfo returns what storeRequest stored; the zero value for a request that no client sent.
func (r *testRun) requestInfo(id string) requestInfo {
	if info, ok := r.requests.Load(id); ok {
		return info.(requestInfo)
	}
	return requestInfo{}
}

// attemptOutcome is how a client's attempt ended.
type attemptOutcome struct {
	outcome       invariant.Outcome
	retryAfter    time.Duration
	connectFailed bool // nothing was sent
	clientLeft    bool
}

// failed is the outcome of an attempt without a response.
var failed = attemptOutcome{outcome: invariant.Failed}

// send sends a request to a sidecar and waits for its end. A connection that closes without a
// response before the sidecar had read the request is replaced once (PROTOCOL, Callers to
// sidecars). When ctx ends, the client disconnects.
func (r *testRun) send(ctx context.Context, m *request, info requestInfo, s *sidecar, pool *connPool) attemptOutcome {
	c, err := pool.acquire()
	if err != nil {
		return attemptOutcome{outcome: invariant.Failed, connectFailed: true}
	}
	r.checker.RecordRequest(r.now(), invariant.Request{ID: m.id, Instance: s.name, Idempotency: info.repeat,
		Deadline: r.now() + m.patience, Digest: m.digest()})
	outcome, replace := r.sendOn(ctx, c, m, s, pool)
	if !replace {
		return outcome
	}
	if c, err = pool.dial(); err != nil {
		r.checker.Waive(m.id)
		return attemptOutcome{outcome: invariant.Failed, connectFailed: true}
	}
	outcome, _ = r.sendOn(ctx, c, m, s, pool) // a new connection is not replaced
	return outcome
}

// sendOn sends a request on a connection and waits for its end. It reports whether the request is
// to be sent again because the sidecar closed the connection without having read it.
func (r *testRun) sendOn(ctx context.Context, c *clientConn, m *request, s *sidecar,
	pool *connPool) (out attemptOutcome, replace bool) {
	wasUsed := c.used
	deadline := time.Now().Add(m.patience + r.experiment.Site.Rules.ResponseSlack + timingSlack)
	stop := context.AfterFunc(ctx, func() {
		r.checker.Waive(m.id) // before the close, so that the close is no violation
		c.Close()
	})
	resp, err := c.exchange(m, deadline)
	if !stop() {
		pool.closeConn(c)
		return attemptOutcome{outcome: invariant.Failed, clientLeft: true}, false
	}
	if err == nil && resp.keepsConn {
		pool.release(c)
	} else {
		pool.closeConn(c)
	}
	switch {
	case err == nil:
		return r.recordResponse(m, resp), false
	case errors.Is(err, errTimeout):
		r.checker.RecordTimeout(m.id)
		return failed, false
	case !wasUsed || s.killed.Load():
		r.checker.Waive(m.id) // TERMS, Failed and lost requests
		return failed, false
	}
	isViolation := r.checker.RecordClosedConn(r.now(), m.id)
	return failed, !isViolation
}

// recordResponse records a response and returns the outcome that it stands for.
func (r *testRun) recordResponse(m *request, resp response) attemptOutcome {
	out := attemptOutcome{retryAfter: resp.retryAfter, outcome: invariant.Failed}
	switch {
	case resp.truncated:
		out.outcome = invariant.Truncated
	case resp.status == http.StatusOK:
		out.outcome = invariant.Served
	case resp.status == http.StatusTooManyRequests || resp.status == http.StatusServiceUnavailable:
		out.outcome = invariant.Rejected
	}
	r.checker.RecordResponse(r.now(), m.id, out.outcome, xxhash.Sum64(resp.body))
	return out
}

// runClient runs client n: its request at the intended time, and its retries.
func (r *testRun) runClient(n int, c *traffic.Request) {
	class := r.experiment.Site.Classes[c.Class]
	info := requestInfo{classIndex: c.Class, work: c.Work, repeat: class.Idempotency, deadline: class.Deadline}
	if c.Tenant >= 0 {
		info.tenant = r.experiment.Site.Tenants[c.Tenant].Name
	}
	for retries := 0; ; retries++ {
		patience := min(c.Patience, c.At+class.Deadline-r.now())
		if patience < time.Millisecond {
			r.recordOutcome(class, c, counters.Failed)
			return
		}
		m := newRequest(n, c, class, info.tenant, patience, retries)
		r.storeRequest(m.id, info)
		out := r.sendClientRequest(c, m, info, retries)
		if out.clientLeft || r.ctx.Err() != nil {
			return
		}
		if out.outcome == invariant.Served {
			outcome := counters.ServedInTime
			if r.now()-c.At > class.LatencyObjective {
				outcome = counters.ServedLate
			}
			r.recordOutcome(class, c, outcome)
			return
		}
		wait, retry := r.retryWait(c, class, out, retries)
		if !retry {
			outcome := counters.Failed
			if out.outcome == invariant.Rejected {
				outcome = counters.Rejected
			}
			r.recordOutcome(class, c, outcome)
			return
		}
		select {
		case <-time.After(wait):
		case <-r.ctx.Done():
			return
		}
	}
}

// newRequest returns the request of client n, or a retry of it.
func newRequest(n int, c *traffic.Request, class experiment.Class, tenant string, patience time.Duration,
	retries int) *request {
	number := strconv.Itoa(n)
	m := &request{
		id:       strconv.FormatUint(c.Seed, 16) + "-" + number + "-" + strconv.Itoa(retries),
		method:   http.MethodGet,
		target:   "/" + class.Name + "/" + number,
		tenant:   tenant,
		patience: patience,
		retry:    retries > 0,
	}
	if class.Idempotency != balancer.Idempotent {
		m.method, m.body = http.MethodPost, []byte("return of household "+number)
	}
	return m
}

// sendClientRequest sends a client's request to one of the sidecars before the first tier. A client
// that leaves early does so during its first attempt.
func (r *testRun) sendClientRequest(c *traffic.Request, m *request, info requestInfo, retries int) attemptOutcome {
	s := r.pickSidecar(c.Seed + uint64(retries))
	ctx := r.ctx
	if c.DisconnectsAfter > 0 && retries == 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(r.ctx, max(c.At+c.DisconnectsAfter-r.now(), time.Millisecond))
		defer cancel()
	}
	r.requestsSent.Add(1)
	return r.send(ctx, m, info, s, s.conns)
}

// retryWait returns how long a client waits before its next retry, and whether it retries at all.
func (r *testRun) retryWait(c *traffic.Request, class experiment.Class, out attemptOutcome,
	retries int) (wait time.Duration, retry bool) {
	clients := r.experiment.Load.Clients
	harmless := class.Idempotency == balancer.Idempotent || out.outcome == invariant.Rejected || out.connectFailed
	wait = clients.RetryWait << retries
	if clients.HonorRetryAfter {
		wait = max(wait, out.retryAfter)
	}
	return wait, harmless && retries < clients.Retries && r.now()+wait < c.At+class.Deadline
}

func (r *testRun) recordOutcome(class experiment.Class, c *traffic.Request, outcome counters.Outcome) {
	latency := r.now() - c.At
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.Record(class, c.Class, c.Tenant, c.At, latency, outcome)
}

// pickSidecar returns the sidecar for the nth client: of those that are up, if there are any.
func (r *testRun) pickSidecar(n uint64) *sidecar {
	count := uint64(len(r.frontSidecars))
	for i := range count {
		if s := r.frontSidecars[(n+i)%count]; s.up.Load() {
			return s
		}
	}
	return r.frontSidecars[n%count]
}
