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

// requestInfo is what servers must know about a request to process it.
type requestInfo struct {
	classIndex  int
	work        float64 // seconds on a core of speed 1, summed over all tiers
	idempotency balancer.Idempotency
	tenant      string
	deadline    time.Duration // of the request's class
}

// requestInfo returns the info of the request with this ID, or the zero value if no client or
// server has sent one.
func (r *testRun) requestInfo(id string) requestInfo {
	if info, ok := r.requests.Load(id); ok {
		return info.(requestInfo)
	}
	return requestInfo{}
}

// attemptOutcome describes how a client's attempt ended.
type attemptOutcome struct {
	outcome            invariant.Outcome
	retryAfter         time.Duration
	connectFailed      bool // nothing was sent
	unread             bool // the sidecar closed a reused connection before it read the request
	clientDisconnected bool
}

// send sends a request to a sidecar and waits for the outcome. If the sidecar closes the connection
// without a response before it has read the request, send repeats the request once on a new
// connection (PROTOCOL, section Callers to sidecars). When ctx ends, the client disconnects.
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
		Deadline:    r.now() + m.timeout,
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

// sendOn sends a request on a connection to a sidecar and waits for the outcome.
func (r *testRun) sendOn(ctx context.Context, c *clientConn, m *request, s *sidecar) attemptOutcome {
	reused := c.used
	deadline := time.Now().Add(m.timeout + r.experiment.Site.Rules.ResponseSlack + timingSlack)
	stop := context.AfterFunc(ctx, func() {
		r.checker.Waive(m.id) // before the close, so that the checker does not count the close as a violation
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
		r.checker.Waive(m.id) // not a lost request (TERMS, section Failed and lost requests)
		return attemptOutcome{outcome: invariant.Failed}
	}
	closedAt := r.now()
	if s.hasExited() { // watchExit records the crash, which covers the requests in flight
		r.checker.Waive(m.id)
		return attemptOutcome{outcome: invariant.Failed}
	}
	lost := r.checker.RecordClosedConn(closedAt, m.id)
	return attemptOutcome{outcome: invariant.Failed, unread: !lost}
}

// recordResponse reports a response to the checker and returns the outcome of the attempt.
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

// minAttemptTimeout is the shortest timeout of an attempt. The client gives up if less time
// remains.
const minAttemptTimeout = time.Millisecond

// client sends one request and its retries.
type client struct {
	run     *testRun
	number  int
	request *traffic.Request
	class   experiment.Class
	info    requestInfo
}

// newClient returns the client that sends the request with this number in the run.
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

// sendWithRetries sends the request immediately, retries it if necessary and records the final
// outcome. It records no outcome if the client disconnects or the run ends.
func (c *client) sendWithRetries() {
	for retries := 0; ; retries++ {
		timeout := min(c.request.Patience, c.deadline()-c.run.now())
		if timeout < minAttemptTimeout {
			c.record(counters.Failed)
			return
		}
		out := c.send(timeout, retries)
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

// deadline returns the time at which the client gives up.
func (c *client) deadline() time.Duration { return c.request.At + c.class.Deadline }

// send makes one attempt through one of the sidecars before the first tier. A client that
// disconnects early does so during its first attempt.
func (c *client) send(timeout time.Duration, retries int) attemptOutcome {
	r := c.run
	ctx := r.ctx
	if c.request.DisconnectsAfter > 0 && retries == 0 {
		disconnectAt := c.request.At + c.request.DisconnectsAfter
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(r.ctx, max(disconnectAt-r.now(), time.Millisecond))
		defer cancel()
	}
	r.requestsSent.Add(1)
	return r.send(ctx, c.newRequest(timeout, retries), r.pickSidecar(c.request.Seed+uint64(retries)))
}

// newRequest returns the request for an attempt that follows the given number of retries.
func (c *client) newRequest(timeout time.Duration, retries int) *request {
	number := strconv.Itoa(c.number)
	m := &request{
		info:    c.info,
		id:      strconv.FormatUint(c.request.Seed, 16) + "-" + number + "-" + strconv.Itoa(retries),
		method:  http.MethodGet,
		target:  "/" + c.class.Name + "/" + number,
		tenant:  c.info.tenant,
		timeout: timeout,
		retry:   retries > 0,
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

// mayRetry reports whether the client may make another attempt, which would begin at the given
// time.
func (c *client) mayRetry(out attemptOutcome, retries int, at time.Duration) bool {
	if out.outcome == invariant.Served || retries >= c.run.experiment.Load.Clients.Retries {
		return false
	}
	hasNotRun := out.outcome == invariant.Rejected || out.connectFailed
	return (c.class.Idempotency == balancer.Idempotent || hasNotRun) && at < c.deadline()
}

// finalOutcome returns the outcome of the request, given that its last attempt has just ended with
// out.
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

// record adds the request with its final outcome to the counters.
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

// pickSidecar returns the sidecar at position n, modulo their number, or the next one that is up.
// If none is up, it returns the one at position n.
func (r *testRun) pickSidecar(n uint64) *sidecar {
	count := uint64(len(r.frontSidecars))
	for i := range count {
		if s := r.frontSidecars[(n+i)%count]; s.up.Load() {
			return s
		}
	}
	return r.frontSidecars[n%count]
}
