package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// requestRecord holds what a checker has recorded about one request.
type requestRecord struct {
	class          class
	body           string
	sentAt         time.Time
	deadline       time.Duration
	disconnectedAt time.Time // zero: the client has not disconnected
	responses      int
	mayHaveRun     []time.Time // times of attempts that reached an endpoint and were not rejected
}

// history describes the request and its attempts so far.
func (r *requestRecord) history() string {
	text := fmt.Sprintf("%s, body of %d bytes, deadline %v", r.class.name, len(r.body), r.deadline)
	for _, at := range r.mayHaveRun {
		text += fmt.Sprintf(", attempt after %v", at.Sub(r.sentAt))
	}
	return text
}

// endpointRecord holds what a checker has recorded about one endpoint.
type endpointRecord struct {
	// unavailableSince is the time from which all sidecars count as notified that the endpoint is
	// draining, removed or disabled; zero: it is available.
	unavailableSince time.Time
	startedAt        time.Time // latest start; zero: not restarted during the run, so it is warm
	// startNotifiedAt is the time from which all sidecars count as notified of that start; zero: not
	// notified yet.
	startNotifiedAt time.Time
	attempts        []time.Time // in order of receipt
}

// checker is the invariant checker. It records what the peers of the sidecars observe, checks it
// against the rules and records violations. It is safe for concurrent use.
type checker struct {
	budget    warmupBudget
	keyWindow time.Duration
	// allowance returns by how much the times that this process has recorded since the given time
	// may be late.
	allowance func(since time.Time) time.Duration

	mu         sync.Mutex
	requests   map[string]*requestRecord
	endpoints  map[string]*endpointRecord
	violations []string
	events     []event
	counts     map[string]int // number of events and observations, by name
}

func newChecker(budget warmupBudget, keyWindow time.Duration, allowance func(time.Time) time.Duration) *checker {
	return &checker{
		budget:    budget,
		keyWindow: keyWindow,
		allowance: allowance,
		requests:  map[string]*requestRecord{},
		endpoints: map[string]*endpointRecord{},
		counts:    map[string]int{},
	}
}

// event is an action of a run on the sidecars or their peers, such as a fault.
type event struct {
	at   time.Time
	name string
}

// eventMaxAge is the maximum age of the events that are listed with a violation.
const eventMaxAge = 4 * time.Second

// recordEvent counts an event and records it, so that violations within eventMaxAge list it.
func (c *checker) recordEvent(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
	c.events = append(c.events, event{time.Now(), name})
}

// count increments the count with the given name.
func (c *checker) count(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
}

// recordViolation records a violation of a rule.
func (c *checker) recordViolation(r rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordViolationLocked(r, format, args...)
}

func (c *checker) recordViolationLocked(r rule, format string, args ...any) {
	text := fmt.Sprintf("%s: %s", r, fmt.Sprintf(format, args...))
	for _, e := range c.events {
		if age := time.Since(e.at); age < eventMaxAge {
			text += fmt.Sprintf("; %.3f s before: %s", age.Seconds(), e.name)
		}
	}
	c.violations = append(c.violations, text)
}

// recordSent records a request, or updates the time at which it was sent: in a later phase of the
// write, or when the request is sent again on a new connection. For a request that is already
// recorded, a zero time keeps the earlier time.
func (c *checker) recordSent(id string, class class, body string, at time.Time, deadline time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		if !at.IsZero() {
			r.sentAt = at
		}
		return
	}
	c.requests[id] = &requestRecord{class: class, body: body, sentAt: at, deadline: deadline}
	c.counts["requests"]++
}

// recordDisconnect records that the client has closed the connection on which it sent the request.
func (c *checker) recordDisconnect(id string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id].disconnectedAt = at
	c.counts["disconnects"]++
}

// recordResponse records that a client has read a final response to its end.
func (c *checker) recordResponse(id string, status int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	r.responses++
	c.counts[fmt.Sprint("status ", status)]++
	if r.responses > 1 {
		c.recordViolationLocked(ruleResponse, "%s has %d responses", id, r.responses)
	}
	if late := at.Sub(r.sentAt) - r.deadline; late > responseGrace+c.allowance(r.sentAt) {
		c.recordViolationLocked(ruleResponse, "%s (%s) got status %d, %v after its deadline",
			id, r.history(), status, late)
	}
	if status == http.StatusOK && len(r.mayHaveRun) == 0 {
		c.recordViolationLocked(ruleResponse, "%s got status 200, but no endpoint accepted an attempt", id)
	}
}

// recordNoResponse records a violation: the request's client got no response.
func (c *checker) recordNoResponse(id string, err error) {
	c.recordViolation(ruleResponse, "%s got no response: %v", id, err)
}

// attempt is a request as an endpoint received it.
type attempt struct {
	endpoint, id       string
	method, path, body string
	timeout            time.Duration // from the deadline header
	at                 time.Time     // when its head was received
}

// recordAttempt records that an endpoint has received a complete request, and checks the rules on
// attempts.
func (c *checker) recordAttempt(a attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["attempts"]++
	e := c.endpointLocked(a.endpoint)
	e.attempts = append(e.attempts, a.at)
	c.checkAvailabilityLocked(a, e)
	c.checkWarmupLocked(a, e)
	r := c.requests[a.id]
	if r == nil || !a.matches(r) {
		c.recordViolationLocked(ruleUnknown, "%s received %s %s with the id %q and a body of %d bytes",
			a.endpoint, a.method, a.path, a.id, len(a.body))
		return
	}
	allowance := c.allowance(a.at)
	c.checkDisconnectLocked(a, r, allowance)
	c.checkTimeoutLocked(a, r, allowance)
	c.checkRetryLocked(a, r, allowance)
	r.mayHaveRun = append(r.mayHaveRun, a.at)
}

