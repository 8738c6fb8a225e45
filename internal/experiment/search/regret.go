package search

import (
	"maps"
	"math"
	"slices"

	"rowancart/internal/experiment/report"
)

// minRegret is the difference of served weight above which the design counts as behind or ahead of
// a baseline.
const minRegret = 0.01

// Regret is the served weight of the best baseline minus the served weight of the design. It is
// negative where the design serves more.
type Regret struct {
	Baseline      string  // the best baseline
	Mean          float64 // over the runs that did not select the baseline, or over all runs if each of them did
	Bound         float64 // half the width of the 95% confidence interval of Mean; infinite if there are too few runs
	selectionMean float64 // over the runs that selected the baseline
}

// Significant reports whether the design is behind by more than Bound and by more than minRegret.
func (r Regret) Significant() bool { return r.Mean-r.Bound > 0 && r.Mean > minRegret }

// Regret returns the regret of the design on a site. The first selectionRuns repeats select the
// best baseline, and the other repeats compare it with the design. They are kept apart because the
// best of several baselines looks better than it is on the repeats that selected it.
func (s SiteResult) Regret(selectionRuns int) Regret {
	r := Regret{selectionMean: math.Inf(-1)}
	for _, policy := range slices.Sorted(maps.Keys(s.ServedWeight)) {
		if policy == Design {
			continue
		}
		if lead := s.baselineLead(policy, 0, selectionRuns); lead.mean > r.selectionMean {
			r.Baseline = policy
			r.selectionMean = lead.mean
		}
	}
	r.Mean = r.selectionMean
	r.Bound = math.Inf(1)
	if lead := s.baselineLead(r.Baseline, selectionRuns, len(s.ServedWeight[Design])); lead.count > 0 {
		r.Mean = lead.mean
		r.Bound = lead.bound
	}
	return r
}

// BaselineLead returns the mean of a baseline's served weight minus the design's, over all repeats.
func (s SiteResult) BaselineLead(policy string) float64 {
	return s.baselineLead(policy, 0, len(s.ServedWeight[Design])).mean
}

// estimate is an estimate of a mean.
type estimate struct {
	mean  float64
	bound float64 // half the width of the 95% confidence interval of mean; infinite if there are too few samples
	count int     // number of samples
}

// baselineLead estimates the mean of a baseline's served weight minus the design's, over the
// repeats from from up to but not including to. In each repeat both policies get the same requests.
func (s SiteResult) baselineLead(policy string, from, to int) estimate {
	to = min(to, len(s.ServedWeight[Design]), len(s.ServedWeight[policy]))
	sum, squares := 0.0, 0.0
	n := 0
	for i := from; i < to; i++ {
		lead := s.ServedWeight[policy][i] - s.ServedWeight[Design][i]
		sum += lead
		squares += lead * lead
		n++
	}
	if n < 2 {
		return estimate{mean: sum / max(float64(n), 1), bound: math.Inf(1), count: n}
	}
	mean := sum / float64(n)
	variance := max(squares-sum*mean, 0) / float64(n-1)
	bound := report.StudentQuantile(float64(n-1)) * math.Sqrt(variance/float64(n))
	return estimate{mean: mean, bound: bound, count: n}
}
