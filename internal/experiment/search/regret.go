package search

import (
	"maps"
	"math"
	"slices"

	"rowancart/internal/experiment/report"
)

// minRegret is the difference of served weight from which the design counts as behind or ahead.
const minRegret = 0.01

// Regret is the served weight of the best baseline less that of the design. It is negative where
// the design is ahead.
type Regret struct {
	Baseline      string
	Mean          float64 // over the runs that did not select the baseline, if there are any
	Bound         float64 // half of the 95% interval of Mean; infinite if there are too few runs
	selectionMean float64 // over the runs that selected the baseline
}

// Significant reports whether the design is behind by more than noise and by more than minRegret.
func (r Regret) Significant() bool { return r.Mean-r.Bound > 0 && r.Mean > minRegret }

// Regret judges a site. The baseline that is best on the first repeats, so many as selecting says,
// is compared with the design on the other repeats. On the same runs the best of several would
// seem better than it is.
func (s Site) Regret(selecting int) Regret {
	r := Regret{selectionMean: math.Inf(-1)}
	for _, policy := range slices.Sorted(maps.Keys(s.ServedWeight)) {
		if policy == Design {
			continue
		}
		if m, _, _ := s.difference(policy, 0, selecting); m > r.selectionMean {
			r.Baseline, r.selectionMean = policy, m
		}
	}
	r.Mean, r.Bound = r.selectionMean, math.Inf(1)
	if mean, bound, n := s.difference(r.Baseline, selecting, len(s.ServedWeight[Design])); n > 0 {
		r.Mean, r.Bound = mean, bound
	}
	return r
}

// BaselineLead returns a baseline's served weight less the design's, over all runs.
func (s Site) BaselineLead(policy string) float64 {
	mean, _, _ := s.difference(policy, 0, len(s.ServedWeight[Design]))
	return mean
}

// difference returns the mean over some of the repeats of a baseline's served weight less the
// design's, half of its 95% interval, and the number of repeats. Both had the same requests in
// each.
func (s Site) difference(policy string, from, to int) (mean, bound float64, n int) {
	to = min(to, len(s.ServedWeight[Design]), len(s.ServedWeight[policy]))
	sum, squares := 0.0, 0.0
	for i := from; i < to; i++ {
		d := s.ServedWeight[policy][i] - s.ServedWeight[Design][i]
		sum, squares, n = sum+d, squares+d*d, n+1
	}
	if n < 2 {
		return sum / max(float64(n), 1), math.Inf(1), n
	}
	mean = sum / float64(n)
	variance := max(squares-sum*mean, 0) / float64(n-1)
	return mean, report.StudentQuantile(float64(n-1)) * math.Sqrt(variance/float64(n)), n
}
