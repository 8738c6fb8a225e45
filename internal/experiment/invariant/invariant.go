// Package invariant judges a play from outside. Drivers tell it what clients, servers and the discovery service saw; it is never told
// what the program under test says of itself. It is pure: instants are passed in.
package invariant

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment"
)

// Rule names what a program under test must keep.
type Rule string

// The rules, in the order in which verdicts are given.
const (
	RuleResponse           Rule = "answer"    // each request taken gets one final answer, before its client gives up
	RuleDuplicate          Rule = "duplicate" // what is unsafe is sent again only if no earlier attempt can have run
	RulePolicy             Rule = "policy"    // no more attempts, and no run after a run, than the class's policy allows
	RuleDrain              Rule = "drain"     // nothing new to a server told to drain or be gone, a grace after the telling
	RuleWarmup             Rule = "cold"      // no cold server is sent so much that it falls over
	RuleForeignRequest     Rule = "foreign"   // nothing reaches a server but what a client sent as a request of its own
	RuleFabricatedResponse Rule = "invented"  // nothing is served but what a server made for this request
	RuleFalseRejection     Rule = "refusal"   // "trying again is harmless" is said only if that is true
	RuleImproperPeer       Rule = "improper"  // a peer that sends no proper request gets an error or a close in time
	RuleLimits             Rule = "limits"    // memory, descriptors and CPU
)

var allRules = []Rule{RuleResponse, RuleDuplicate, RulePolicy, RuleDrain, RuleWarmup, RuleForeignRequest, RuleFabricatedResponse, RuleFalseRejection, RuleImproperPeer, RuleLimits}

// Verdict is what became of one rule.
type Verdict struct {
	Rule       Rule
	Violations int // times
	FirstAt    time.Duration
	Detail     string // of the first breach
}

// Outcome is a final answer as its client saw it.
type Outcome int

// The fates.
const (
	Served Outcome = iota
	Rejected
	Failed
	Truncated // begun and visibly cut short: failed, not lost
)

// Request is a request as its client sent it.
type Request struct {
	ID          string
	Instance    string // of the program under test that was given it
	Repeat      balancer.Repeatability
	Deadline    time.Duration
	Digest      uint64 // of all that must reach servers unchanged
	MaxAttempts int    // allowed by its policy; 0: not limited there
	NeverRerun  bool   // its policy forbids another run after one that may have been, whatever the effect
}

// Arrival is a request that has reached a server whole.
type Arrival struct {
	ID        string
	Server    string
	FirstByte time.Duration // its first byte came
	LastByte  time.Duration
	Digest    uint64
	WarmingUp bool    // the server was not warm
	Work      float64 // seconds, for the rule on cold servers
}

// retention is how long after its deadline a request is remembered: late duplicates come within it.
const retention = 5 * time.Second

type request struct {
	Request
	answered   bool
	waived     bool // its instance was killed, or its client left
	outcome    Outcome
	executions []execution
}

type execution struct {
	server         string
	at             time.Duration
	rejectedAt     time.Duration // 0: not rejected
	responseDigest uint64        // digest of the answer made; 0: none
}

type instanceServer struct{ instance, server string }

type workArrival struct {
	at       time.Duration
	work     float64
	notified bool
}

// Checker collects and judges. Its methods may be called from several goroutines; instants must not run backwards by
// more than the driver's own lateness.
type Checker struct {
	rules experiment.Rules
	slack time.Duration // for each limit of time, 0 in virtual time

	mu              sync.Mutex
	requests        map[string]*request
	byAge           []*request // in order of taking
	drainingSince   map[instanceServer]time.Duration
	notifiedOfStart map[instanceServer]bool // told of the server's latest start
	recentWork      map[string][]workArrival
	verdicts        map[Rule]*Verdict
}

// New returns an empty checker. Slack is added to each limit of time.
func New(rules experiment.Rules, slack time.Duration) *Checker {
	return &Checker{rules: rules, slack: slack, requests: map[string]*request{}, drainingSince: map[instanceServer]time.Duration{},
		notifiedOfStart: map[instanceServer]bool{}, recentWork: map[string][]workArrival{}, verdicts: map[Rule]*Verdict{}}
}

func (c *Checker) addViolation(rule Rule, at time.Duration, format string, args ...any) {
	v := c.verdicts[rule]
	if v == nil {
		v = &Verdict{Rule: rule, FirstAt: at, Detail: fmt.Sprintf(format, args...)}
		c.verdicts[rule] = v
	} else if at < v.FirstAt {
		v.FirstAt, v.Detail = at, fmt.Sprintf(format, args...)
	}
	v.Violations++
}

// RecordRequest reports that an instance has taken a request: its last byte was written to a connection accepted.
func (c *Checker) RecordRequest(now time.Duration, r Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := &request{Request: r}
	c.requests[r.ID] = req
	c.byAge = append(c.byAge, req)
	for len(c.byAge) > 0 && c.byAge[0].Deadline+retention < now {
		c.expire(c.byAge[0])
		delete(c.requests, c.byAge[0].ID)
		c.byAge[0] = nil
		c.byAge = c.byAge[1:]
	}
}

