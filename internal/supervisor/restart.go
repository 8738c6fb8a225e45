package supervisor

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// This file is pure: it is given events with their time and returns actions; Run starts processes
// and reads clocks. Times are durations since the same arbitrary origin.
//
// An instance is Down until its start is due, Starting once its process runs, and Healthy once it
// has passed its health check. One that is not healthy in time is Killing until its process has
// exited. From each phase, the exit of the process leads to Down, with the next start after a
// backoff.

const (
	defaultStableAfter = time.Minute
	maxBackoffDoubling = 30 // more would overflow the shift before the cap is applied

	// jitterFraction is by how much of itself a backoff is made longer or shorter at most.
	jitterFraction = 0.25
)

// RestartSettings are the parameters of a RestartPolicy. Zero values stand for the defaults named.
type RestartSettings struct {
	Instances      int
	Seed           uint64        // of the backoffs' jitter, which is drawn for each instance separately
	InitialBackoff time.Duration // after the first failure (200ms)
	MaxBackoff     time.Duration // before jitter (30s)
	ReadyTimeout   time.Duration // an instance that is not healthy by then is killed (15s)
	StableAfter    time.Duration // an instance healthy for this long has its failures forgotten (1m)
}

// Phase is the state of an instance in the restart policy.
type Phase int

// The phases.
const (
	Down     Phase = iota // not running; started when its backoff is over
	Starting              // running, not yet healthy
	Healthy               // running, and has passed its health check
	Killing               // killed, its process has not exited yet
)

// ActionKind is what the caller of a RestartPolicy is to do.
type ActionKind int

// The actions.
const (
	ActionStart ActionKind = iota
	ActionKill
)

// Action is what is to be done to one instance.
type Action struct {
	Kind     ActionKind
	Instance int
	Reason   string // for the log
}

// Instance is the state of one instance.
type Instance struct {
	Phase    Phase
	Since    time.Duration // when the phase began
	Failures int           // in a row; each doubles the backoff
	StartAt  time.Duration // when Down: when the next start is due
	Starts   int           // in total
}

// enter begins a phase.
func (in *Instance) enter(now time.Duration, phase Phase) {
	in.Phase = phase
	in.Since = now
}

// RestartPolicy decides when each instance is started again after it exited, and when one that does
// not become healthy is killed. It is not safe for concurrent use.
type RestartPolicy struct {
	settings  RestartSettings
	instances []Instance
	jitter    []*rand.Rand // by instance
}

// NewRestartPolicy returns a policy whose instances are all due to start now.
func NewRestartPolicy(now time.Duration, s RestartSettings) (*RestartPolicy, error) {
	if s.Instances < 1 {
		return nil, fmt.Errorf("supervisor: %d instances", s.Instances)
	}
	if min(s.InitialBackoff, s.MaxBackoff, s.ReadyTimeout, s.StableAfter) < 0 {
		return nil, errors.New("supervisor: a negative time")
	}
	s.InitialBackoff = cmp.Or(s.InitialBackoff, defaultInitialBackoff)
	s.MaxBackoff = cmp.Or(s.MaxBackoff, defaultMaxBackoff)
	s.ReadyTimeout = cmp.Or(s.ReadyTimeout, defaultReadyTimeout)
	s.StableAfter = cmp.Or(s.StableAfter, defaultStableAfter)
	p := &RestartPolicy{settings: s, instances: make([]Instance, s.Instances)}
	for i := range p.instances {
		p.instances[i] = Instance{Phase: Down, Since: now, StartAt: now}
		p.jitter = append(p.jitter, rand.New(rand.NewPCG(s.Seed, uint64(i))))
	}
	return p, nil
}

// Instances returns a copy of the state of each instance.
func (p *RestartPolicy) Instances() []Instance { return append([]Instance(nil), p.instances...) }

// OnStarted records that an instance's process runs.
func (p *RestartPolicy) OnStarted(now time.Duration, i int) {
	in := &p.instances[i]
	in.enter(now, Starting)
	in.Starts++
}

// OnHealthy records that an instance passed its health check.
func (p *RestartPolicy) OnHealthy(now time.Duration, i int) {
	if in := &p.instances[i]; in.Phase == Starting {
		in.enter(now, Healthy)
	}
}

// OnExited records that an instance's process has exited. Unless it had been stable, that is one
// more failure in a row, and its next start waits for the backoff.
func (p *RestartPolicy) OnExited(now time.Duration, i int) {
	in := &p.instances[i]
	if in.Phase == Healthy && now-in.Since >= p.settings.StableAfter {
		in.Failures = 0
	}
	in.Failures++
	in.enter(now, Down)
	in.StartAt = now + p.backoff(i)
}

// backoff returns the time until an instance's next start: doubled with each failure in a row,
// capped, and jittered by jitterFraction either way, so that instances that fail together do not
// start together.
func (p *RestartPolicy) backoff(i int) time.Duration {
	backoff := p.settings.InitialBackoff << min(p.instances[i].Failures-1, maxBackoffDoubling)
	if backoff > p.settings.MaxBackoff || backoff <= 0 {
		backoff = p.settings.MaxBackoff
	}
	jitter := 1 - jitterFraction + 2*jitterFraction*p.jitter[i].Float64()
	return time.Duration(float64(backoff) * jitter)
}

// DueActions returns what is to be done now: starts whose backoff is over, and kills of instances
// not healthy in time. A kill is returned once, a start until OnStarted has been called.
func (p *RestartPolicy) DueActions(now time.Duration) []Action {
	var due []Action
	for i := range p.instances {
		switch in := &p.instances[i]; {
		case in.Phase == Down && now >= in.StartAt:
			reason := fmt.Sprintf("start %d", in.Starts+1)
			due = append(due, Action{Kind: ActionStart, Instance: i, Reason: reason})
		case in.Phase == Starting && now-in.Since >= p.settings.ReadyTimeout:
			in.enter(now, Killing)
			reason := fmt.Sprintf("not healthy within %v", p.settings.ReadyTimeout)
			due = append(due, Action{Kind: ActionKill, Instance: i, Reason: reason})
		}
	}
	return due
}

// NextDeadline returns when DueActions may return an action without a further event. It returns
// false if no instance waits for a time.
func (p *RestartPolicy) NextDeadline() (time.Duration, bool) {
	var next time.Duration
	found := false
	for _, in := range p.instances {
		at, waits := p.deadline(in)
		if waits && (!found || at < next) {
			next = at
			found = true
		}
	}
	return next, found
}

// deadline returns the time that an instance waits for in its phase, if there is one.
func (p *RestartPolicy) deadline(in Instance) (at time.Duration, ok bool) {
	switch in.Phase {
	case Down:
		return in.StartAt, true
	case Starting:
		return in.Since + p.settings.ReadyTimeout, true
	}
	return 0, false
}
