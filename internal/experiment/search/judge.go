package search

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"rowancart/internal/experiment"
	"rowancart/internal/experiment/report"
)

// minRegret is how much less worth makes a site one on which the design is behind, or ahead.
const minRegret = 0.01

// Regret is what the best baseline serves, by worth, less what the design serves, below 0 where the design is ahead.
type Regret struct {
	Baseline      string
	Mean          float64 // over the plays that did not choose the baseline, where there are any
	Bound         float64 // half of the 95% interval of Mean; infinite where there are too few plays to tell
	selectionMean float64 // mean over the plays that did
}

// Significant reports whether the design is behind by more than noise and Behind together.
func (r Regret) Significant() bool { return r.Mean-r.Bound > 0 && r.Mean > minRegret }

// Regret judges a site. The baseline that is best on the first repeats is the one compared with, on the other repeats: the best
// of several on the same plays would seem better than it is.
func (s Site) Regret(choosing int) Regret {
	r := Regret{selectionMean: math.Inf(-1)}
	for _, policy := range slices.Sorted(maps.Keys(s.ServedWeight)) {
		if policy == Design {
			continue
		}
		if m, _, _ := s.difference(policy, 0, choosing); m > r.selectionMean {
			r.Baseline, r.selectionMean = policy, m
		}
	}
	r.Mean, r.Bound = r.selectionMean, math.Inf(1)
	if mean, bound, n := s.difference(r.Baseline, choosing, len(s.ServedWeight[Design])); n > 0 {
		r.Mean, r.Bound = mean, bound
	}
	return r
}

// BaselineLead is how much more a baseline serves, over all plays, below 0 where the design does.
func (s Site) BaselineLead(policy string) float64 {
	mean, _, _ := s.difference(policy, 0, len(s.ServedWeight[Design]))
	return mean
}

// difference is the mean of a baseline's worth less the design's over some of the repeats, paired, and half of its 95% interval.
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

// Summary is what a search came to.
type Summary struct {
	Sites               int
	Regrets             []float64 // in rising order
	Behind              int       // sites where the design is surely behind the best baseline by more than Behind
	Baselines           []Comparison
	SitesWithViolations map[string]int // sites on which a policy broke a rule
	Worst               []Finding      // by regret, the largest first
}

// Comparison compares the design with one baseline on all sites.
type Comparison struct {
	Baseline      string
	Mean          float64 // of the baseline's worth less the design's
	Behind, Ahead int     // sites where the design is so by more than Behind
}

// Finding is a site on which the design is behind.
type Finding struct {
	Site
	Regret Regret
}

// Summarise judges all sites of a search.
func Summarise(b *Bounds, sites []Site) Summary {
	out := Summary{Sites: len(sites), SitesWithViolations: map[string]int{}}
	for _, policy := range b.Baselines {
		out.Baselines = append(out.Baselines, Comparison{Baseline: policy})
	}
	for _, s := range sites {
		r := s.Regret(b.Repeats)
		out.Regrets = append(out.Regrets, r.Mean)
		if r.Significant() {
			out.Behind++
			out.Worst = append(out.Worst, Finding{s, r})
		}
		for i := range out.Baselines {
			v := &out.Baselines[i]
			d := s.BaselineLead(v.Baseline)
			v.Mean += d / float64(len(sites))
			if d > minRegret {
				v.Behind++
			} else if d < -minRegret {
				v.Ahead++
			}
		}
		for policy, rules := range s.ViolatedRules {
			if len(rules) > 0 {
				out.SitesWithViolations[policy]++
			}
		}
	}
	slices.Sort(out.Regrets)
	slices.SortStableFunc(out.Worst, func(x, y Finding) int { return cmp.Compare(y.Regret.Mean, x.Regret.Mean) })
	return out
}

// Quantile returns a quantile of the regrets.
func (s Summary) Quantile(q float64) float64 {
	if len(s.Regrets) == 0 {
		return 0
	}
	return s.Regrets[int(q*float64(len(s.Regrets)-1))]
}

