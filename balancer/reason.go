package balancer

import "time"

// Reason says why a request got a final answer that is not an endpoint's. No decision is made in this file.
type Reason string

// The reasons.
const (
	NoEndpoint        Reason = "no_endpoint"  // none is known that takes new work
	NoCapacity        Reason = "no_room"      // all that may be used have as much to do as they can finish
	QueueFull         Reason = "queue_full"   // as many wait for room as the class allows
	OverQuota         Reason = "over_quota"   // its tenant is over its share while room is short
	DeadlineTooClose  Reason = "too_late"     // no answer would come before the deadline
	RetryBudgetSpent  Reason = "no_budget"    // an attempt failed, and the budget of resends is spent
	AttemptsExhausted Reason = "no_attempt"   // as many attempts have failed as it may have
	MayHaveRun        Reason = "may_have_run" // an attempt failed, and another could be a second effect
)

// Reasons lists them all.
var Reasons = []Reason{NoEndpoint, NoCapacity, QueueFull, OverQuota, DeadlineTooClose, RetryBudgetSpent, AttemptsExhausted, MayHaveRun}

// InactiveReason says why an endpoint gets no ordinary turns.
type InactiveReason string

// Why an endpoint is out.
const (
	InactiveNew           InactiveReason = "new"       // it has to show itself at a trial first
	InactiveSlow          InactiveReason = "slow"      // beyond the factor
	InactiveUnresponsive  InactiveReason = "silent"    // it answers nothing
	InactiveUnreachable   InactiveReason = "unreached" // connections to it fail
	InactiveFailing       InactiveReason = "failing"   // attempts at it fail
	InactiveOutsideSubset InactiveReason = "aside"     // this balancer spreads its calls over others
	InactiveDisabled      InactiveReason = "banned"    // the operators have taken it out
)

// Counts tells how many endpoints are listed, and how many of them get no ordinary turns, at the operators' word or by choice.
// Its cost does not grow with the list.
func (b *Balancer) Counts() (listed, avoided int) {
	avoided = b.ready - len(b.turns.list)
	for id := range b.banned {
		if e := b.byName[id]; e != nil && e.listed == Ready {
			avoided++
		}
	}
	return b.known, avoided
}

// EndpointStatus is how an endpoint stands with a Balancer.
type EndpointStatus struct {
	ID            string
	State         State
	Inactive      InactiveReason // why it gets no ordinary turns; empty where it does
	Weight        float64        // what it takes, in multiples of what calls take when all is calm
	Errors        float64        // share of recent outcomes that were errors
	InFlight      int            // attempts out
	Warmth        float64        // least share of its capacity that it has
	SinceResponse time.Duration  // since its latest answer; below 0: none has come
	NextTrial     time.Duration  // until it may be tried, while out; below 0: its trial is out
}

// EndpointStatuses tells how all endpoints stand, in order of first mention.
func (b *Balancer) EndpointStatuses(now time.Duration) []EndpointStatus {
	var out []EndpointStatus
	for _, e := range b.endpoints {
		if e.State == Gone {
			continue
		}
		s := EndpointStatus{ID: e.ID, State: e.State, Weight: e.w(), Errors: e.errors / max(e.all, 1), InFlight: e.inFlight, Warmth: b.warmth(now, e),
			SinceResponse: -1}
		if e.answeredAt > 0 {
			s.SinceResponse = now - e.answeredAt
		}
		switch {
		case b.banned[e.ID]:
			s.Inactive = InactiveDisabled
		case !e.active:
			s.Inactive, s.NextTrial = e.out, max(e.trialAt-now, 0)
			if e.trial {
				s.NextTrial = -1
			}
		case !e.in && e.State == Ready:
			s.Inactive = InactiveOutsideSubset
		}
		out = append(out, s)
	}
	return out
}
