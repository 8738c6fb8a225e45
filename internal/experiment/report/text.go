package report

import (
	"fmt"
	"io"
)

// maxSeedsShown is the maximum number of seeds that are listed. If there are more, only their
// number is printed.
const maxSeedsShown = 20

// Text writes the report as tables for a terminal. It ignores errors of w.
func (r *Report) Text(w io.Writer) {
	kind := "on sockets"
	if r.Virtual {
		kind = "in virtual time"
	}
	seeds := fmt.Sprint(r.Seeds)
	if len(r.Seeds) > maxSeedsShown {
		seeds = fmt.Sprintf("%d of them", len(r.Seeds))
	}
	fmt.Fprintf(w, "%s, %s, seeds %s\n%s\n", r.Experiment, kind, seeds, r.Question)
	if len(r.Points) == 0 {
		writeVariants(w, r.Variants)
	}
	for _, p := range r.Points {
		fmt.Fprintf(w, "\n%s\n", p.Point)
		writeVariants(w, p.Variants)
	}
	if r.Stopped != "" {
		fmt.Fprintf(w, "\nstopped early: %s\n", r.Stopped)
	}
	for _, m := range r.Missed {
		fmt.Fprintf(w, "\nnot met: %s", m)
	}
	if len(r.Missed) > 0 {
		fmt.Fprintln(w)
	}
}

// writeVariants writes a table of the variants of one point, with notes below it.
func writeVariants(w io.Writer, variants []Variant) {
	fmt.Fprintf(w, "%-18s %9s %8s %7s %7s %7s %7s %8s %8s %8s %8s %6s\n", "arm", "offered", "in time", "late", "refused",
		"failed", "worth", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "tries")
	for i := range variants {
		v := &variants[i]
		fmt.Fprintf(w, "%-18s %9d %7.2f%% %6.2f%% %6.2f%% %6.2f%% %7.4f %8.1f %8.1f %8.1f %8.1f %6.3f\n", v.Name,
			v.Offered, 100*v.Fraction(v.ServedInTime), 100*v.Fraction(v.ServedLate), 100*v.Fraction(v.Rejected),
			100*v.Fraction(v.Failed), v.ServedWeight, v.LatencyMs.P50, v.LatencyMs.P90, v.LatencyMs.P99, v.LatencyMs.P999,
			v.AttemptsPerRequest)
	}
	for i := range variants {
		variants[i].writeReasonsAndAddedServers(w)
	}
	for i := range variants {
		variants[i].writeViolationsAndCost(w)
	}
}

// writeReasonsAndAddedServers writes the reasons for which requests were not served, and the load
// of added servers.
func (v *Variant) writeReasonsAndAddedServers(w io.Writer) {
	if len(v.Reasons) > 0 {
		fmt.Fprintf(w, "  %s, not served: %v\n", v.Name, v.Reasons)
	}
	if added := v.AddedServers; added != nil {
		fmt.Fprintf(w, "  %s: %d fresh boxes, sent %.2f of their capacity at most, %d of them too much", v.Name,
			added.Servers, added.WarmupPeak, added.Overloaded)
		if added.TimeToFullLoadS > 0 { // 0 on sockets, or if no added server reached full load
			fmt.Fprintf(w, "; an even part after %.1f s", added.TimeToFullLoadS)
		}
		fmt.Fprintln(w)
	}
}

// writeViolationsAndCost writes the violated rules, the void runs, the cost and the lateness of the
// test bed.
func (v *Variant) writeViolationsAndCost(w io.Writer) {
	for _, rule := range v.Rules {
		if rule.Violations > 0 {
			fmt.Fprintf(w, "  %s breaks %q %d times, first at %.2f s: %s\n", v.Name, rule.Rule, rule.Violations, rule.FirstS,
				rule.Detail)
		}
	}
	for _, run := range v.Runs {
		if run.Void != "" {
			fmt.Fprintf(w, "  %s, seed %d is void: %s\n", v.Name, run.Seed, run.Void)
		}
	}
	if c := v.Cost; c != nil {
		fmt.Fprintf(w, "  %s: %.1f us of CPU a request, %.0f MB, %d descriptors; the rig sent %.1f ms late (p99)\n", v.Name,
			c.CPUPerReqUs, c.MemoryMB, c.Descriptors, v.LatenessMs)
	}
}
