package report

import (
	"fmt"

	"rowancart/internal/experiment"
)

// CheckExpectations returns a message for each requirement of the experiment's expectations that a
// variant does not meet.
func CheckExpectations(e *experiment.Experiment, variants []Variant) []string {
	var out []string
	for _, x := range e.Expect {
		for i := range variants {
			v := &variants[i]
			if x.Variant != "" && x.Variant != v.Name {
				continue
			}
			for _, problem := range v.unmet(x) {
				out = append(out, fmt.Sprintf("%s: arm %s: %s", x.Position, v.Name, problem))
			}
		}
	}
	return out
}

// unmet returns a message for each requirement of an expectation that the variant does not meet.
func (v *Variant) unmet(x experiment.Expectation) []string {
	if v.Offered == 0 {
		return []string{"nothing was measured"}
	}
	var out []string
	if x.NoViolations {
		out = v.violationMessages()
	}
	for _, r := range v.requirements(x) {
		if r.isSet && !r.isMet {
			out = append(out, r.message)
		}
	}
	return out
}

// violationMessages returns a message for each rule that the variant violated.
func (v *Variant) violationMessages() []string {
	var out []string
	for _, r := range v.Rules {
		if r.Violations == 0 {
			continue
		}
		message := fmt.Sprintf("rule %q is broken %d times, first at %.1f s: %s", r.Rule, r.Violations, r.FirstS, r.Detail)
		out = append(out, message)
	}
	return out
}

// requirement is one bound of an expectation and whether a variant meets it.
type requirement struct {
	isSet   bool
	isMet   bool
	message string // states the measured value and the bound
}

// requirements checks the variant against all bounds that an expectation may set. It also returns
// those that x does not set.
func (v *Variant) requirements(x experiment.Expectation) []requirement {
	servedInTime := v.Fraction(v.ServedInTime)
	failed := v.Fraction(v.Rejected + v.Failed)
	return []requirement{
		{
			isSet:   x.ServedInTimeAbove > 0,
			isMet:   servedInTime > x.ServedInTimeAbove,
			message: fmt.Sprintf("served in time: %.4f, wanted over %g", servedInTime, x.ServedInTimeAbove),
		}, {
			isSet:   x.FailedBelow > 0,
			isMet:   failed < x.FailedBelow,
			message: fmt.Sprintf("refused or failed: %.4f, wanted under %g", failed, x.FailedBelow),
		}, {
			isSet:   x.AttemptsBelow > 0,
			isMet:   v.AttemptsPerRequest < x.AttemptsBelow,
			message: fmt.Sprintf("attempts for each request: %.3f, wanted under %g", v.AttemptsPerRequest, x.AttemptsBelow),
		}, {
			isSet: x.RetriesBelow > 0,
			isMet: v.RetriesPerRequest < x.RetriesBelow,
			message: fmt.Sprintf("attempts beyond the first for each request: %.3f, wanted under %g", v.RetriesPerRequest,
				x.RetriesBelow),
		},
		v.warmupRequirement(x.WarmupPeakBelow),
		{
			isSet:   x.P99Below > 0,
			isMet:   v.LatencyMs.P99 < milliseconds(x.P99Below),
			message: fmt.Sprintf("p99: %.1f ms, wanted under %v", v.LatencyMs.P99, x.P99Below),
		},
	}
}

// warmupRequirement checks the bound on the peak load of servers that were added during the runs.
// The bound is not met if no server was added.
func (v *Variant) warmupRequirement(bound float64) requirement {
	r := requirement{isSet: bound > 0}
	if v.AddedServers == nil {
		r.message = "no fresh box came"
		return r
	}
	peak := v.AddedServers.WarmupPeak
	r.isMet = peak < bound
	r.message = fmt.Sprintf("a fresh box was sent %.2f of its capacity, wanted under %g", peak, bound)
	return r
}
