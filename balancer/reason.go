package balancer

// Reason states why a request gets a final answer that does not come from an endpoint. This file
// makes no load-balancing decisions.
type Reason string

// The reasons. Their values are on the wire and in logs.
const (
	NoEndpoint        Reason = "no_endpoint"  // no endpoint is ready
	NoCapacity        Reason = "no_room"      // all endpoints that may be used are at capacity
	QueueFull         Reason = "queue_full"   // the number of waiting requests of the class has reached its queue limit
	OverQuota         Reason = "over_quota"   // the tenant is over its quota while capacity is short
	DeadlineTooClose  Reason = "too_late"     // no response can arrive before the deadline
	RetryBudgetSpent  Reason = "no_budget"    // an attempt failed, and the retry budget is spent
	AttemptsExhausted Reason = "no_attempt"   // all attempts that the request may have were used and failed
	MayHaveRun        Reason = "may_have_run" // an attempt failed, and with another the request could take effect twice
)

// Reasons lists all reasons.
var Reasons = []Reason{
	NoEndpoint, NoCapacity, QueueFull, OverQuota, DeadlineTooClose, RetryBudgetSpent, AttemptsExhausted, MayHaveRun,
}

// InactiveReason states why an endpoint gets no regular requests.
type InactiveReason string

// The reasons for which an endpoint is inactive. Their values appear in the daemon's status.
const (
	InactiveNew           InactiveReason = "new"       // its first trial has not succeeded yet
	InactiveSlow          InactiveReason = "slow"      // its weight is too far above the smallest active one
	InactiveUnresponsive  InactiveReason = "silent"    // it does not respond
	InactiveUnreachable   InactiveReason = "unreached" // connections to it cannot be established
	InactiveFailing       InactiveReason = "failing"   // attempts at it fail
	InactiveOutsideSubset InactiveReason = "aside"     // it is not in the subset that this instance sends to
	InactiveDisabled      InactiveReason = "banned"    // the operators have disabled it
)
