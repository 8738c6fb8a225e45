package soak

import (
	"math"
	"time"
)

// rule is a rule of the operators' pages.
type rule string

// The rules that a checker judges by.
const (
	ruleResponse      rule = "one final response, in time"
	ruleDuplicate     rule = "no effect twice"
	ruleUnavailable   rule = "no attempt at a draining or disabled endpoint after the grace"
	ruleDisconnect    rule = "no attempt 0.1 s after the client has disconnected"
	ruleTimeout       rule = "no attempt timeout over the client's remaining time and 0.15 s"
	ruleWarmup        rule = "no endpoint that warms up over its budget"
	ruleUnknown       rule = "nothing that no client has sent"
	ruleCleanup       rule = "nothing left behind, no crash"
	ruleAdmin         rule = "admin commands are responded to within 1 s"
	ruleImproperPeers rule = "improper peers get an error or a close within 3 s"
)

// The figures of the pages.
const (
	responseGrace     = 500 * time.Millisecond // after a client's deadline
	drainGrace        = time.Second
	disconnectGrace   = 100 * time.Millisecond
	timeoutAllowance  = 150 * time.Millisecond
	adminLimit        = time.Second
	improperPeerLimit = 3 * time.Second
)

// class is a class of requests.
type class struct {
	name, method string
	idempotency  idempotency
}

// idempotency says whether requests of a class may run more than once.
type idempotency int

const (
	idempotent idempotency = iota
	keyed                  // with an idempotency key
	nonIdempotent
)

// warmupBudget has the figures behind the budget of an endpoint that warms up.
type warmupBudget struct {
	capacity         float64 // requests a second of a warm endpoint
	initialShare     float64 // share of the capacity at the start
	duration         time.Duration
	overloadMultiple float64
	window           time.Duration
}

// requests returns how many requests an endpoint of some age may be sent within the window.
func (b warmupBudget) requests(age time.Duration) float64 {
	share := b.initialShare + (1-b.initialShare)*age.Seconds()/b.duration.Seconds()
	n := b.overloadMultiple * share * b.capacity * b.window.Seconds()
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}