// Text writes a summary, with the worst sites drawn again for their description.
func (s Summary) Text(w io.Writer, b *Bounds, seed uint64, worst int) {
	fraction := float64(s.Behind) / max(float64(s.Sites), 1)
	fmt.Fprintf(w, "%d sites: the design is behind the best of %d rivals by more than 1 point, and by more than noise, on %d (%.2f%%, ±%.2f)\n",
		s.Sites, len(s.Baselines), s.Behind, 100*fraction, 196*math.Sqrt(fraction*(1-fraction)/max(float64(s.Sites), 1)))
	fmt.Fprint(w, "regret in points:")
	for _, q := range []float64{0.01, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 1} {
		fmt.Fprintf(w, "  %g%%: %.2f", 100*q, 100*s.Quantile(q))
	}
	fmt.Fprintf(w, "\n%-18s %12s %12s %14s %14s\n", "rival", "behind it", "ahead of it", "mean, points", "it broke rules")
	for _, v := range s.Baselines {
		fmt.Fprintf(w, "%-18s %11.2f%% %11.2f%% %+14.3f %13.2f%%\n", v.Baseline, 100*float64(v.Behind)/float64(s.Sites),
			100*float64(v.Ahead)/float64(s.Sites), -100*v.Mean, 100*float64(s.SitesWithViolations[v.Baseline])/float64(s.Sites))
	}
	fmt.Fprintf(w, "the design broke rules on %d sites\n", s.SitesWithViolations[Design])
	for i, f := range s.Worst[:min(worst, len(s.Worst))] {
		fmt.Fprintf(w, "%2d. site %d: %.1f ±%.1f points behind %s, refused or failed %.1f%%%s: %s\n", i+1, f.N, 100*f.Regret.Mean,
			100*f.Regret.Bound, f.Regret.Baseline, 100*f.Failed[0], formatReasons(f.Reasons), Describe(Draw(b, seed, f.N)))
	}
}

// formatReasons words why requests were not served.
func formatReasons(why report.Reasons) string {
	if len(why) == 0 {
		return ""
	}
	return " (" + why.String() + ")"
}

// Describe words a site in a line.
func Describe(e *experiment.Experiment) string {
	s := &e.Site
	out := fmt.Sprintf("%d instances, ", s.Balancers)
	for i, t := range s.Tiers {
		if i > 0 {
			out += " > "
		}
		out += fmt.Sprint(t.Servers)
	}
	capacity, work := 0.0, 0.0
	for _, k := range s.Tiers[0].Kinds {
		capacity += k.Fraction * float64(k.Cores) * k.Speed * float64(s.Tiers[0].Servers)
	}
	shares := 0.0
	for _, c := range s.Classes {
		work += c.TrafficShare * (c.CacheHitRatio*c.CacheHitWork.Seconds() + (1-c.CacheHitRatio)*c.Work.Seconds())
		shares += c.TrafficShare
	}
	out += fmt.Sprintf(" boxes, %.3g/s (load %.2f) of %.3g ms for %v", e.Load.Rate, e.Load.Rate*work/shares*s.Tiers[0].WorkFraction/capacity,
		1000*work/shares, e.Duration)
	for _, c := range s.Classes {
		out += fmt.Sprintf(", %s aim %v", c.Distribution, c.LatencyObjective)
		if c.CacheHitRatio > 0 {
			out += fmt.Sprintf(" hits %g of %v", c.CacheHitRatio, c.CacheHitWork)
		}
		if c.Repeat != 0 {
			out += " unsafe"
		}
	}
	for _, st := range e.Load.Steps {
		out += fmt.Sprintf(", step x%g at %v", st.Factor, st.At)
	}
	for _, f := range e.Faults {
		out += fmt.Sprintf(", %s at %v for %v (%g of %s, size %g)", f.Kind, f.At, f.Duration, f.Fraction, cmp.Or(f.Tier, "all"), f.Size)
	}
	return out
}

// Plot draws the distributions of regret of searches, by name, in the order given, as SVG.
func Plot(w io.Writer, names []string, of []Summary) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "share of sites", "regret, points"
	p.Legend.Top, p.Legend.Left = true, true
	for i, s := range of {
		var xy plotter.XYs
		for n, r := range s.Regrets {
			xy = append(xy, plotter.XY{X: float64(n+1) / float64(len(s.Regrets)), Y: max(min(100*r, 30), -30)})
		}
		l, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		l.Color, l.Width = plotutil.Color(i), vg.Points(1.2)
		p.Add(l)
		p.Legend.Add(names[i], l)
	}
	p.Add(plotter.NewGrid())
	to, err := p.WriterTo(16*vg.Centimeter, 9*vg.Centimeter, "svg")
	if err != nil {
		return err
	}
	_, err = to.WriteTo(w)
	return err
}
