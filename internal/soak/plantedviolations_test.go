package soak

import (
	"errors"
	"strings"
	"testing"
	"time"
)

var (
	look = class{"look", "GET", idempotent}
	pay  = class{"pay", "POST", nonIdempotent}
	book = class{"book", "POST", keyed}
)

const plantedDeadline = time.Second // deadline of all requests

// planted is one test case: the checker of a planted history, with times relative to its start.
type planted struct {
	*checker
	start time.Time
}

// newPlanted returns a case in which the non-idempotent request "r" has reached endpoint "a".
func newPlanted() planted {
	budget := warmupBudget{
		capacity:         10,
		initialShare:     0.1,
		duration:         time.Hour,
		overloadMultiple: 4,
		window:           time.Second,
	}
	noAllowance := func(time.Time) time.Duration { return 0 }
	p := planted{newChecker(budget, 300*time.Millisecond, noAllowance), time.Now()}
	p.send("r", pay, "x")
	p.recordAttempt(attempt{endpoint: "a", id: "r", method: "POST", path: "/pay", body: "x", timeout: plantedDeadline,
		at: p.start})
	return p
}

func (p planted) at(d time.Duration) time.Time { return p.start.Add(d) }

func (p planted) send(id string, class class, body string) {
	p.recordSent(id, class, body, p.start, plantedDeadline)
}

func (p planted) respond(id string, status int, after time.Duration) {
	p.recordResponse(id, status, p.at(after))
}

// attemptLook records an attempt of the request "s" of class look, without a timeout.
func (p planted) attemptLook(endpoint string, after time.Duration) {
	p.attemptLookWithin(endpoint, after, 0)
}

func (p planted) attemptLookWithin(endpoint string, after, timeout time.Duration) {
	p.recordAttempt(attempt{endpoint: endpoint, id: "s", method: "GET", path: "/look", timeout: timeout, at: p.at(after)})
}

// retryPay records a second attempt of the request "r".
func (p planted) retryPay(body string) {
	p.recordAttempt(attempt{endpoint: "b", id: "r", method: "POST", path: "/pay", body: body, at: p.start})
}

// bookTwice records two attempts of a keyed request, interval apart.
func (p planted) bookTwice(interval time.Duration) {
	p.send("k", book, "")
	p.recordAttempt(attempt{endpoint: "a", id: "k", method: "POST", path: "/book", at: p.start})
	p.recordAttempt(attempt{endpoint: "b", id: "k", method: "POST", path: "/book", at: p.at(interval)})
}

// startAndSend records the start of endpoint "c", of which all sidecars are notified at once, and
// then more+2 attempts at it.
func (p planted) startAndSend(more int) {
	p.recordStart("c", p.start)
	p.recordStartNotified("c", p.start)
	p.sendToStarted(more)
}

func (p planted) sendToStarted(more int) {
	p.send("s", look, "")
	for range more + 2 {
		p.attemptLook("c", 0)
	}
}

// The checker reports only the planted violation, under its rule, and reports no violation for the
// similar history without it.
func TestCheckerReportsPlantedViolations(t *testing.T) {
	for _, test := range []struct {
		name  string
		want  rule // empty: no violation
		plant func(p planted)
	}{
		{"response in time", "", func(p planted) { p.respond("r", 200, plantedDeadline+responseGrace) }},
		{"no response", ruleResponse, func(p planted) { p.recordNoResponse("r", errors.New("closed")) }},
		{"response too late", ruleResponse, func(p planted) {
			p.respond("r", 200, plantedDeadline+responseGrace+time.Millisecond)
		}},
		{"two responses", ruleResponse, func(p planted) {
			p.respond("r", 503, 0)
			p.respond("r", 503, 0)
		}},
		{"status 200 without an attempt", ruleResponse, func(p planted) {
			p.send("s", look, "")
			p.respond("s", 200, 0)
		}},
		{"non-idempotent, rejected and retried", "", func(p planted) {
			p.recordRejection("r")
			p.retryPay("x")
		}},
		{"non-idempotent, retried", ruleDuplicate, func(p planted) { p.retryPay("x") }},
		{"keyed, retried in its window", "", func(p planted) { p.bookTwice(300 * time.Millisecond) }},
		{"keyed, retried after its window", ruleDuplicate, func(p planted) { p.bookTwice(301 * time.Millisecond) }},
		{"unavailable, within the grace", "", func(p planted) {
			p.recordUnavailable("b", p.at(-drainGrace))
			p.send("s", look, "")
			p.attemptLook("b", 0)
		}},
		{"unavailable, after the grace", ruleUnavailable, func(p planted) {
			p.recordUnavailable("b", p.at(-drainGrace-time.Millisecond))
			p.send("s", look, "")
			p.attemptLook("b", 0)
		}},
		{"client disconnected", ruleDisconnect, func(p planted) {
			p.send("s", look, "")
			p.recordDisconnect("s", p.start)
			p.attemptLook("b", disconnectGrace+time.Millisecond)
		}},
		{"timeout too long", ruleTimeout, func(p planted) {
			p.send("s", look, "")
			p.attemptLookWithin("b", timeoutAllowance+time.Millisecond, plantedDeadline)
		}},
		{"timeout within the allowance", "", func(p planted) {
			p.send("s", look, "")
			p.attemptLookWithin("b", timeoutAllowance, plantedDeadline)
		}},
		{"warming up, within the budget", "", func(p planted) { p.startAndSend(11) }},
		// The window's mean is 4, so the budget is 4 + 3 x sqrt(4) + 3 = 13, and startAndSend adds 2.
		{"warming up, over the budget", ruleWarmup, func(p planted) { p.startAndSend(12) }},
		{"warming up, over the budget, not notified yet", "", func(p planted) {
			p.recordStart("c", p.start)
			p.recordStartNotified("c", p.at(time.Second))
			p.sendToStarted(12)
		}},
		{"request from no client", ruleUnknown, func(p planted) {
			p.recordAttempt(attempt{endpoint: "b", id: "none", method: "GET", path: "/look", at: p.start})
		}},
		{"another body", ruleUnknown, func(p planted) {
			p.recordRejection("r")
			p.retryPay("y")
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newPlanted()
			test.plant(p)
			switch {
			case test.want == "" && len(p.violations) > 0:
				t.Errorf("violations %q, want none", p.violations)
			case test.want != "" && (len(p.violations) != 1 || !strings.Contains(p.violations[0], string(test.want))):
				t.Errorf("violations %q, want one of the rule %q", p.violations, test.want)
			}
		})
	}
}
