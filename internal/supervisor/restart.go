package supervisor

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// The code in this file starts no processes and reads no clock: it receives events with their times
// and returns actions, which Run carries out. All times are durations since one arbitrary origin.
//
// An instance is Down until its next start is due, Starting once its process runs, and Healthy once
// it has passed a health check. An instance that is not healthy in time is Killing until its
// process has exited. In every phase, the exit of the process leads to Down, and the next start
// follows after a backoff.

const (
	defaultStableAfter  = time.Minute
	maxBackoffDoublings = 30 // more doublings could overflow before the backoff is capped

	// jitterFraction is the largest change of a backoff by jitter, as a fraction of it.
	jitterFraction = 0.25
)

// RestartSettings holds the parameters of a RestartPolicy. A duration of zero stands for the
// default in parentheses.
type RestartSettings struct {
	Instances      int
	Seed           uint64        // of the jitter of backoffs; each instance has its own random stream
	InitialBackoff time.Duration // before the restart after a first failure (200ms)
	MaxBackoff     time.Duration // before jitter (30s)
	ReadyTimeout   time.Duration // a started instance that is not healthy within this time is killed (15s)
	StableAfter    time.Duration // an exit of an instance healthy for this long counts as its first failure (1m)
}

// Phase is the state of an instance in the restart policy.
type Phase int

// Phases of an instance.
const (
	Down     Phase = iota // not running; the next start is due at StartAt
	Starting              // running, and has not yet passed a health check
	Healthy               // running, and has passed a health check
	Killing               // not healthy in time and killed, but the process has not yet exited
)

// ActionKind says what the caller of a RestartPolicy must do.
type ActionKind int

// Kinds of actions.
const (
	ActionStart ActionKind = iota
	ActionKill
)

// Action is an instruction to start or kill one instance.
type Action struct {
	Kind     ActionKind
	Instance int
	Reason   string // for the log
}

// Instance is the state of one instance.
type Instance struct {
	Phase    Phase
	Since    time.Duration // when the phase began
	Failures int           // consecutive; each after the first doubles the backoff, up to MaxBackoff
	StartAt  time.Duration // when the next start is due; only valid in the phase Down
	Starts   int           // in total
}

// enter sets the phase and the time at which it began.
func (in *Instance) enter(now time.Duration, phase Phase) {
	in.Phase = phase
	in.Since = now
}

// RestartPolicy decides when an instance that has exited is restarted, and when an instance that
// does not become healthy is killed. It is not safe for concurrent use.
type RestartPolicy struct {
	settings  RestartSettings
	instances []Instance
	jitter    []*rand.Rand // by instance
}

// NewRestartPolicy returns a policy in which the start of every instance is due now.
func NewRestartPolicy(now time.Duration, s RestartSettings) (*RestartPolicy, error) {
	if s.Instances < 1 {
		return nil, fmt.Errorf("supervisor: restart settings: %d instances, must be at least 1", s.Instances)
	}
	if min(s.InitialBackoff, s.MaxBackoff, s.ReadyTimeout, s.StableAfter) < 0 {
		return nil, errors.New("supervisor: restart settings: durations must not be negative")
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

// OnStarted records that the process of an instance has been started.
func (p *RestartPolicy) OnStarted(now time.Duration, i int) {
	in := &p.instances[i]
	in.enter(now, Starting)
	in.Starts++
}

// OnHealthy records that an instance has passed a health check.
func (p *RestartPolicy) OnHealthy(now time.Duration, i int) {
	if in := &p.instances[i]; in.Phase == Starting {
		in.enter(now, Healthy)
	}
}

// OnExited records that the process of an instance has exited, and schedules the next start after
// the backoff. If the instance was healthy for at least StableAfter, this counts as its first
// failure, otherwise as one more consecutive failure.
func (p *RestartPolicy) OnExited(now time.Duration, i int) {
	in := &p.instances[i]
	if in.Phase == Healthy && now-in.Since >= p.settings.StableAfter {
		in.Failures = 0
	}
	in.Failures++
	in.enter(now, Down)
	in.StartAt = now + p.backoff(i)
}

// backoff returns the time until an instance's next start. It doubles with each consecutive failure
// up to MaxBackoff, and is then made longer or shorter by up to jitterFraction, so that instances
// that fail together do not restart together.
func (p *RestartPolicy) backoff(i int) time.Duration {
	backoff := p.settings.InitialBackoff << min(p.instances[i].Failures-1, maxBackoffDoublings)
	if backoff > p.settings.MaxBackoff || backoff <= 0 {
		backoff = p.settings.MaxBackoff
	}
	jitter := 1 - jitterFraction + 2*jitterFraction*p.jitter[i].Float64()
	return time.Duration(float64(backoff) * jitter)
}

// DueActions returns the actions that are due: starts of instances whose backoff is over, and kills
// of instances that were not healthy in time. It returns a kill once, and a start at each call
// until OnStarted is called.
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

// NextDeadline returns the time at which the next action is due if no event occurs before. It
// returns false if no instance has a deadline.
func (p *RestartPolicy) NextDeadline() (time.Duration, bool) {
	var next time.Duration
	found := false
	for _, in := range p.instances {
		at, ok := p.deadline(in)
		if ok && (!found || at < next) {
			next = at
			found = true
		}
	}
	return next, found
}

// deadline returns the time at which an action for the instance is due, if its phase has one.
func (p *RestartPolicy) deadline(in Instance) (at time.Duration, ok bool) {
	switch in.Phase {
	case Down:
		return in.StartAt, true
	case Starting:
		return in.Since + p.settings.ReadyTimeout, true
	}
	return 0, false
}
