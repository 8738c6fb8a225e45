package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// requestRecord is what a checker knows of one request.
type requestRecord struct {
	class          class
	body           string
	sentAt         time.Time
	deadline       time.Duration
	disconnectedAt time.Time // zero: the client has not disconnected
	responses      int
	mayHaveRun     []time.Time // attempts that reached an endpoint and were not rejected
}

// history returns what has happened to the request so far.
func (r *requestRecord) history() string {
	text := fmt.Sprintf("%s, body of %d, deadline %v", r.class.name, len(r.body), r.deadline)
	for _, at := range r.mayHaveRun {
		text += fmt.Sprintf(", at an endpoint after %v", at.Sub(r.sentAt))
	}
	return text
}

// endpointRecord is what a checker knows of one endpoint.
type endpointRecord struct {
	// unavailableSince is from when on all sidecars count as notified that the endpoint drains or is
	// disabled; zero: it takes requests.
	unavailableSince time.Time
	startedAt        time.Time // of its latest start; zero: long ago
	// startNotifiedAt is from when on all sidecars count as notified of that start; zero: not yet.
	startNotifiedAt time.Time
	attempts        []time.Time
}

// checker is the invariant checker: it records what the peers of the sidecars observe, and the
// violations of rules. It is safe for concurrent use.
type checker struct {
	budget    warmupBudget
	keyWindow time.Duration
	// allowance returns by how much the times that this process has taken since then may be late.
	allowance func(since time.Time) time.Duration

	mu         sync.Mutex
	requests   map[string]*requestRecord
	endpoints  map[string]*endpointRecord
	violations []string
	events     []event
	counts     map[string]int // of what has happened, by name
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

// event is something that a run has done to the sidecars.
type event struct {
	at   time.Time
	name string
}

// eventsShown is for how long events are shown with a violation that follows.
const eventsShown = 4 * time.Second

// recordEvent counts an event and shows it with the violations that follow soon.
func (c *checker) recordEvent(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
	c.events = append(c.events, event{time.Now(), name})
}

// count counts something that has happened.
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
		if age := time.Since(e.at); age < eventsShown {
			text += fmt.Sprintf("; %.3f s before: %s", age.Seconds(), e.name)
		}
	}
	c.violations = append(c.violations, text)
}

// recordSent records that a client has sent a request, or sent it once more after its connection
// was closed. A zero time leaves the earlier one.
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

// recordDisconnect records that a request's client has closed its connection.
func (c *checker) recordDisconnect(id string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id].disconnectedAt = at
	c.counts["disconnects"]++
}

// recordResponse records the end of a final response.
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
		c.recordViolationLocked(ruleResponse, "%s (%s) gets status %d %v after its deadline",
			id, r.history(), status, late)
	}
	if status == http.StatusOK && len(r.mayHaveRun) == 0 {
		c.recordViolationLocked(ruleResponse, "%s gets status 200 and has reached no endpoint", id)
	}
}

// recordNoResponse records that a request's client gets no response.
func (c *checker) recordNoResponse(id string, err error) {
	c.recordViolation(ruleResponse, "%s gets none: %v", id, err)
}

// attempt is a request as an endpoint has received it.
type attempt struct {
	endpoint, id       string
	method, path, body string
	timeout            time.Duration // that the request says
	at                 time.Time     // when its head was received
}

// recordAttempt records that an endpoint has received a request completely.
func (c *checker) recordAttempt(a attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["attempts"]++
	e := c.endpointLocked(a.endpoint)
	e.attempts = append(e.attempts, a.at)
	c.checkAvailabilityLocked(a, e)
	c.checkWarmupLocked(a, e)
	r := c.requests[a.id]
	if r == nil || !a.isOf(r) {
		c.recordViolationLocked(ruleUnknown, "%s gets %s %s with the id %q and %d bytes",
			a.endpoint, a.method, a.path, a.id, len(a.body))
		return
	}
	allowance := c.allowance(a.at)
	c.checkDisconnectLocked(a, r, allowance)
	c.checkTimeoutLocked(a, r, allowance)
	c.checkRetryLocked(a, r, allowance)
	r.mayHaveRun = append(r.mayHaveRun, a.at)
}

// isOf reports whether the attempt is what the request's client has sent.
func (a attempt) isOf(r *requestRecord) bool {
	return a.method == r.class.method && a.path == "/"+r.class.name && a.body == r.body
}

