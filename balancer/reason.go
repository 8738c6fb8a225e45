package balancer

// Reason is the cause of a final answer that does not come from an endpoint. No decision is made in
// this file.
type Reason string

// The reasons. Their values are on the wire and in logs.
const (
	NoEndpoint        Reason = "no_endpoint"  // no endpoint is ready
	NoCapacity        Reason = "no_room"      // all endpoints that may be used are at their capacity
	QueueFull         Reason = "queue_full"   // as many requests of the class wait as its queue limit allows
	OverQuota         Reason = "over_quota"   // its tenant is over its quota while capacity is short
	DeadlineTooClose  Reason = "too_late"     // no response would come before the deadline
	RetryBudgetSpent  Reason = "no_budget"    // an attempt failed, and the retry budget is spent
	AttemptsExhausted Reason = "no_attempt"   // as many attempts have failed as the request may have
	MayHaveRun        Reason = "may_have_run" // an attempt failed, and another could take effect a second time
)

// Reasons lists all reasons.
var Reasons = []Reason{
	NoEndpoint, NoCapacity, QueueFull, OverQuota, DeadlineTooClose, RetryBudgetSpent, AttemptsExhausted, MayHaveRun,
}

// InactiveReason is the cause for which an endpoint is not in the ordinary selection.
type InactiveReason string

// The reasons for which an endpoint is inactive. Their values are in answers and logs.
const (
	InactiveNew           InactiveReason = "new"       // its first trial has not succeeded yet
	InactiveSlow          InactiveReason = "slow"      // its weight is too far beyond the smallest
	InactiveUnresponsive  InactiveReason = "silent"    // it does not respond
	InactiveUnreachable   InactiveReason = "unreached" // connections to it fail
	InactiveFailing       InactiveReason = "failing"   // attempts at it fail
	InactiveOutsideSubset InactiveReason = "aside"     // this instance sends to others
	InactiveDisabled      InactiveReason = "banned"    // the operators have disabled it
)
