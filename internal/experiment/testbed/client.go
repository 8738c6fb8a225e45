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
	classIndex  int
	work        float64 // seconds, over all tiers
	idempotency balancer.Idempotency
	tenant      string
	deadline    time.Duration // the class's
}

// requestInfo returns the info of a request that was sent; the zero value for a request that no
// client sent.
func (r *testRun) requestInfo(id string) requestInfo {
	if info, ok := r.requests.Load(id); ok {
		return info.(requestInfo)
	}
	return requestInfo{}
}

// attemptOutcome is how a client's attempt ended.
type attemptOutcome struct {
	outcome            invariant.Outcome
	retryAfter         time.Duration
	connectFailed      bool // nothing was sent
	unread             bool // the sidecar closed a reused connection without having read the request
	clientDisconnected bool
}

// send sends a request to a sidecar and waits for its end. A connection that closes without a
// response before the sidecar had read the request is replaced once (PROTOCOL, Callers to
// sidecars). When ctx ends, the client disconnects.
func (r *testRun) send(ctx context.Context, m *request, s *sidecar) attemptOutcome {
	r.requests.Store(m.id, m.info)
	c, err := s.conns.acquire()
	if err != nil {
		return attemptOutcome{outcome: invariant.Failed, connectFailed: true}
	}
	r.checker.RecordRequest(r.now(), invariant.Request{
		ID:          m.id,
		Instance:    s.name,
		Idempotency: m.info.idempotency,
		Deadline:    r.now() + m.patience,
		Digest:      m.digest(),
	})
	out := r.sendOn(ctx, c, m, s)
	if !out.unread {
		return out
	}
	if c, err = s.conns.dial(); err != nil {
		r.checker.Waive(m.id)
		return attemptOutcome{outcome: invariant.Failed, connectFailed: true}
	}
	return r.sendOn(ctx, c, m, s)
}