// checkAvailabilityLocked checks that the attempt's endpoint takes requests.
func (c *checker) checkAvailabilityLocked(a attempt, e *endpointRecord) {
	if e.unavailableSince.IsZero() {
		return
	}
	if late := a.at.Sub(e.unavailableSince); late > drainGrace+c.allowance(a.at) {
		c.recordViolationLocked(ruleUnavailable, "%s reaches %s %v after its notification", a.id, a.endpoint, late)
	}
}

// checkWarmupLocked checks that an endpoint that warms up is sent no more than its budget.
func (c *checker) checkWarmupLocked(a attempt, e *endpointRecord) {
	age := a.at.Sub(e.startedAt)
	if e.startedAt.IsZero() || age > c.budget.duration {
		return
	}
	recent := 0
	notified := 0 // of recent
	for _, earlier := range slices.Backward(e.attempts) {
		if a.at.Sub(earlier) > c.budget.window || earlier.Before(e.startedAt) {
			break
		}
		recent++
		if !e.startNotifiedAt.IsZero() && !earlier.Before(e.startNotifiedAt) {
			notified++
		}
	}
	// The rule is broken where over two thirds came from sidecars that were notified of the start.
	mostWereNotified := 3*notified > 2*recent
	if allowed := c.budget.requests(age); float64(recent) > allowed && mostWereNotified {
		c.recordViolationLocked(ruleWarmup, "%s, %v after its start, gets %d requests within %v, "+
			"%d of them after the notification, and may get %.1f", a.endpoint, age, recent, c.budget.window, notified, allowed)
	}
}

// checkDisconnectLocked checks that the request's client was still connected.
func (c *checker) checkDisconnectLocked(a attempt, r *requestRecord, allowance time.Duration) {
	if r.disconnectedAt.IsZero() {
		return
	}
	if late := a.at.Sub(r.disconnectedAt); late > disconnectGrace+allowance {
		c.recordViolationLocked(ruleDisconnect, "%s reaches %s %v after its client has disconnected",
			a.id, a.endpoint, late)
	}
}

// checkTimeoutLocked checks that the attempt's timeout ends with the client's.
func (c *checker) checkTimeoutLocked(a attempt, r *requestRecord, allowance time.Duration) {
	remaining := r.deadline - a.at.Sub(r.sentAt)
	if excess := a.timeout - remaining; excess > timeoutAllowance+allowance {
		c.recordViolationLocked(ruleTimeout, "%s (%s): %s is given a timeout of %v, %v more than its client has left",
			a.id, r.history(), a.endpoint, a.timeout, excess)
	}
}

// checkRetryLocked checks that the request could be sent after the attempts before this one.
func (c *checker) checkRetryLocked(a attempt, r *requestRecord, allowance time.Duration) {
	if len(r.mayHaveRun) == 0 {
		return
	}
	switch sinceFirst := a.at.Sub(r.mayHaveRun[0]); {
	case r.class.idempotency == nonIdempotent:
		c.recordViolationLocked(ruleDuplicate, "%s reaches %s, and %d before it may have run",
			a.id, a.endpoint, len(r.mayHaveRun))
	case r.class.idempotency == keyed && sinceFirst > c.keyWindow+allowance:
		c.recordViolationLocked(ruleDuplicate, "%s reaches %s %v after the first", a.id, a.endpoint, sinceFirst)
	}
}

// recordRejection records that an endpoint has said that it did not run its latest attempt of a
// request.
func (c *checker) recordRejection(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil && len(r.mayHaveRun) > 0 {
		r.mayHaveRun = r.mayHaveRun[:len(r.mayHaveRun)-1]
	}
}

// recordUnavailable records from when on all sidecars count as notified that an endpoint drains or
// is disabled.
func (c *checker) recordUnavailable(endpoint string, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpointLocked(endpoint).unavailableSince = since
}

// recordAvailable records that an endpoint takes requests again.
func (c *checker) recordAvailable(endpoint string) { c.recordUnavailable(endpoint, time.Time{}) }

// recordStart records that an endpoint has started and warms up.
func (c *checker) recordStart(endpoint string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpointLocked(endpoint)
	e.startedAt = at
	e.startNotifiedAt = time.Time{}
	c.counts["endpoint starts"]++
}

// recordStartNotified records from when on all sidecars count as notified of an endpoint's latest
// start.
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
