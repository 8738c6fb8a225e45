// Package experiment describes experiments: a service of emulated servers in tiers, the load on it,
// the faults that strike it and the variants that are compared. It holds values only. Package
// server models one server, packages virtual and testbed run an experiment, package invariant
// judges a run and package report prints the results.
package experiment

import (
	"time"

	"rowancart/balancer"
)

// DesignPolicy is the name of the decision module, package balancer, among the policies of
// experiment files.
const DesignPolicy = "tuliprock"

// ReverseProxyPolicy is the name of the baseline of package roundrobin, which can be run on
// sockets only.
const ReverseProxyPolicy = "reverse_proxy"

// Experiment is one question and what is run to answer it.
type Experiment struct {
	Name     string
	Question string
	Duration time.Duration // requests arrive for this long; the run ends when all have ended
	Warmup   time.Duration // requests that arrive in it are run and judged, but not counted
	Seeds    []uint64      // one run of each variant for each
	Virtual  bool          // in virtual time unless asked otherwise
	Site     Site
	Load     Load
	Faults   []Fault
	Variants []Variant
	Expect   []Expectation
	Settings map[string]string // values of the file's variables
}

// Variant is one of the programs or policies that are compared.
type Variant struct {
	Name    string
	Policy  string // DesignPolicy, ReverseProxyPolicy or one of baseline.Names
	Command string // on sockets: a shell command that starts the program; empty: the policy's own program

	// The rest applies to the design only; all but SlowStartShare in virtual time only.

	SlowStartShare      float64 // balancer.Settings.SlowStartShare
	RestoreLearnedState bool    // an instance that restarts begins with its learned state
	RetryBudget         balancer.RetryBudget
	Classes             []ClassPolicy // beyond the site's rules
}

// ClassPolicy limits what may be done for the requests of a class. A zero value leaves the class as
// the site has it.
type ClassPolicy struct {
	Class           string
	AttemptTimeout  time.Duration
	MaxAttempts     int
	NeverRerun      bool          // no retry after an attempt that may have run
	HedgeAfter      time.Duration // a hedged request is sent after this
	HedgePercentile float64       // or after this percentile of the class's latency
	QueueLimit      int           // requests that wait in the instance; negative: none
}

// ClassPolicy returns the policy of a class.
func (v Variant) ClassPolicy(class string) ClassPolicy {
	for _, p := range v.Classes {
		if p.Class == class {
			return p
		}
	}
	return ClassPolicy{Class: class}
}

// ApplyTo returns s with the variant's policies. It changes the classes of s in place.
func (v Variant) ApplyTo(s balancer.Settings) balancer.Settings {
	s.SlowStartShare = v.SlowStartShare
	s.RetryBudget = v.RetryBudget
	for i := range s.Classes {
		class := &s.Classes[i]
		policy := v.ClassPolicy(class.Name)
		class.AttemptTimeout = policy.AttemptTimeout
		class.MaxAttempts = policy.MaxAttempts
		class.NeverRerun = policy.NeverRerun
		class.HedgeAfter = policy.HedgeAfter
		class.HedgeQuantile = policy.HedgePercentile / 100
		class.QueueLimit = policy.QueueLimit
	}
	return s
}

// Expectation is a result that an experiment requires; a run that misses it fails. A zero value
// requires nothing.
type Expectation struct {
	Variant           string  // empty: every variant
	NoViolations      bool    // no invariant is violated
	ServedInTimeAbove float64 // fraction of requests, over all runs
	FailedBelow       float64 // fraction of requests rejected or failed
	AttemptsBelow     float64 // attempts per request
	P99Below          time.Duration
	RetriesBelow      float64 // attempts beyond the first per request, in virtual time
	WarmupPeakBelow   float64 // peak load of servers added during the run (counters.Server.WarmupPeak)
	Position          string  // in the file, for messages
}