// sendOn sends a request on a connection to a sidecar and waits for its end.
func (r *testRun) sendOn(ctx context.Context, c *clientConn, m *request, s *sidecar) attemptOutcome {
	reused := c.used
	deadline := time.Now().Add(m.patience + r.experiment.Site.Rules.ResponseSlack + timingSlack)
	stop := context.AfterFunc(ctx, func() {
		r.checker.Waive(m.id) // before the close, so that the close is no violation
		c.Close()
	})
	resp, err := c.exchange(m, deadline)
	if !stop() {
		s.conns.closeConn(c)
		return attemptOutcome{outcome: invariant.Failed, clientDisconnected: true}
	}
	if err == nil && resp.reusable {
		s.conns.release(c)
	} else {
		s.conns.closeConn(c)
	}
	switch {
	case err == nil:
		return r.recordResponse(m, resp)
	case errors.Is(err, errTimeout):
		r.checker.RecordTimeout(m.id)
		return attemptOutcome{outcome: invariant.Failed}
	case !reused || s.killed.Load():
		r.checker.Waive(m.id) // TERMS, Failed and lost requests
		return attemptOutcome{outcome: invariant.Failed}
	}
	closedAt := r.now()
	if s.hasExited() { // watchExit records the crash, which includes the requests in flight
		r.checker.Waive(m.id)
		return attemptOutcome{outcome: invariant.Failed}
	}
	lost := r.checker.RecordClosedConn(closedAt, m.id)
	return attemptOutcome{outcome: invariant.Failed, unread: !lost}
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

// minPatience is the least time that a client waits for a response; with less left it gives up.
const minPatience = time.Millisecond

// client is one client: a request and its retries.
type client struct {
	run     *testRun
	number  int
	request *traffic.Request
	class   experiment.Class
	info    requestInfo
}

// newClient returns the client with a number that is to send a request.
func (r *testRun) newClient(number int, request *traffic.Request) *client {
	class := r.experiment.Site.Classes[request.Class]
	c := &client{run: r, number: number, request: request, class: class, info: requestInfo{
		classIndex:  request.Class,
		work:        request.Work,
		idempotency: class.Idempotency,
		deadline:    class.Deadline,
	}}
	if request.Tenant >= 0 {
		c.info.tenant = r.experiment.Site.Tenants[request.Tenant].Name
	}
	return c
}

// do sends the request at once, and its retries, and records the final outcome. Nothing is recorded
// if the client disconnects or the run ends.
func (c *client) do() {
	for retries := 0; ; retries++ {
		patience := min(c.request.Patience, c.deadline()-c.run.now())
		if patience < minPatience {
			c.record(counters.Failed)
			return
		}
		out := c.send(patience, retries)
		if out.clientDisconnected || c.run.ctx.Err() != nil {
			return
		}
		retryAt := c.run.now() + c.retryWait(out, retries)
		if !c.mayRetry(out, retries, retryAt) {
			c.record(c.finalOutcome(out))
			return
		}
		if !c.run.sleepUntil(retryAt) {
			return
		}
	}
}

// deadline returns the instant at which the client gives up.
func (c *client) deadline() time.Duration { return c.request.At + c.class.Deadline }

// send makes one attempt, at one of the sidecars before the first tier. A client that disconnects
// early does so during its first attempt.
func (c *client) send(patience time.Duration, retries int) attemptOutcome {
	r := c.run
	ctx := r.ctx
	if c.request.DisconnectsAfter > 0 && retries == 0 {
		disconnectAt := c.request.At + c.request.DisconnectsAfter
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(r.ctx, max(disconnectAt-r.now(), time.Millisecond))
		defer cancel()
	}
	r.requestsSent.Add(1)
	return r.send(ctx, c.newRequest(patience, retries), r.pickSidecar(c.request.Seed+uint64(retries)))
}

// newRequest returns the request as it is sent after a number of retries.
func (c *client) newRequest(patience time.Duration, retries int) *request {
	number := strconv.Itoa(c.number)
	m := &request{
		info:     c.info,
		id:       strconv.FormatUint(c.request.Seed, 16) + "-" + number + "-" + strconv.Itoa(retries),
		method:   http.MethodGet,
		target:   "/" + c.class.Name + "/" + number,
		tenant:   c.info.tenant,
		patience: patience,
		retry:    retries > 0,
	}
	if c.class.Idempotency != balancer.Idempotent {
		m.method = http.MethodPost
		m.body = []byte("return of household " + number)
	}
	return m
}

// retryWait returns how long the client waits before its next retry.
func (c *client) retryWait(out attemptOutcome, retries int) time.Duration {
	clients := c.run.experiment.Load.Clients
	wait := clients.RetryWait << retries
	if clients.HonorRetryAfter {
		wait = max(wait, out.retryAfter)
	}
	return wait
}

// mayRetry reports whether the client makes another attempt, which would begin at an instant.
func (c *client) mayRetry(out attemptOutcome, retries int, at time.Duration) bool {
	if out.outcome == invariant.Served || retries >= c.run.experiment.Load.Clients.Retries {
		return false
	}
	hasNotRun := out.outcome == invariant.Rejected || out.connectFailed
	return (c.class.Idempotency == balancer.Idempotent || hasNotRun) && at < c.deadline()
}

// finalOutcome returns the outcome of the request if this was its last attempt, which has just
// ended.
func (c *client) finalOutcome(out attemptOutcome) counters.Outcome {
	switch out.outcome {
	case invariant.Served:
		if c.run.now()-c.request.At > c.class.LatencyObjective {
			return counters.ServedLate
		}
		return counters.ServedInTime
	case invariant.Rejected:
		return counters.Rejected
	default:
		return counters.Failed
	}
}

// record counts the request with its final outcome.
func (c *client) record(outcome counters.Outcome) {
	r := c.run
	ended := counters.Request{
		Class:   c.request.Class,
		Tenant:  c.request.Tenant,
		At:      c.request.At,
		Latency: r.now() - c.request.At,
		Outcome: outcome,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.Record(ended)
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
