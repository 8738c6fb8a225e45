// Package invariant judges a play from outside. Drivers tell it what clients, boxes and the roster saw; it is never told
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
	Answer    Rule = "answer"    // each request taken gets one final answer, before its client gives up
	Duplicate Rule = "duplicate" // what is unsafe is sent again only if no earlier attempt can have run
	Policy    Rule = "policy"    // no more attempts, and no run after a run, than the class's policy allows
	Drain     Rule = "drain"     // nothing new to a box told to drain or be gone, a grace after the telling
	Cold      Rule = "cold"      // no cold box is sent so much that it falls over
	Foreign   Rule = "foreign"   // nothing reaches a box but what a client sent as a request of its own
	Invented  Rule = "invented"  // nothing is served but what a box made for this request
	Refusal   Rule = "refusal"   // "trying again is harmless" is said only if that is true
	Improper  Rule = "improper"  // a peer that sends no proper request gets an error or a close in time
	Limits    Rule = "limits"    // memory, descriptors and CPU
)

var order = []Rule{Answer, Duplicate, Policy, Drain, Cold, Foreign, Invented, Refusal, Improper, Limits}

// Verdict is what became of one rule.
type Verdict struct {
	Rule   Rule
	Broken int // times
	First  time.Duration
	Detail string // of the first breach
}

// Fate is a final answer as its client saw it.
type Fate int

// The fates.
const (
	Served Fate = iota
	Refused
	Failed
	Torn // begun and visibly cut short: failed, not lost
)

// Request is a request as its client sent it.
type Request struct {
	ID       string
	Instance string // of the program under test that was given it
	Effect   balancer.Repeatability
	Deadline time.Duration
	Digest   uint64 // of all that must reach boxes unchanged
	Attempts int    // allowed by its policy; 0: not limited there
	Once     bool   // its policy forbids another run after one that may have been, whatever the effect
}

// Arrival is a request that has reached a box whole.
type Arrival struct {
	ID     string
	Box    string
	First  time.Duration // its first byte came
	Last   time.Duration
	Digest uint64
	Cold   bool    // the box was not warm
	Work   float64 // seconds, for the rule on cold boxes
}

// keep is how long after its deadline a request is remembered: late duplicates come within it.
const keep = 5 * time.Second

type call struct {
	Request
	answered bool
	excused  bool // its instance was killed, or its client left
	fate     Fate
	runs     []run
}

type run struct {
	box      string
	at       time.Duration
	declined time.Duration // 0: not turned away
	made     uint64        // digest of the answer made; 0: none
}

type pair struct{ instance, box string }

type press struct {
	at   time.Duration
	work float64
	told bool
}

// Ledger collects and judges. Its methods may be called from several goroutines; instants must not run backwards by
// more than the driver's own lateness.
type Ledger struct {
	rules experiment.Rules
	slack time.Duration // for each limit of time, 0 in virtual time

	mu       sync.Mutex
	calls    map[string]*call
	queue    []*call // in order of taking
	drained  map[pair]time.Duration
	started  map[pair]bool // told of the box's latest start
	pressed  map[string][]press
	verdicts map[Rule]*Verdict
}

// New returns an empty ledger. Slack is added to each limit of time.
func New(rules experiment.Rules, slack time.Duration) *Ledger {
	return &Ledger{rules: rules, slack: slack, calls: map[string]*call{}, drained: map[pair]time.Duration{},
		started: map[pair]bool{}, pressed: map[string][]press{}, verdicts: map[Rule]*Verdict{}}
}

func (l *Ledger) broken(rule Rule, at time.Duration, format string, args ...any) {
	v := l.verdicts[rule]
	if v == nil {
		v = &Verdict{Rule: rule, First: at, Detail: fmt.Sprintf(format, args...)}
		l.verdicts[rule] = v
	} else if at < v.First {
		v.First, v.Detail = at, fmt.Sprintf(format, args...)
	}
	v.Broken++
}

// Taken reports that an instance has taken a request: its last byte was written to a connection accepted.
func (l *Ledger) Taken(now time.Duration, r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &call{Request: r}
	l.calls[r.ID] = c
	l.queue = append(l.queue, c)
	for len(l.queue) > 0 && l.queue[0].Deadline+keep < now {
		l.settle(l.queue[0])
		delete(l.calls, l.queue[0].ID)
		l.queue[0] = nil
		l.queue = l.queue[1:]
	}
}

