package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"rowancart/internal/experiment/hclfile"
	"rowancart/internal/experiment/report"
	"rowancart/internal/experiment/roundrobin"
	"rowancart/internal/platform"
)

func newLab() *cobra.Command {
	lab := &cobra.Command{Use: "lab", Short: "Run experiments with the balancer and emulated servers"}
	lab.AddCommand(newLabRun(), newLabCheck(), newLabList(), newLabCompare(), newSpeed(), newSubsets(), newSearch(),
		newFastHTTP(), newReverseProxy())
	return lab
}

// newReverseProxy returns the command that runs the round-robin baseline of experiments on sockets.
func newReverseProxy() *cobra.Command {
	return &cobra.Command{
		Use:    "reverse-proxy",
		Short:  "Run the round-robin baseline with the configuration file that " + platform.EnvConfig + " names",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return roundrobin.Serve(cmd.Context(), os.Getenv(platform.EnvConfig), slog.Default())
		},
	}
}

func newLabCheck() *cobra.Command {
	var set []string
	cmd := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check experiment files without running them",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			values, err := parseAssignments(set)
			if err != nil {
				return err
			}
			var errs []error
			for _, path := range args {
				if _, err := hclfile.Load(path, values); err != nil {
					errs = append(errs, err)
					continue
				}
				fmt.Fprintln(cmd.OutOrStdout(), path+": ok")
			}
			return errors.Join(errs...)
		},
	}
	cmd.Flags().StringArrayVar(&set, "set", nil, "set a variable of the file: KEY=VALUE")
	return cmd
}

func newLabList() *cobra.Command {
	return &cobra.Command{
		Use:   "list [DIR]",
		Short: "List the experiments in a directory, each with the question that it answers",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			dir := "experiments"
			if len(args) > 0 {
				dir = args[0]
			}
			paths, err := filepath.Glob(filepath.Join(dir, "*.hcl"))
			if err != nil {
				return err
			}
			if len(paths) == 0 {
				return fmt.Errorf("%s: no experiment files (*.hcl)", dir)
			}
			var errs []error
			for _, path := range paths {
				points, err := hclfile.Load(path, nil)
				if err != nil {
					errs = append(errs, err)
					continue
				}
				writeSummary(cmd.OutOrStdout(), path, points)
			}
			return errors.Join(errs...)
		},
	}
}

// writeSummary writes one line about an experiment: its file, driver, number of runs and question.
func writeSummary(w io.Writer, path string, points []hclfile.Point) {
	e := points[0]
	driver := "sockets"
	if e.Virtual {
		driver = "virtual"
	}
	runs := len(points) * len(e.Variants) * len(e.Seeds)
	fmt.Fprintf(w, "%-24s %-8s %2d runs  %s\n", filepath.Base(path), driver, runs, e.Question)
}

func newLabCompare() *cobra.Command {
	return &cobra.Command{
		Use:   "compare A.json B.json",
		Short: "Report the significant differences between two result files of one experiment",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := report.ReadJSON(args[0])
			if err != nil {
				return err
			}
			b, err := report.ReadJSON(args[1])
			if err != nil {
				return err
			}
			differences, err := report.Compare(a, b)
			if err != nil {
				return err
			}
			writeDifferences(cmd.OutOrStdout(), differences)
			return nil
		},
	}
}

// writeDifferences writes the significant differences, and those that have too few repeats for a
// test of significance.
func writeDifferences(w io.Writer, differences []report.Difference) {
	significant := 0
	for _, d := range differences {
		if math.IsNaN(d.Noise) {
			fmt.Fprintf(w, "%-12s %-18s %-18s %12.4f -> %12.4f  (too few repeats to estimate the noise)\n", d.Point, d.Variant,
				d.Metric, d.A, d.B)
		} else if d.Significant() {
			significant++
			fmt.Fprintf(w, "%-12s %-18s %-18s %12.4f -> %12.4f  (noise %.4f)\n", d.Point, d.Variant, d.Metric, d.A, d.B,
				d.Noise)
		}
	}
	fmt.Fprintf(w, "%d of %d figures differ by more than the noise between repeats\n", significant, len(differences))
}
