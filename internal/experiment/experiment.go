// Package experiment describes experiments: a service made of tiers of emulated servers, the load
// on it, the faults that are injected and the variants that are compared. It describes experiments
// but does not run them. Package server models one server, packages virtual and testbed run an
// experiment, package invariant checks a run and package report prints the results.
package experiment

import (
	"time"

	"rowancart/balancer"
)

// DesignPolicy is the name by which experiment files refer to the project's own policy, the
// decision module in package balancer.
const DesignPolicy = "tuliprock"

// ReverseProxyPolicy is the name by which experiment files refer to the baseline in package
// roundrobin, which can be run on sockets only.
const ReverseProxyPolicy = "reverse_proxy"

// Experiment is a question and the runs that answer it.
type Experiment struct {
	Name     string
	Question string
	Duration time.Duration // time for which requests arrive; the run ends when all of them have ended
	Warmup   time.Duration // requests that arrive during it are run and checked, but not counted in the totals
	Seeds    []uint64      // each variant is run once with each seed
	Virtual  bool          // runs in virtual time unless the caller asks otherwise
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

	// The remaining fields apply to DesignPolicy only. All of them except SlowStartShare apply in
	// virtual time only.

	SlowStartShare      float64 // balancer.Settings.SlowStartShare
	RestoreLearnedState bool    // an instance that restarts restores its learned state
	RetryBudget         balancer.RetryBudget
	Classes             []ClassPolicy // in addition to what the site says of its classes
}

// ClassPolicy sets time-outs and limits for the requests of a class. A field that is zero changes
// nothing.
type ClassPolicy struct {
	Class           string
	AttemptTimeout  time.Duration
	MaxAttempts     int
	NeverRerun      bool          // no retry after an attempt that may have run
	HedgeAfter      time.Duration // time after which a hedged request is sent
	HedgePercentile float64       // this percentile of the class's latency replaces HedgeAfter once it is known
	QueueLimit      int           // maximum number of requests that wait in the instance; negative: none may wait
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

// ApplyTo returns s with the variant's settings. It modifies the classes of s in place.
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

// Expectation is a result that an experiment requires. An experiment that misses it fails. A field
// that is zero requires nothing.
type Expectation struct {
	Variant           string  // variant that it applies to; empty: every variant
	NoViolations      bool    // no invariant may be violated
	ServedInTimeAbove float64 // fraction of requests served in time, over all runs
	FailedBelow       float64 // fraction of requests rejected or failed
	AttemptsBelow     float64 // attempts per request
	P99Below          time.Duration
	RetriesBelow      float64 // attempts after the first, per request; in virtual time only
	WarmupPeakBelow   float64 // peak load of servers added during the run (counters.Server.WarmupPeak)
	Position          string  // position in the experiment file, for messages
}
