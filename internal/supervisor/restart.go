// Package supervisor decides for a supervisor of instances on one machine: when each is started again after it ended, and
// when one that does not become healthy is given up on and killed. It is pure: events come in with the time, the
// actions to take go out, and the caller runs processes and clocks.
package supervisor

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// RestartSettings of a supervisor. Zero values take the defaults named.
type RestartSettings struct {
	Instances   int
	Seed        uint64        // jitter of back-offs, drawn for each instance alone
	First       time.Duration // back-off after the first failure (200ms)
	Most        time.Duration // back-off at most (30s)
	ReadyWithin time.Duration // an instance that is not healthy by then is killed (15s)
	Steady      time.Duration // healthy this long, an instance's failures are forgotten (1m)
}

// Phase is where an instance stands.
type Phase int

// The phases.
const (
	Down     Phase = iota // not running; started at its time
	Starting              // running, not yet healthy
	Healthy
	Killing // told to end; waits for its exit
)

// ActionKind is what the caller is to do.
type ActionKind int

// The verbs.
const (
	ActionStart ActionKind = iota
	ActionKill
)

// Action is one thing to do to an instance.
type Action struct {
	Kind     ActionKind
	Instance int
	Why      string
}

// Instance is what the supervisor knows of one.
type Instance struct {
	Phase    Phase
	Since    time.Duration // of its phase
	Failures int           // in a row; each doubles the back-off
	StartAt  time.Duration // when Down: of its next start
	Starts   int           // in all
}

// RestartPolicy holds the phases of all instances.
type RestartPolicy struct {
	s   RestartSettings
	all []Instance
	rng []*rand.Rand
}

// NewRestartPolicy gives a supervisor whose instances are all due to start now.
func NewRestartPolicy(now time.Duration, s RestartSettings) (*RestartPolicy, error) {
	if s.Instances < 1 {
		return nil, fmt.Errorf("supervise: %d instances", s.Instances)
	}
	for _, d := range []*time.Duration{&s.First, &s.Most, &s.ReadyWithin, &s.Steady} {
		if *d < 0 {
			return nil, fmt.Errorf("supervise: a negative time")
		}
	}
	s.First, s.Most = or(s.First, 200*time.Millisecond), or(s.Most, 30*time.Second)
	s.ReadyWithin, s.Steady = or(s.ReadyWithin, 15*time.Second), or(s.Steady, time.Minute)
	v := &RestartPolicy{s: s, all: make([]Instance, s.Instances)}
	for i := range v.all {
		v.all[i] = Instance{Phase: Down, Since: now, StartAt: now}
		v.rng = append(v.rng, rand.New(rand.NewPCG(s.Seed, uint64(i))))
	}
	return v, nil
}

func or(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// Instances tells what is known of each.
func (v *RestartPolicy) Instances() []Instance { return append([]Instance(nil), v.all...) }

// Started tells that an instance's process runs.
func (v *RestartPolicy) Started(now time.Duration, i int) {
	v.all[i].Phase, v.all[i].Since = Starting, now
	v.all[i].Starts++
}

// Healthy tells that an instance answered for its health; one that was not healthy before is so from now.
func (v *RestartPolicy) Healthy(now time.Duration, i int) {
	if in := &v.all[i]; in.Phase == Starting {
		in.Phase, in.Since = Healthy, now
	}
}

// Ended tells that an instance's process has ended. Unless it had been steady, that is a failure, and its next start
// waits a back-off: doubled with each failure in a row, capped, and jittered by up to a quarter either way so that
// instances that fail together do not come back together.
func (v *RestartPolicy) Ended(now time.Duration, i int) {
	in := &v.all[i]
	if in.Phase == Healthy && now-in.Since >= v.s.Steady {
		in.Failures = 0
	}
	in.Failures++
	wait := v.s.First << min(in.Failures-1, 30)
	if wait > v.s.Most || wait <= 0 {
		wait = v.s.Most
	}
	wait = time.Duration(float64(wait) * (0.75 + 0.5*v.rng[i].Float64()))
	in.Phase, in.Since, in.StartAt = Down, now, now+wait
}

// Due gives what is to be done now: starts whose time has come, kills of instances not healthy in time.
func (v *RestartPolicy) Due(now time.Duration) []Action {
	var out []Action
	for i := range v.all {
		switch in := &v.all[i]; {
		case in.Phase == Down && now >= in.StartAt:
			out = append(out, Action{ActionStart, i, fmt.Sprintf("start %d", in.Starts+1)})
		case in.Phase == Starting && now-in.Since >= v.s.ReadyWithin:
			in.Phase, in.Since = Killing, now
			out = append(out, Action{ActionKill, i, fmt.Sprintf("not healthy within %v", v.s.ReadyWithin)})
		}
	}
	return out
}

// Next is when Due may have something new to say, other than after an event; false when nothing waits on time.
func (v *RestartPolicy) Next() (time.Duration, bool) {
	var next time.Duration
	found := false
	for _, in := range v.all {
		at, waits := in.StartAt, in.Phase == Down
		if in.Phase == Starting {
			at, waits = in.Since+v.s.ReadyWithin, true
		}
		if waits && (!found || at < next) {
			next, found = at, true
		}
	}
	return next, found
}
