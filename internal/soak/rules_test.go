package soak

import (
	"math"
	"time"
)

// rule names a rule of the operators' pages.
type rule string

// The rules that a checker checks.
const (
	ruleResponse       rule = "exactly one final response, in time"
	ruleDuplicate      rule = "no retry that may duplicate an effect"
	ruleUnavailable    rule = "no attempt at a draining, removed or disabled endpoint after the grace period"
	ruleDisconnect     rule = "no attempt later than 0.1 s after the client has disconnected"
	ruleTimeout        rule = "no attempt timeout longer than the client's remaining time plus 0.15 s"
	ruleWarmup         rule = "no warming endpoint receives requests beyond its budget"
	ruleUnknown        rule = "endpoints receive only requests that a client has sent"
	ruleCleanup        rule = "no crash, no process or file left behind"
	ruleAdmin          rule = "every admin command gets a response within 1 s"
	rulePartialRequest rule = "a client that sends a partial request gets an error or a close within 3 s"
)

// The limits that the operators' pages state.
const (
	responseGrace       = 500 * time.Millisecond // how long after a client's deadline a response may end
	drainGrace          = time.Second
	disconnectGrace     = 100 * time.Millisecond
	timeoutAllowance    = 150 * time.Millisecond
	adminLimit          = time.Second
	partialRequestLimit = 3 * time.Second
)

// class is a request class.
type class struct {
	name, method string
	idempotency  idempotency
}

// idempotency is whether requests of a class may run more than once.
type idempotency int

const (
	idempotent idempotency = iota
	keyed                  // requests carry an idempotency key and may run again within its window
	nonIdempotent
)

// warmupBudget holds the parameters from which the budget of a warming endpoint is computed.
type warmupBudget struct {
	capacity         float64 // requests per second of a warm endpoint
	initialShare     float64 // share of the capacity that the endpoint has at its start
	duration         time.Duration
	overloadMultiple float64
	window           time.Duration
}

// requests returns how many requests an endpoint may receive within the window, given the time
// since its start. The result includes a margin for random variation.
func (b warmupBudget) requests(age time.Duration) float64 {
	share := b.initialShare + (1-b.initialShare)*age.Seconds()/b.duration.Seconds()
	n := b.overloadMultiple * share * b.capacity * b.window.Seconds()
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}
