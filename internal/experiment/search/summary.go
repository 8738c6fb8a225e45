package search

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"

	"rowancart/internal/experiment/report"
)

// Summary summarises the results of a search.
type Summary struct {
	Sites               int
	Regrets             []float64 // of all sites, in ascending order
	Behind              int       // number of sites where the design is significantly behind the best baseline
	Baselines           []Comparison
	SitesWithViolations map[string]int // number of sites on which a policy violated a rule, by policy
	Worst               []Finding      // sites counted in Behind, in descending order of regret
}

// Comparison compares the design with one baseline over all sites.
type Comparison struct {
	Baseline      string
	Mean          float64 // mean of the baseline's served weight minus the design's
	Behind, Ahead int     // number of sites where the design is behind or ahead by more than minRegret
}

// Finding is a site on which the design is significantly behind the best baseline.
type Finding struct {
	SiteResult
	Regret Regret
}

// Summarise summarises the results of all sites of a search.
func Summarise(b *Bounds, sites []SiteResult) Summary {
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
			out.Baselines[i].add(s, len(sites))
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

// add adds a site, which contributes 1/sites to the mean.
func (c *Comparison) add(s SiteResult, sites int) {
	lead := s.BaselineLead(c.Baseline)
	c.Mean += lead / float64(sites)
	if lead > minRegret {
		c.Behind++
	} else if lead < -minRegret {
		c.Ahead++
	}
}

// Quantile returns the q-quantile of the regrets, with q from 0 to 1.
func (s Summary) Quantile(q float64) float64 {
	if len(s.Regrets) == 0 {
		return 0
	}
	return s.Regrets[int(q*float64(len(s.Regrets)-1))]
}

// quantilesShown lists the quantiles of regret that Text writes.
var quantilesShown = []float64{0.01, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 1}

// Text writes a summary. It also describes up to worst sites, those with the largest regret. It
// draws them again to do so.
func (s Summary) Text(w io.Writer, b *Bounds, seed uint64, worst int) {
	sites := float64(s.Sites)
	behind := float64(s.Behind) / max(sites, 1)
	fmt.Fprintf(w, "%d sites: the design is behind the best of %d rivals by more than 1 point, and by more than noise, "+
		"on %d (%.2f%%, ±%.2f)\n", s.Sites, len(s.Baselines), s.Behind, 100*behind,
		196*math.Sqrt(behind*(1-behind)/max(sites, 1)))
	fmt.Fprint(w, "regret in points:")
	for _, q := range quantilesShown {
		fmt.Fprintf(w, "  %g%%: %.2f", 100*q, 100*s.Quantile(q))
	}
	fmt.Fprintf(w, "\n%-18s %12s %12s %14s %14s\n", "rival", "behind it", "ahead of it", "mean, points", "it broke rules")
	for _, c := range s.Baselines {
		fmt.Fprintf(w, "%-18s %11.2f%% %11.2f%% %+14.3f %13.2f%%\n", c.Baseline, 100*float64(c.Behind)/sites,
			100*float64(c.Ahead)/sites, -100*c.Mean, 100*float64(s.SitesWithViolations[c.Baseline])/sites)
	}
	fmt.Fprintf(w, "the design broke rules on %d sites\n", s.SitesWithViolations[Design])
	for i, f := range s.Worst[:min(worst, len(s.Worst))] {
		fmt.Fprintf(w, "%2d. site %d: %.1f ±%.1f points behind %s, refused or failed %.1f%%%s: %s\n", i+1, f.N,
			100*f.Regret.Mean, 100*f.Regret.Bound, f.Regret.Baseline, 100*f.Failed[0], formatReasons(f.Reasons),
			Describe(Draw(b, seed, f.N)))
	}
}

// formatReasons returns the reasons why requests were not served, in parentheses, or an empty
// string if there are none.
func formatReasons(reasons report.Reasons) string {
	if len(reasons) == 0 {
		return ""
	}
	return " (" + reasons.String() + ")"
}
