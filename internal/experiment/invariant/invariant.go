// Package invariant checks the invariants of a run from outside. Drivers report what clients,
// servers and discovery observed. Nothing that the program under test reports about itself is used.
// The package has no clock: callers pass instants in.
//
// The names of rules and the details of violations are stored in reports, so their wording must not
// change. Details call a server a box, and a rejection a refusal.
package invariant

import (
	"fmt"
	"sync"
	"time"

	"rowancart/internal/experiment"
)

// Rule is an invariant that a program under test must keep.
type Rule string

// The rules. RuleFalseRejection exists because a rejection permits the client to retry the request.
const (
	RuleResponse           Rule = "answer"    // each request has one final response, before its client gives up
	RuleDuplicate          Rule = "duplicate" // a non-idempotent request is retried only if no attempt can have run
	RulePolicy             Rule = "policy"    // a request has no more attempts and runs than its class's policy allows
	RuleDrain              Rule = "drain"     // after DrainGrace, nothing is sent to a draining or removed server
	RuleWarmup             Rule = "cold"      // no server that warms up is sent so much work that it crashes
	RuleForeignRequest     Rule = "foreign"   // servers receive only requests that a client sent, unchanged
	RuleFabricatedResponse Rule = "invented"  // clients receive only responses that a server made for their request
	RuleFalseRejection     Rule = "refusal"   // a non-idempotent request is rejected only if it cannot have run
	RuleImproperPeer       Rule = "improper"  // a peer that sends no valid request gets an error or a close in time
	RuleLimits             Rule = "limits"    // limits of memory, descriptors and CPU; no exit by itself
)

// allRules lists the rules in the order in which Close returns their verdicts.
var allRules = []Rule{RuleResponse, RuleDuplicate, RulePolicy, RuleDrain, RuleWarmup, RuleForeignRequest,
	RuleFabricatedResponse, RuleFalseRejection, RuleImproperPeer, RuleLimits}

// Verdict says how often a rule was violated.
type Verdict struct {
	Rule       Rule
	Violations int
	FirstAt    time.Duration
	Detail     string // of the first violation
}

// Checker checks the observations that drivers report against the rules. It is safe for concurrent
// use. From one observation to the next, instants must not decrease by more than the driver's own
// delay.
type Checker struct {
	rules experiment.Rules
	slack time.Duration // added to each time limit, to allow for the driver's own delays; 0 in virtual time

	mu              sync.Mutex
	requests        map[string]*request
	byAge           []*request // all requests, the oldest first
	drainingSince   map[instanceServer]time.Duration
	notifiedOfStart map[instanceServer]bool // whether the instance was notified of the server's latest start
	recentWork      map[string][]workArrival
	verdicts        map[Rule]*Verdict // only rules that were violated
}

// New returns a checker without observations. Slack is added to each time limit.
func New(rules experiment.Rules, slack time.Duration) *Checker {
	return &Checker{
		rules:           rules,
		slack:           slack,
		requests:        map[string]*request{},
		drainingSince:   map[instanceServer]time.Duration{},
		notifiedOfStart: map[instanceServer]bool{},
		recentWork:      map[string][]workArrival{},
		verdicts:        map[Rule]*Verdict{},
	}
}

// addViolation counts a violation and keeps the detail of the earliest one. mu must be held.
func (c *Checker) addViolation(rule Rule, at time.Duration, format string, args ...any) {
	v := c.verdicts[rule]
	if v == nil {
		v = &Verdict{Rule: rule, FirstAt: at, Detail: fmt.Sprintf(format, args...)}
		c.verdicts[rule] = v
	} else if at < v.FirstAt {
		v.FirstAt = at
		v.Detail = fmt.Sprintf(format, args...)
	}
	v.Violations++
}

// Close ends the run and returns a verdict for every rule. It does not require a response to a
// request whose time limit has not passed yet.
func (c *Checker) Close(now time.Duration) []Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.byAge {
		if now > r.Deadline+c.rules.ResponseSlack+c.slack {
			c.expire(r)
		}
	}
	c.byAge = nil
	var out []Verdict
	for _, rule := range allRules {
		verdict := Verdict{Rule: rule}
		if v := c.verdicts[rule]; v != nil {
			verdict = *v
		}
		out = append(out, verdict)
	}
	return out
}
