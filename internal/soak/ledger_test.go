// Package soak runs built sidecars between clients, endpoints and a discovery agent that all
// misbehave as the operators' pages allow, and judges from outside by the words of those pages. A
// seed draws everything. It has tests only.
package soak

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"
)

// rule is a rule of the operators' pages.
type rule string

// The rules that a ledger judges.
const (
	ruleAnswer    rule = "one final answer, in time"
	ruleDuplicate rule = "no effect twice"
	ruleDrain     rule = "nothing to a drained or banned endpoint after its grace"
	ruleLeft      rule = "no attempt 0.1 s after the client left"
	ruleDeadline  rule = "no deadline told beyond what is left and 0.15 s"
	ruleCold      rule = "no cold endpoint over its budget"
	ruleForeign   rule = "nothing that no client sent"
	ruleRemains   rule = "nothing left behind, no crash"
	ruleOperators rule = "operators' calls are answered within 1 s"
	ruleImproper  rule = "improper peers get an error or a close within 3 s"
)

// The figures of the pages.
const (
	answerGrace    = 500 * time.Millisecond // after a client's deadline
	drainGrace     = time.Second
	leftGrace      = 100 * time.Millisecond
	deadlineSlack  = 150 * time.Millisecond
	operatorsLimit = time.Second
	improperLimit  = 3 * time.Second
)

// class is a class of requests.
type class struct {
	name, method string
	effect       effect
}

// effect says what a class allows to be repeated.
type effect int

const (
	safe effect = iota
	keyed
	unsafe
)

// ledgerRequest is what a ledger knows of one request.
type ledgerRequest struct {
	class    class
	body     string
	sentAt   time.Time
	deadline time.Duration
	leftAt   time.Time // zero: the client stays
	answers  int
	mayRun   []time.Time // attempts that reached an endpoint and were not declined
}

// ledgerEndpoint is what a ledger knows of one endpoint.
type ledgerEndpoint struct {
	barredAt  time.Time // when all sidecars count as notified that it drains or is banned; zero: it takes requests
	startedAt time.Time // its latest cold start; zero: long ago
	toldAt    time.Time // when all sidecars count as told of that start; zero: they do not yet
	attempts  []time.Time
}

// coldBudget are the figures behind the budget of a cold endpoint.
type coldBudget struct {
	capacity float64 // requests a second of a warm endpoint
	from     float64 // share of it at the start
	warmTime time.Duration
	multiple float64
	window   time.Duration
}

// allowed returns how many requests an endpoint of some age may get within the window.
func (c coldBudget) allowed(age time.Duration) float64 {
	share := c.from + (1-c.from)*age.Seconds()/c.warmTime.Seconds()
	n := c.multiple * share * c.capacity * c.window.Seconds()
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// ledger records what peers of the sidecars saw and lists the breaches of rules. It is safe for
// concurrent use.
type ledger struct {
	budget    coldBudget
	keyWindow time.Duration
	slack     func(since time.Time) time.Duration // by how much this process's own times may be late

	mu        sync.Mutex
	requests  map[string]*ledgerRequest
	endpoints map[string]*ledgerEndpoint
	breaches  []string
	events    []event
	counts    map[string]int // of what has happened, by name
}

func newLedger(budget coldBudget, keyWindow time.Duration, slack func(time.Time) time.Duration) *ledger {
	return &ledger{
		budget: budget, keyWindow: keyWindow, slack: slack,
		requests: map[string]*ledgerRequest{}, endpoints: map[string]*ledgerEndpoint{}, counts: map[string]int{},
	}
}

// breach records a breach of a rule.
func (l *ledger) breach(r rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breachLocked(r, format, args...)
}

func (l *ledger) breachLocked(r rule, format string, args ...any) {
	text := fmt.Sprintf("%s: %s", r, fmt.Sprintf(format, args...))
	for _, e := range l.events {
		if ago := time.Since(e.at); ago < eventsShown {
			text += fmt.Sprintf("; %.3f s before: %s", ago.Seconds(), e.what)
		}
	}
	l.breaches = append(l.breaches, text)
}

// eventsShown is for how long events are shown with a breach that follows.
const eventsShown = 4 * time.Second

// event is something that a play has done to the sidecars.
type event struct {
	at   time.Time
	what string
}

// event counts an event and shows it with the breaches that follow soon.
func (l *ledger) event(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[what]++
	l.events = append(l.events, event{time.Now(), what})
}

// history returns what has happened to a request so far.
func (r *ledgerRequest) history() string {
	text := fmt.Sprintf("%s, body of %d, deadline %v", r.class.name, len(r.body), r.deadline)
	for _, at := range r.mayRun {
		text += fmt.Sprintf(", at an endpoint after %v", at.Sub(r.sentAt))
	}
	return text
}

// count counts something that has happened.
func (l *ledger) count(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[what]++
}

// sent records that a client has sent a request, or sent it once more after its connection was
// closed under it. A zero time leaves the earlier one.
func (l *ledger) sent(id string, c class, body string, at time.Time, deadline time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[id]; r != nil {
		if !at.IsZero() {
			r.sentAt = at
		}
		return
	}
	l.requests[id] = &ledgerRequest{class: c, body: body, sentAt: at, deadline: deadline}
	l.counts["requests"]++
}

// left records that a request's client has closed its connection.
func (l *ledger) left(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id].leftAt = at
	l.counts["left"]++
}

