package supervisor

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// This file is pure: events come in with the time, actions go out, and Run starts processes and
// reads clocks. Times are durations since any one origin.
//
// An instance is Down until its start is due, Starting once its process runs, and Healthy once it
// has answered its health check. One that is not healthy in time is Killing until its process has
// ended. From each phase, the end of the process leads to Down, with the next start after a
// backoff.

const (
	defaultStableAfter = time.Minute
	maxBackoffDoubling = 30 // more would overflow the shift before the cap is applied
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
	Healthy               // running, and has answered its health check
	Killing               // killed, its process has not ended yet
)

// ActionKind is what the caller of a RestartPolicy is to do.
type ActionKind int

// The actions.
const (
	ActionStart ActionKind = iota
	ActionKill
)

// Action is one thing to do to an instance.
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

// RestartPolicy decides when each instance is started again after it ended, and when one that does
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
	p.instances[i].Phase, p.instances[i].Since = Starting, now
	p.instances[i].Starts++
}

// OnHealthy records that an instance answered its health check.
func (p *RestartPolicy) OnHealthy(now time.Duration, i int) {
	if in := &p.instances[i]; in.Phase == Starting {
		in.Phase, in.Since = Healthy, now
	}
}

// OnExited records that an instance's process has ended. Unless it had been stable, that is a
// failure more in a row, and its next start waits for the backoff.
func (p *RestartPolicy) OnExited(now time.Duration, i int) {
	in := &p.instances[i]
	if in.Phase == Healthy && now-in.Since >= p.settings.StableAfter {
		in.Failures = 0
	}
	in.Failures++
	in.Phase, in.Since, in.StartAt = Down, now, now+p.backoff(i)
}

// backoff returns the pause before an instance's next start: doubled with each failure in a row,
// capped, and jittered by up to a quarter either way, so that instances that fail together do not
// start together.
func (p *RestartPolicy) backoff(i int) time.Duration {
	pause := p.settings.InitialBackoff << min(p.instances[i].Failures-1, maxBackoffDoubling)
	if pause > p.settings.MaxBackoff || pause <= 0 {
		pause = p.settings.MaxBackoff
	}
	return time.Duration(float64(pause) * (0.75 + 0.5*p.jitter[i].Float64()))
}

// DueActions returns what is to be done now: starts whose backoff is over, and kills of instances
// not healthy in time. A kill is returned once, a start until OnStarted has been called.
func (p *RestartPolicy) DueActions(now time.Duration) []Action {
	var due []Action
	for i := range p.instances {
		switch in := &p.instances[i]; {
		case in.Phase == Down && now >= in.StartAt:
			due = append(due, Action{ActionStart, i, fmt.Sprintf("start %d", in.Starts+1)})
		case in.Phase == Starting && now-in.Since >= p.settings.ReadyTimeout:
			in.Phase, in.Since = Killing, now
			due = append(due, Action{ActionKill, i, fmt.Sprintf("not healthy within %v", p.settings.ReadyTimeout)})
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
		at, waits := in.StartAt, in.Phase == Down
		if in.Phase == Starting {
			at, waits = in.Since+p.settings.ReadyTimeout, true
		}
		if waits && (!found || at < next) {
			next, found = at, true
		}
	}
	return next, found
}