// expire judges a request of which nothing is to come any more.
func (c *Checker) expire(req *request) {
	if !req.answered && !req.waived {
		req.answered = true
		c.addViolation(RuleResponse, req.Deadline, "request %s at %s was never answered", req.ID, req.Instance)
	}
}

// RecordResponse reports a final answer. Digest is that of the body, for Served.
func (c *Checker) RecordResponse(now time.Duration, id string, fate Outcome, digest uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.requests[id]
	if req == nil {
		c.addViolation(RuleResponse, now, "an answer came for %s, which was not asked", id)
		return
	}
	if req.answered {
		c.addViolation(RuleResponse, now, "request %s at %s was answered twice", id, req.Instance)
		return
	}
	req.answered, req.outcome = true, fate
	if latest := req.Deadline + c.rules.ResponseSlack + c.slack; now > latest && !req.waived {
		c.addViolation(RuleResponse, now, "request %s at %s was answered %v after its deadline", id, req.Instance, now-req.Deadline)
	}
	switch fate {
	case Served:
		if !slices.ContainsFunc(req.executions, func(r execution) bool { return r.responseDigest == digest && r.responseDigest != 0 }) {
			c.addViolation(RuleFabricatedResponse, now, "request %s at %s was served with what no box made for it", id, req.Instance)
		}
	case Rejected:
		if req.Repeat == balancer.NonIdempotent && req.mayHaveExecuted() {
			c.addViolation(RuleFalseRejection, now, "request %s at %s was refused and may have run", id, req.Instance)
		}
	}
}

func (r *request) mayHaveExecuted() bool {
	return slices.ContainsFunc(r.executions, func(e execution) bool { return e.rejectedAt == 0 })
}

// RecordClosedConn reports that the program closed a connection without an answer to a request written to it, and reports whether the
// request had been read: a server has seen it. Only then is it lost; one that crossed the close is the client's to send
// again.
func (c *Checker) RecordClosedConn(now time.Duration, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.requests[id]
	if req == nil || req.answered || req.waived || len(req.executions) == 0 {
		return false
	}
	req.answered, req.outcome = true, Failed
	c.addViolation(RuleResponse, now, "request %s at %s was lost: its connection ended without an answer", id, req.Instance)
	return true
}

// RecordTimeout reports that a client has waited to the end of its time and all slack, and got nothing.
func (c *Checker) RecordTimeout(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if req := c.requests[id]; req != nil {
		c.expire(req)
	}
}

// Waive reports that no answer is owed any more: the client has left, or its instance was killed.
func (c *Checker) Waive(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if req := c.requests[id]; req != nil {
		req.waived = true
	}
}

// RecordKill reports that an instance was killed outright: it owes nothing of what it had, and has been told nothing.
func (c *Checker) RecordKill(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, req := range c.byAge {
		if req.Instance == instance {
			req.waived = true
		}
	}
	for p := range c.drainingSince {
		if p.instance == instance {
			delete(c.drainingSince, p)
		}
	}
	for p := range c.notifiedOfStart {
		if p.instance == instance {
			delete(c.notifiedOfStart, p)
		}
	}
}

// RecordArrival reports a request that has come to a server whole. It may run from now on unless the server turns it away.
func (c *Checker) RecordArrival(a Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.requests[a.ID]
	if req == nil {
		c.addViolation(RuleForeignRequest, a.FirstByte, "%s got a request %.40q that no client sent", a.Server, a.ID)
		return
	}
	if req.Digest != a.Digest {
		c.addViolation(RuleForeignRequest, a.FirstByte, "%s got request %s in another form than its client sent", a.Server, a.ID)
	}
	p := instanceServer{req.Instance, a.Server}
	if at, ok := c.drainingSince[p]; ok && a.FirstByte > at+c.rules.DrainGrace+c.slack {
		c.addViolation(RuleDrain, a.FirstByte, "%s got request %s from %s %v after the telling", a.Server, a.ID, req.Instance, a.FirstByte-at)
	}
	if a.WarmingUp {
		c.recordWork(a, c.notifiedOfStart[p])
	}
	if req.MaxAttempts > 0 && len(req.executions) >= req.MaxAttempts {
		c.addViolation(RulePolicy, a.LastByte, "request %s reached a box %d times, and %d attempts are allowed", a.ID, len(req.executions)+1, req.MaxAttempts)
	}
	if req.NeverRerun && slices.ContainsFunc(req.executions, func(r execution) bool { return r.rejectedAt == 0 || r.rejectedAt > a.FirstByte }) {
		c.addViolation(RulePolicy, a.LastByte, "request %s reached %s after a run, which its policy forbids", a.ID, a.Server)
	}
	if req.Repeat == balancer.NonIdempotent {
		for _, r := range req.executions {
			if r.rejectedAt == 0 || r.rejectedAt > a.FirstByte {
				c.addViolation(RuleDuplicate, a.LastByte, "request %s reached %s after %s, where it may have run", a.ID, a.Server, r.server)
				break
			}
		}
		if req.answered && req.outcome == Rejected {
			c.addViolation(RuleFalseRejection, a.LastByte, "request %s reached %s though it had been refused", a.ID, a.Server)
		}
	}
	req.executions = append(req.executions, execution{server: a.Server, at: a.LastByte})
}

