package report

import (
	"errors"
	"fmt"
	"math"
)

// Difference is one metric of one variant in two reports.
type Difference struct {
	Point, Variant, Metric string
	A, B                   float64
	// Noise is the half width of the 95% confidence interval of B-A. It is NaN if either report has
	// fewer than two runs that are not void, and 0 for the number of violations.
	Noise float64
}

// Significant reports whether the difference exceeds the noise between runs. It returns false if
// there are too few runs to estimate the noise.
func (d Difference) Significant() bool { return !math.IsNaN(d.Noise) && math.Abs(d.B-d.A) > d.Noise }

// studentQuantiles are the 97.5% quantiles of Student's t distribution for 1 to 10 degrees of
// freedom.
var studentQuantiles = []float64{12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228}

// studentQuantileMany is used from 11 degrees of freedom on. It lies between the values for
// 11 and for 30, and is 0.14 above the limit for infinitely many.
const studentQuantileMany = 2.1

// StudentQuantile returns the 97.5% quantile of Student's t distribution, from which two-sided 95%
// confidence intervals are computed.
func StudentQuantile(degreesOfFreedom float64) float64 {
	if degreesOfFreedom < 1 {
		return studentQuantiles[0]
	}
	if i := int(degreesOfFreedom) - 1; i < len(studentQuantiles) {
		return studentQuantiles[i]
	}
	return studentQuantileMany
}

// Compare returns the differences between two reports of one experiment, variant by variant. The
// noise is estimated from the variance between runs (Welch's interval).
func Compare(a, b *Report) ([]Difference, error) {
	if a.Experiment != b.Experiment {
		return nil, fmt.Errorf("cannot compare reports of different experiments: %q and %q", a.Experiment, b.Experiment)
	}
	if a.Virtual != b.Virtual {
		return nil, errors.New("cannot compare a report in virtual time with one on sockets")
	}
	var out []Difference
	for _, pa := range a.points() {
		for _, pb := range b.points() {
			if pa.Point == pb.Point {
				out = append(out, comparePoints(pa, pb)...)
			}
		}
	}
	if len(out) == 0 {
		return nil, errors.New("cannot compare the reports: they have no arm in common at the same point")
	}
	return out, nil
}

// comparePoints returns the differences of the variants that two points have in common.
func comparePoints(a, b Point) []Difference {
	var out []Difference
	for _, x := range a.Variants {
		for _, y := range b.Variants {
			if x.Name == y.Name {
				out = append(out, compareVariants(a.Point, x, y)...)
			}
		}
	}
	return out
}

// points returns the points of a sweep. Without a sweep it returns one point with an empty name.
func (r *Report) points() []Point {
	if len(r.Points) > 0 {
		return r.Points
	}
	return []Point{{Variants: r.Variants}}
}

// metrics are the compared metrics with their printed names.
var metrics = []struct {
	name  string
	value func(RunSummary) float64
}{
	{"served in time", func(r RunSummary) float64 { return r.ServedInTime }},
	{"late", func(r RunSummary) float64 { return r.ServedLate }},
	{"refused", func(r RunSummary) float64 { return r.Rejected }},
	{"failed", func(r RunSummary) float64 { return r.Failed }},
	{"worth", func(r RunSummary) float64 { return r.ServedWeight }},
	{"p50 ms", func(r RunSummary) float64 { return r.P50 }},
	{"p99 ms", func(r RunSummary) float64 { return r.P99 }},
	{"attempts a request", func(r RunSummary) float64 { return r.AttemptsPerRequest }},
}

// compareVariants returns the differences of a variant in two points.
func compareVariants(point string, a, b Variant) []Difference {
	var out []Difference
	for _, m := range metrics {
		x, y := newSample(a.Runs, m.value), newSample(b.Runs, m.value)
		out = append(out, Difference{Point: point, Variant: a.Name, Metric: m.name, A: x.mean, B: y.mean,
			Noise: welchInterval(x, y)})
	}
	if x, y := a.Violations(), b.Violations(); x != y {
		out = append(out, Difference{Point: point, Variant: a.Name, Metric: "rules broken", A: float64(x), B: float64(y)})
	}
	return out
}

// sample describes the values of one metric in the runs that are not void.
type sample struct {
	mean     float64
	variance float64
	n        float64 // number of values
}

// newSample returns the mean and the variance of one metric over the runs that are not void.
func newSample(runs []RunSummary, value func(RunSummary) float64) sample {
	var s sample
	for _, r := range runs {
		if r.Void == "" {
			s.n++
			s.mean += (value(r) - s.mean) / s.n
		}
	}
	squares := 0.0
	for _, r := range runs {
		if r.Void == "" {
			squares += (value(r) - s.mean) * (value(r) - s.mean)
		}
	}
	s.variance = squares / max(s.n-1, 1)
	return s
}

// welchInterval returns the half width of the 95% confidence interval of the difference of two
// means. It returns NaN if a sample has fewer than two values.
func welchInterval(a, b sample) float64 {
	if a.n < 2 || b.n < 2 {
		return math.NaN()
	}
	va, vb := a.variance/a.n, b.variance/b.n
	degreesOfFreedom := a.n + b.n - 2
	if va+vb > 0 {
		degreesOfFreedom = (va + vb) * (va + vb) / (va*va/(a.n-1) + vb*vb/(b.n-1))
	}
	return StudentQuantile(degreesOfFreedom) * math.Sqrt(va+vb)
}