// settle judges a request of which nothing is to come any more.
func (l *Ledger) settle(c *call) {
	if !c.answered && !c.excused {
		c.answered = true
		l.broken(Answer, c.Deadline, "request %s at %s was never answered", c.ID, c.Instance)
	}
}

// Answered reports a final answer. Digest is that of the body, for Served.
func (l *Ledger) Answered(now time.Duration, id string, fate Fate, digest uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.calls[id]
	if c == nil {
		l.broken(Answer, now, "an answer came for %s, which was not asked", id)
		return
	}
	if c.answered {
		l.broken(Answer, now, "request %s at %s was answered twice", id, c.Instance)
		return
	}
	c.answered, c.fate = true, fate
	if late := c.Deadline + l.rules.AnswerSlack + l.slack; now > late && !c.excused {
		l.broken(Answer, now, "request %s at %s was answered %v after its deadline", id, c.Instance, now-c.Deadline)
	}
	switch fate {
	case Served:
		if !slices.ContainsFunc(c.runs, func(r run) bool { return r.made == digest && r.made != 0 }) {
			l.broken(Invented, now, "request %s at %s was served with what no box made for it", id, c.Instance)
		}
	case Refused:
		if c.Effect == balancer.NonIdempotent && c.mayHaveRun() {
			l.broken(Refusal, now, "request %s at %s was refused and may have run", id, c.Instance)
		}
	}
}

func (c *call) mayHaveRun() bool {
	return slices.ContainsFunc(c.runs, func(r run) bool { return r.declined == 0 })
}

// Lost reports that the program closed a connection without an answer to a request written to it, and tells whether the
// request had been read: a box has seen it. Only then is it lost; one that crossed the close is the client's to send
// again.
func (l *Ledger) Lost(now time.Duration, id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.calls[id]
	if c == nil || c.answered || c.excused || len(c.runs) == 0 {
		return false
	}
	c.answered, c.fate = true, Failed
	l.broken(Answer, now, "request %s at %s was lost: its connection ended without an answer", id, c.Instance)
	return true
}

// Unanswered reports that a client has waited to the end of its time and all slack, and got nothing.
func (l *Ledger) Unanswered(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.calls[id]; c != nil {
		l.settle(c)
	}
}

// Excuse reports that no answer is owed any more: the client has left, or its instance was killed.
func (l *Ledger) Excuse(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.calls[id]; c != nil {
		c.excused = true
	}
}

// Killed reports that an instance was killed outright: it owes nothing of what it had, and has been told nothing.
func (l *Ledger) Killed(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.queue {
		if c.Instance == instance {
			c.excused = true
		}
	}
	for p := range l.drained {
		if p.instance == instance {
			delete(l.drained, p)
		}
	}
	for p := range l.started {
		if p.instance == instance {
			delete(l.started, p)
		}
	}
}

// Reached reports a request that has come to a box whole. It may run from now on unless the box turns it away.
func (l *Ledger) Reached(a Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.calls[a.ID]
	if c == nil {
		l.broken(Foreign, a.First, "%s got a request %.40q that no client sent", a.Box, a.ID)
		return
	}
	if c.Digest != a.Digest {
		l.broken(Foreign, a.First, "%s got request %s in another form than its client sent", a.Box, a.ID)
	}
	p := pair{c.Instance, a.Box}
	if at, ok := l.drained[p]; ok && a.First > at+l.rules.DrainGrace+l.slack {
		l.broken(Drain, a.First, "%s got request %s from %s %v after the telling", a.Box, a.ID, c.Instance, a.First-at)
	}
	if a.Cold {
		l.press(a, l.started[p])
	}
	if c.Attempts > 0 && len(c.runs) >= c.Attempts {
		l.broken(Policy, a.Last, "request %s reached a box %d times, and %d attempts are allowed", a.ID, len(c.runs)+1, c.Attempts)
	}
	if c.Once && slices.ContainsFunc(c.runs, func(r run) bool { return r.declined == 0 || r.declined > a.First }) {
		l.broken(Policy, a.Last, "request %s reached %s after a run, which its policy forbids", a.ID, a.Box)
	}
	if c.Effect == balancer.NonIdempotent {
		for _, r := range c.runs {
			if r.declined == 0 || r.declined > a.First {
				l.broken(Duplicate, a.Last, "request %s reached %s after %s, where it may have run", a.ID, a.Box, r.box)
				break
			}
		}
		if c.answered && c.fate == Refused {
			l.broken(Refusal, a.Last, "request %s reached %s though it had been refused", a.ID, a.Box)
		}
	}
	c.runs = append(c.runs, run{box: a.Box, at: a.Last})
}