func (c *Checker) recordWork(a Arrival, notified bool) {
	p := append(c.recentWork[a.Server], workArrival{a.LastByte, a.Work, notified})
	for len(p) > 0 && p[0].at <= a.LastByte-c.rules.OverloadWindow {
		p = p[1:]
	}
	c.recentWork[a.Server] = p
}

// RecordRejection reports that the server rejected the request that reached it last under this id.
func (c *Checker) RecordRejection(now time.Duration, server, id string) {
	c.updateExecution(server, id, func(r *execution) { r.rejectedAt = max(now, 1) })
}

// RecordServerResponse reports the digest of the answer that a server made.
func (c *Checker) RecordServerResponse(server, id string, digest uint64) {
	c.updateExecution(server, id, func(r *execution) { r.responseDigest = digest })
}

func (c *Checker) updateExecution(server, id string, set func(*execution)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if req := c.requests[id]; req != nil {
		for i := len(req.executions) - 1; i >= 0; i-- {
			if req.executions[i].server == server {
				set(&req.executions[i])
				return
			}
		}
	}
}

// RecordNotification reports that an instance has been told a server's state; started says that it is news of a start.
func (c *Checker) RecordNotification(now time.Duration, instance, server string, state balancer.State, started bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := instanceServer{instance, server}
	if state == balancer.Ready {
		delete(c.drainingSince, p)
		c.notifiedOfStart[p] = c.notifiedOfStart[p] || started
		return
	}
	if _, ok := c.drainingSince[p]; !ok {
		c.drainingSince[p] = now
	}
}

// notifiedWorkFraction is the share of the work that must have come from instances told of the start for a fall to be theirs.
const notifiedWorkFraction = 2.0 / 3

// RecordOverload reports that a cold server has fallen over.
func (c *Checker) RecordOverload(now time.Duration, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	notified, sum := 0.0, 0.0
	for _, p := range c.recentWork[server] {
		if sum += p.work; p.notified {
			notified += p.work
		}
	}
	if sum > 0 && notified >= notifiedWorkFraction*sum {
		c.addViolation(RuleWarmup, now, "%s was sent %.2f s of work within %v while cold", server, sum, c.rules.OverloadWindow)
	}
}

// RecordImproperPeer reports how a peer that sent no proper request fared: it connected, and got an error or a close at ended,
// or nothing by then.
func (c *Checker) RecordImproperPeer(connected, ended time.Duration, what string, got bool, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case served:
		c.addViolation(RuleImproperPeer, ended, "a peer that %s was served", what)
	case !got || c.rules.ImproperPeerTimeout > 0 && ended-connected > c.rules.ImproperPeerTimeout+c.slack:
		c.addViolation(RuleImproperPeer, ended, "a peer that %s had no end after %v", what, ended-connected)
	}
}

// Usage reports what a program was seen to use at one moment.
type Usage struct {
	Instance    string
	MemoryMB    float64
	Descriptors int
	Cores       float64 // mean since the look before
}

// CheckUsage judges a Usage against limits.
func (c *Checker) CheckUsage(now time.Duration, u Usage, limits experiment.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case limits.MemoryMB > 0 && u.MemoryMB > float64(limits.MemoryMB):
		c.addViolation(RuleLimits, now, "%s uses %.0f MB of %d", u.Instance, u.MemoryMB, limits.MemoryMB)
	case limits.Descriptors > 0 && u.Descriptors > limits.Descriptors:
		c.addViolation(RuleLimits, now, "%s has %d descriptors of %d", u.Instance, u.Descriptors, limits.Descriptors)
	case limits.Cores > 0 && u.Cores > 1.05*limits.Cores: // the kernel's clock ticks at 10 ms
		c.addViolation(RuleLimits, now, "%s uses %.2f cores of %g", u.Instance, u.Cores, limits.Cores)
	}
}

// RecordCrash reports that a program under test ended by itself.
func (c *Checker) RecordCrash(now time.Duration, instance, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(RuleLimits, now, "%s ended by itself: %s", instance, how)
}

// Close settles what is open and returns a verdict for every rule.
func (c *Checker) Close(now time.Duration) []Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, req := range c.byAge {
		if now > req.Deadline+c.rules.ResponseSlack+c.slack { // what is still in time owes nothing yet
			c.expire(req)
		}
	}
	c.byAge = nil
	var out []Verdict
	for _, r := range allRules {
		v := Verdict{Rule: r}
		if b := c.verdicts[r]; b != nil {
			v = *b
		}
		out = append(out, v)
	}
	return out
}