// matches reports whether the attempt's method, path and body are those that the client sent.
func (a attempt) matches(r *requestRecord) bool {
	return a.method == r.class.method && a.path == "/"+r.class.name && a.body == r.body
}

// checkAvailabilityLocked checks that the attempt did not arrive after the grace period of an
// unavailable endpoint.
func (c *checker) checkAvailabilityLocked(a attempt, e *endpointRecord) {
	if e.unavailableSince.IsZero() {
		return
	}
	if late := a.at.Sub(e.unavailableSince); late > drainGrace+c.allowance(a.at) {
		c.recordViolationLocked(ruleUnavailable, "%s reached %s %v after the notification", a.id, a.endpoint, late)
	}
}

// checkWarmupLocked checks that a warming endpoint does not receive requests beyond its budget.
func (c *checker) checkWarmupLocked(a attempt, e *endpointRecord) {
	age := a.at.Sub(e.startedAt)
	if e.startedAt.IsZero() || age > c.budget.duration {
		return
	}
	recent := 0   // attempts within the window
	notified := 0 // recent attempts received after the notification of the start
	for _, earlier := range slices.Backward(e.attempts) {
		if a.at.Sub(earlier) > c.budget.window || earlier.Before(e.startedAt) {
			break
		}
		recent++
		if !e.startNotifiedAt.IsZero() && !earlier.Before(e.startNotifiedAt) {
			notified++
		}
	}
	// It is a violation only if more than two thirds of the recent attempts came after the sidecars
	// were notified of the start.
	mostWereNotified := 3*notified > 2*recent
	if allowed := c.budget.requests(age); float64(recent) > allowed && mostWereNotified {
		c.recordViolationLocked(ruleWarmup, "%s received, %v after its start, %d requests within %v, "+
			"%d of them after the notification; the budget is %.1f", a.endpoint, age, recent, c.budget.window, notified, allowed)
	}
}

// checkDisconnectLocked checks that the attempt did not arrive too long after the request's client
// disconnected.
func (c *checker) checkDisconnectLocked(a attempt, r *requestRecord, allowance time.Duration) {
	if r.disconnectedAt.IsZero() {
		return
	}
	if late := a.at.Sub(r.disconnectedAt); late > disconnectGrace+allowance {
		c.recordViolationLocked(ruleDisconnect, "%s reached %s %v after its client disconnected",
			a.id, a.endpoint, late)
	}
}

// checkTimeoutLocked checks that the attempt's timeout does not exceed the client's remaining time.
func (c *checker) checkTimeoutLocked(a attempt, r *requestRecord, allowance time.Duration) {
	remaining := r.deadline - a.at.Sub(r.sentAt)
	if excess := a.timeout - remaining; excess > timeoutAllowance+allowance {
		c.recordViolationLocked(ruleTimeout, "%s (%s): %s got timeout %v, %v over the client's remaining time",
			a.id, r.history(), a.endpoint, a.timeout, excess)
	}
}

// checkRetryLocked checks that the request's class permitted this attempt after the earlier ones.
func (c *checker) checkRetryLocked(a attempt, r *requestRecord, allowance time.Duration) {
	if len(r.mayHaveRun) == 0 {
		return
	}
	switch sinceFirst := a.at.Sub(r.mayHaveRun[0]); {
	case r.class.idempotency == nonIdempotent:
		c.recordViolationLocked(ruleDuplicate, "%s reached %s, but %d earlier attempts may have run",
			a.id, a.endpoint, len(r.mayHaveRun))
	case r.class.idempotency == keyed && sinceFirst > c.keyWindow+allowance:
		c.recordViolationLocked(ruleDuplicate, "%s reached %s %v after the first attempt", a.id, a.endpoint, sinceFirst)
	}
}

// recordRejection records that an endpoint rejected the latest attempt of a request without running
// it.
func (c *checker) recordRejection(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil && len(r.mayHaveRun) > 0 {
		r.mayHaveRun = r.mayHaveRun[:len(r.mayHaveRun)-1]
	}
}

// recordUnavailable records the time from which all sidecars count as notified that an endpoint is
// draining, removed or disabled.
func (c *checker) recordUnavailable(endpoint string, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpointLocked(endpoint).unavailableSince = since
}

// recordAvailable records that an endpoint may receive requests again.
func (c *checker) recordAvailable(endpoint string) { c.recordUnavailable(endpoint, time.Time{}) }

// recordStart records that an endpoint has started, so that it is warming.
func (c *checker) recordStart(endpoint string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpointLocked(endpoint)
	e.startedAt = at
	e.startNotifiedAt = time.Time{}
	c.counts["endpoint starts"]++
}

// recordStartNotified records the time from which all sidecars count as notified of an endpoint's
// latest start.
func (c *checker) recordStartNotified(endpoint string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpointLocked(endpoint).startNotifiedAt = at
}

func (c *checker) endpointLocked(name string) *endpointRecord {
	if c.endpoints[name] == nil {
		c.endpoints[name] = &endpointRecord{}
	}
	return c.endpoints[name]
}