func (l *Ledger) press(a Arrival, told bool) {
	p := append(l.pressed[a.Box], press{a.Last, a.Work, told})
	for len(p) > 0 && p[0].at <= a.Last-l.rules.FallWindow {
		p = p[1:]
	}
	l.pressed[a.Box] = p
}

// Declined reports that the box turned away the request that reached it last under this id.
func (l *Ledger) Declined(now time.Duration, box, id string) {
	l.mark(box, id, func(r *run) { r.declined = max(now, 1) })
}

// Made reports the digest of the answer that a box made.
func (l *Ledger) Made(box, id string, digest uint64) {
	l.mark(box, id, func(r *run) { r.made = digest })
}

func (l *Ledger) mark(box, id string, set func(*run)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.calls[id]; c != nil {
		for i := len(c.runs) - 1; i >= 0; i-- {
			if c.runs[i].box == box {
				set(&c.runs[i])
				return
			}
		}
	}
}

// Told reports that an instance has been told a box's state; started says that it is news of a start.
func (l *Ledger) Told(now time.Duration, instance, box string, state balancer.State, started bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := pair{instance, box}
	if state == balancer.Ready {
		delete(l.drained, p)
		l.started[p] = l.started[p] || started
		return
	}
	if _, ok := l.drained[p]; !ok {
		l.drained[p] = now
	}
}

// fallShare is the share of the work that must have come from instances told of the start for a fall to be theirs.
const fallShare = 2.0 / 3

// Fell reports that a cold box has fallen over.
func (l *Ledger) Fell(now time.Duration, box string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	told, sum := 0.0, 0.0
	for _, p := range l.pressed[box] {
		if sum += p.work; p.told {
			told += p.work
		}
	}
	if sum > 0 && told >= fallShare*sum {
		l.broken(Cold, now, "%s was sent %.2f s of work within %v while cold", box, sum, l.rules.FallWindow)
	}
}

// ImproperEnd reports how a peer that sent no proper request fared: it connected, and got an error or a close at ended,
// or nothing by then.
func (l *Ledger) ImproperEnd(connected, ended time.Duration, what string, got bool, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case served:
		l.broken(Improper, ended, "a peer that %s was served", what)
	case !got || l.rules.ImproperFor > 0 && ended-connected > l.rules.ImproperFor+l.slack:
		l.broken(Improper, ended, "a peer that %s had no end after %v", what, ended-connected)
	}
}

// Usage reports what a program was seen to use at one moment.
type Usage struct {
	Instance    string
	MemoryMB    float64
	Descriptors int
	Cores       float64 // mean since the look before
}

// Uses judges a Usage against limits.
func (l *Ledger) Uses(now time.Duration, u Usage, limits experiment.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case limits.MemoryMB > 0 && u.MemoryMB > float64(limits.MemoryMB):
		l.broken(Limits, now, "%s uses %.0f MB of %d", u.Instance, u.MemoryMB, limits.MemoryMB)
	case limits.Descriptors > 0 && u.Descriptors > limits.Descriptors:
		l.broken(Limits, now, "%s has %d descriptors of %d", u.Instance, u.Descriptors, limits.Descriptors)
	case limits.Cores > 0 && u.Cores > 1.05*limits.Cores: // the kernel's clock ticks at 10 ms
		l.broken(Limits, now, "%s uses %.2f cores of %g", u.Instance, u.Cores, limits.Cores)
	}
}

// Crashed reports that a program under test ended by itself.
func (l *Ledger) Crashed(now time.Duration, instance, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken(Limits, now, "%s ended by itself: %s", instance, how)
}

// Close settles what is open and gives a verdict for every rule.
func (l *Ledger) Close(now time.Duration) []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.queue {
		if now > c.Deadline+l.rules.AnswerSlack+l.slack { // what is still in time owes nothing yet
			l.settle(c)
		}
	}
	l.queue = nil
	var out []Verdict
	for _, r := range order {
		v := Verdict{Rule: r}
		if b := l.verdicts[r]; b != nil {
			v = *b
		}
		out = append(out, v)
	}
	return out
}
