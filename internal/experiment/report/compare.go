package report

import (
	"fmt"
	"math"
)

// Difference is one figure of one variant in two reports.
type Difference struct {
	Point, Variant, Metric string
	A, B                   float64
	Noise                  float64 // half width of the 95% interval of the difference; NaN with fewer than two repeats
}

// Significant reports whether the difference is more than the repeats' noise. Without repeats nothing can be told apart.
func (d Difference) Significant() bool { return !math.IsNaN(d.Noise) && math.Abs(d.B-d.A) > d.Noise }

// student97 is the 97.5% quantile of Student's t distribution for 1 to 10 degrees of freedom, and for many.
var student97 = []float64{12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228}

// StudentQuantile is the 97.5% quantile of Student's t distribution, for 95% intervals.
func StudentQuantile(freedom float64) float64 {
	if i := int(freedom) - 1; i >= 0 && i < len(student97) {
		return student97[max(i, 0)]
	}
	if freedom < 1 {
		return student97[0]
	}
	return 2.1 // between the values for 11 and for 30, and 0.14 above that for very many
}

// Compare returns the differences between two runs of one experiment, variant by variant. Noise is taken from the spread of the
// repeats (Welch's interval).
func Compare(a, b *Report) ([]Difference, error) {
	if a.Experiment != b.Experiment {
		return nil, fmt.Errorf("%q and %q are different experiments", a.Experiment, b.Experiment)
	}
	if a.Virtual != b.Virtual {
		return nil, fmt.Errorf("one run is in virtual time and the other on sockets")
	}
	var out []Difference
	for _, pa := range a.points() {
		for _, pb := range b.points() {
			if pa.Point != pb.Point {
				continue
			}
			for _, x := range pa.Variants {
				for _, y := range pb.Variants {
					if x.Name == y.Name {
						out = append(out, compareVariants(pa.Point, x, y)...)
					}
				}
			}
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("the runs have no arm in common")
	}
	return out, nil
}

func (r *Report) points() []Point {
	if len(r.Points) > 0 {
		return r.Points
	}
	return []Point{{Variants: r.Variants}}
}

var metrics = []struct {
	name string
	of   func(Repeat) float64
}{
	{"served in time", func(r Repeat) float64 { return r.ServedInTime }},
	{"late", func(r Repeat) float64 { return r.ServedLate }},
	{"refused", func(r Repeat) float64 { return r.Rejected }},
	{"failed", func(r Repeat) float64 { return r.Failed }},
	{"worth", func(r Repeat) float64 { return r.ServedWeight }},
	{"p50 ms", func(r Repeat) float64 { return r.P50 }},
	{"p99 ms", func(r Repeat) float64 { return r.P99 }},
	{"attempts a request", func(r Repeat) float64 { return r.AttemptsPerRequest }},
}

func compareVariants(point string, a, b Variant) []Difference {
	var out []Difference
	for _, f := range metrics {
		ma, va, na := meanAndVariance(a.Repeats, f.of)
		mb, vb, nb := meanAndVariance(b.Repeats, f.of)
		d := Difference{Point: point, Variant: a.Name, Metric: f.name, A: ma, B: mb, Noise: math.NaN()}
		if na >= 2 && nb >= 2 {
			sa, sb := va/na, vb/nb
			freedom := na + nb - 2
			if sa+sb > 0 {
				freedom = (sa + sb) * (sa + sb) / (sa*sa/(na-1) + sb*sb/(nb-1))
			}
			d.Noise = StudentQuantile(freedom) * math.Sqrt(sa+sb)
		}
		out = append(out, d)
	}
	if x, y := a.Violations(), b.Violations(); x != y {
		out = append(out, Difference{Point: point, Variant: a.Name, Metric: "rules broken", A: float64(x), B: float64(y)})
	}
	return out
}

// meanAndVariance returns mean, variance and number of the repeats that count.
func meanAndVariance(repeats []Repeat, of func(Repeat) float64) (mean, variance, n float64) {
	for _, r := range repeats {
		if r.Void == "" {
			n++
			mean += (of(r) - mean) / n
		}
	}
	for _, r := range repeats {
		if r.Void == "" {
			variance += (of(r) - mean) * (of(r) - mean)
		}
	}
	return mean, variance / max(n-1, 1), n
}
