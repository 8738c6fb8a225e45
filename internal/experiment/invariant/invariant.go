// Package invariant judges a run from outside. Drivers report what clients, servers and discovery
// observed; nothing that the program under test says of itself is used. Instants are passed in: the
// package has no clock of its own.
//
// Names of rules and details of violations are stored in reports, and therefore keep their words:
// in details a server is a box, and a rejection a refusal.
package invariant

import (
	"fmt"
	"sync"
	"time"

	"rowancart/internal/experiment"
)

// Rule is an invariant that a program under test must keep.
type Rule string

// The rules.
const (
	RuleResponse           Rule = "answer"    // each request has one final response, before its client gives up
	RuleDuplicate          Rule = "duplicate" // a non-idempotent request is retried only if no attempt can have run
	RulePolicy             Rule = "policy"    // no more attempts or runs than the class's policy allows
	RuleDrain              Rule = "drain"     // after a grace, nothing is sent to a draining or removed server
	RuleWarmup             Rule = "cold"      // no warming server is sent so much that it crashes
	RuleForeignRequest     Rule = "foreign"   // servers receive only requests that a client sent, unchanged
	RuleFabricatedResponse Rule = "invented"  // clients receive only responses that a server made for the request
	RuleFalseRejection     Rule = "refusal"   // a request is rejected, which permits a retry, only if it cannot have run
	RuleImproperPeer       Rule = "improper"  // a peer that sends no proper request gets an error or a close in time
	RuleLimits             Rule = "limits"    // memory, descriptors, CPU, and no exit of its own
)

// allRules has the rules in the order of the verdicts.
var allRules = []Rule{RuleResponse, RuleDuplicate, RulePolicy, RuleDrain, RuleWarmup, RuleForeignRequest,
	RuleFabricatedResponse, RuleFalseRejection, RuleImproperPeer, RuleLimits}

// Verdict says how often a rule was violated.
type Verdict struct {
	Rule       Rule
	Violations int
	FirstAt    time.Duration
	Detail     string // of the first violation
}

// Checker collects what drivers report and judges it. It is safe for concurrent use. Instants must
// not decrease by more than the driver's own delay.
type Checker struct {
	rules experiment.Rules
	slack time.Duration // added to each limit of time, for the driver's own delays; 0 in virtual time

	mu              sync.Mutex
	requests        map[string]*request
	byAge           []*request // all of requests, the oldest first
	drainingSince   map[instanceServer]time.Duration
	notifiedOfStart map[instanceServer]bool // of the server's latest start
	recentWork      map[string][]workArrival
	verdicts        map[Rule]*Verdict // of the rules that were violated
}

// New returns an empty checker. Slack is added to each limit of time.
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

// addViolation counts a violation. mu must be held.
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

// Close ends the run and returns a verdict for every rule. A request that is still within its time
// is not judged.
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