// answered records the end of a final answer.
func (l *ledger) answered(id string, status int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	r.answers++
	l.counts[fmt.Sprint("status ", status)]++
	if r.answers > 1 {
		l.breachLocked(ruleAnswer, "%s has %d answers", id, r.answers)
	}
	if late := at.Sub(r.sentAt) - r.deadline; late > answerGrace+l.slack(r.sentAt) {
		l.breachLocked(ruleAnswer, "%s (%s) is answered %d, %v after its deadline", id, r.history(), status, late)
	}
	if status == 200 && len(r.mayRun) == 0 {
		l.breachLocked(ruleAnswer, "%s is answered as served, and reached no endpoint", id)
	}
}

// lost records that a request's client gets no answer.
func (l *ledger) lost(id string, why error) {
	l.breach(ruleAnswer, "%s gets none: %v", id, why)
}

// attempt records that an endpoint has received a request completely, with what it was told.
func (l *ledger) attempt(endpoint, id, method, path, body string, told time.Duration, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts["attempts"]++
	e := l.endpointLocked(endpoint)
	e.attempts = append(e.attempts, at)
	l.checkEndpointLocked(endpoint, e, id, at)
	r := l.requests[id]
	if r == nil || r.class.method != method || "/"+r.class.name != path || r.body != body {
		l.breachLocked(ruleForeign, "%s gets %s %s with the id %q and %d bytes", endpoint, method, path, id, len(body))
		return
	}
	slack := l.slack(at)
	if late := at.Sub(r.leftAt); !r.leftAt.IsZero() && late > leftGrace+slack {
		l.breachLocked(ruleLeft, "%s reaches %s %v after its client left", id, endpoint, late)
	}
	if over := told - (r.deadline - at.Sub(r.sentAt)); over > deadlineSlack+slack {
		l.breachLocked(ruleDeadline, "%s (%s): %s is told %v, %v more than its client has left",
			id, r.history(), endpoint, told, over)
	}
	l.checkRepeatLocked(endpoint, id, r, at, slack)
	r.mayRun = append(r.mayRun, at)
}

// checkEndpointLocked judges an attempt by the state of its endpoint.
func (l *ledger) checkEndpointLocked(name string, e *ledgerEndpoint, id string, at time.Time) {
	if late := at.Sub(e.barredAt); !e.barredAt.IsZero() && late > drainGrace+l.slack(at) {
		l.breachLocked(ruleDrain, "%s reaches %s %v after its notification", id, name, late)
	}
	age := at.Sub(e.startedAt)
	if e.startedAt.IsZero() || age > l.budget.warmTime {
		return
	}
	recent, told := 0, 0
	for _, earlier := range slices.Backward(e.attempts) {
		if at.Sub(earlier) > l.budget.window || earlier.Before(e.startedAt) {
			break
		}
		recent++
		if !e.toldAt.IsZero() && !earlier.Before(e.toldAt) {
			told++
		}
	}
	// The rule is broken where over two thirds came from sidecars that had been told of the start.
	if allowed := l.budget.allowed(age); float64(recent) > allowed && 3*told > 2*recent {
		l.breachLocked(ruleCold, "%s, %v after its start, gets %d requests within %v, %d of them told, and bears %.1f",
			name, age, recent, l.budget.window, told, allowed)
	}
}

// checkRepeatLocked judges an attempt by those before it.
func (l *ledger) checkRepeatLocked(endpoint, id string, r *ledgerRequest, at time.Time, slack time.Duration) {
	if len(r.mayRun) == 0 {
		return
	}
	switch {
	case r.class.effect == unsafe:
		l.breachLocked(ruleDuplicate, "%s reaches %s, and %d before it may have run", id, endpoint, len(r.mayRun))
	case r.class.effect == keyed && at.Sub(r.mayRun[0]) > l.keyWindow+slack:
		l.breachLocked(ruleDuplicate, "%s reaches %s %v after the first", id, endpoint, at.Sub(r.mayRun[0]))
	}
}

// declined records that an endpoint has said that it did not run its latest attempt of a request.
func (l *ledger) declined(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[id]; r != nil && len(r.mayRun) > 0 {
		r.mayRun = r.mayRun[:len(r.mayRun)-1]
	}
}

// barred records from when on all sidecars count as notified that an endpoint drains or is banned.
func (l *ledger) barred(endpoint string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endpointLocked(endpoint).barredAt = at
}

// admitted records that an endpoint takes requests again.
func (l *ledger) admitted(endpoint string) { l.barred(endpoint, time.Time{}) }

// restarted records a cold start.
func (l *ledger) restarted(endpoint string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpointLocked(endpoint)
	e.startedAt, e.toldAt = at, time.Time{}
	l.counts["cold starts"]++
}

// toldOfStart records from when on all sidecars count as told of an endpoint's latest start.
func (l *ledger) toldOfStart(endpoint string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endpointLocked(endpoint).toldAt = at
}

func (l *ledger) endpointLocked(name string) *ledgerEndpoint {
	if l.endpoints[name] == nil {
		l.endpoints[name] = &ledgerEndpoint{}
	}
	return l.endpoints[name]
}
