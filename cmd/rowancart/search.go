package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"

	"github.com/spf13/cobra"

	"rowancart/internal/experiment/search"
)

func newSearch() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "search",
		Short: "Find emulated sites on which the design (this load balancer) performs worse than a baseline policy",
	}
	var seed uint64
	cmd.PersistentFlags().Uint64Var(&seed, "seed", 1, "seed from which the sites are generated")
	cmd.AddCommand(newSearchRun(&seed), newSearchReport(&seed), newSearchShow(&seed))
	return cmd
}

// progressEvery is the number of sites between two reports of progress.
const progressEvery = 100

func newSearchRun(seed *uint64) *cobra.Command {
	o := search.Options{}
	sites := 1000
	cmd := &cobra.Command{
		Use:   "run BOUNDS",
		Short: "Generate sites, run the design and the baselines on each, and append the results to a file",
		Long: `Generate random sites (servers, load and faults) within the bounds of a file, run the design and
the baselines on each in virtual time, and append the results to a file.

To resume a search that was stopped, repeat the command with the same bounds, seed and file. The
file does not identify the program: use a new file for the results of another build.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			b, err := search.Load(args[0])
			if err != nil {
				return err
			}
			if o.Out == "" {
				return errors.New("--out is required: the file to which the results are appended")
			}
			o.Seed = *seed
			o.To = o.From + sites
			display := newProgressDisplay(cmd.ErrOrStderr())
			o.Progress = func(done, total int) {
				if done%progressEvery == 0 || done == total {
					display.show(done, total, 0)
				}
			}
			err = search.Run(cmd.Context(), b, o)
			display.finish()
			return err
		},
	}
	cmd.Flags().StringVar(&o.Out, "out", "", "file to which the results are appended")
	cmd.Flags().IntVar(&sites, "sites", sites, "number of sites")
	cmd.Flags().IntVar(&o.From, "from", 0, "number of the first site")
	return cmd
}

func newSearchReport(seed *uint64) *cobra.Command {
	worstSites := 10
	var plotFile string
	cmd := &cobra.Command{
		Use:   "report BOUNDS RESULTS...",
		Short: "Report the distribution of regret (how far the design is behind the best baseline) and the worst sites",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			b, err := search.Load(args[0])
			if err != nil {
				return err
			}
			var all []search.Summary
			for _, path := range args[1:] {
				sites, err := search.Read(path)
				if err != nil {
					return err
				}
				s := search.Summarise(b, sites)
				fmt.Fprintf(cmd.OutOrStdout(), "%s: ", path)
				s.Text(cmd.OutOrStdout(), b, *seed, worstSites)
				all = append(all, s)
			}
			if plotFile == "" {
				return nil
			}
			return plotRegret(plotFile, args[1:], all)
		},
	}
	cmd.Flags().IntVar(&worstSites, "worst", worstSites, "number of the worst sites to describe")
	cmd.Flags().StringVar(&plotFile, "plot", "", "plot the distributions of regret into this file, as SVG")
	return cmd
}

// plotRegret plots the regret in each summary, with its label, into the file at path.
func plotRegret(path string, labels []string, summaries []search.Summary) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(search.Plot(f, labels, summaries), f.Close())
}

func newSearchShow(seed *uint64) *cobra.Command {
	return &cobra.Command{
		Use:   "show BOUNDS SITE",
		Short: "Run one site; print the results of each policy and the log of the design's instances",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			b, err := search.Load(args[0])
			if err != nil {
				return err
			}
			n, err := strconv.Atoi(args[1])
			if err != nil {
				return fmt.Errorf("SITE: %q is not an integer", args[1])
			}
			return search.Show(cmd.Context(), cmd.OutOrStdout(), b, *seed, n)
		},
	}
}
