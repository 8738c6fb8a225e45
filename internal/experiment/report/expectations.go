package report

import (
	"fmt"

	"rowancart/internal/experiment"
)

// CheckExpectations returns one message for each expectation of an experiment that a variant does
// not meet.
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

// unmet says which requirements of an expectation the variant does not meet.
func (v *Variant) unmet(x experiment.Expectation) []string {
	if v.Offered == 0 {
		return []string{"nothing was measured"}
	}
	var out []string
	miss := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	if x.NoViolations {
		for _, r := range v.Rules {
			if r.Violations > 0 {
				miss("rule %q is broken %d times, first at %.1f s: %s", r.Rule, r.Violations, r.FirstS, r.Detail)
			}
		}
	}
	if got := v.Fraction(v.ServedInTime); x.ServedInTimeAbove > 0 && got <= x.ServedInTimeAbove {
		miss("served in time: %.4f, wanted over %g", got, x.ServedInTimeAbove)
	}
	if got := v.Fraction(v.Rejected + v.Failed); x.FailedBelow > 0 && got >= x.FailedBelow {
		miss("refused or failed: %.4f, wanted under %g", got, x.FailedBelow)
	}
	if x.AttemptsBelow > 0 && v.AttemptsPerRequest >= x.AttemptsBelow {
		miss("attempts for each request: %.3f, wanted under %g", v.AttemptsPerRequest, x.AttemptsBelow)
	}
	if x.RetriesBelow > 0 && v.RetriesPerRequest >= x.RetriesBelow {
		miss("attempts beyond the first for each request: %.3f, wanted under %g", v.RetriesPerRequest, x.RetriesBelow)
	}
	if x.WarmupPeakBelow > 0 {
		switch added := v.AddedServers; {
		case added == nil:
			miss("no fresh box came")
		case added.WarmupPeak >= x.WarmupPeakBelow:
			miss("a fresh box was sent %.2f of its capacity, wanted under %g", added.WarmupPeak, x.WarmupPeakBelow)
		}
	}
	if x.P99Below > 0 && v.LatencyMs.P99 >= milliseconds(x.P99Below) {
		miss("p99: %.1f ms, wanted under %v", v.LatencyMs.P99, x.P99Below)
	}
	return out
}
