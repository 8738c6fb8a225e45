package speed

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Text writes a table of results, with the ratio of each program's rate to that of each baseline.
func Text(w io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	rate := map[string]float64{}
	for _, r := range results {
		rate[r.Program] = r.Rate
	}
	fmt.Fprintln(tw, "program\tanswers/s\tof reverse_proxy\tof fasthttp\tCPU us each\tp50 us\tp99 us\tfailed\tMiB\t")
	for _, r := range results {
		fmt.Fprintf(tw, "%s\t%.0f\t%s\t%s\t%.1f\t%d\t%d\t%d\t%.0f\t\n", r.Program, r.Rate,
			formatRatio(r.Rate, rate[reverseProxyProgram]), formatRatio(r.Rate, rate[fastHTTPProgram]),
			float64(r.CPU.Nanoseconds())/1000, r.P50.Microseconds(), r.P99.Microseconds(), r.Failed,
			float64(r.Memory)/(1<<20))
	}
	return tw.Flush()
}

// formatRatio returns a/b, or "-" if b was not measured.
func formatRatio(a, b float64) string {
	if b == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", a/b)
}
