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
		Short: "Look for the sites on which the design loses against the rival policies",
	}
	var seed uint64
	cmd.PersistentFlags().Uint64Var(&seed, "seed", 1, "of the sites that are drawn")
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
		Short: "Draw sites, play the design and its rivals on each, and add the results to a file",
		Long: `Draw sites within the bounds of a file, play the design and its rivals on each in virtual time,
and add the results to a file.

A run that was stopped goes on where it was when it is called again with the same bounds, seed
and file. The file says nothing of the program: results of another build want a file of their
own.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			b, err := search.Load(args[0])
			if err != nil {
				return err
			}
			if o.Out == "" {
				return errors.New("--out: a file for the results is required")
			}
			o.Seed = *seed
			o.To = o.From + sites
			display := newProgressDisplay(cmd.ErrOrStderr())
			o.Progress = func(done, all int) {
				if done%progressEvery == 0 || done == all {
					display.show(done, all, 0)
				}
			}
			err = search.Run(cmd.Context(), b, o)
			display.finish()
			return err
		},
	}
	cmd.Flags().StringVar(&o.Out, "out", "", "file for the results")
	cmd.Flags().IntVar(&sites, "sites", sites, "how many are played")
	cmd.Flags().IntVar(&o.From, "from", 0, "the first of them")
	return cmd
}

func newSearchReport(seed *uint64) *cobra.Command {
	worst := 10 // sites
	var plotFile string
	cmd := &cobra.Command{
		Use:   "report BOUNDS RESULTS...",
		Short: "Tell on how many sites the design is behind, by how much, and describe the worst",
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
				s.Text(cmd.OutOrStdout(), b, *seed, worst)
				all = append(all, s)
			}
			if plotFile == "" {
				return nil
			}
			return plotRegret(plotFile, args[1:], all)
		},
	}
	cmd.Flags().IntVar(&worst, "worst", worst, "sites that are described")
	cmd.Flags().StringVar(&plotFile, "plot", "", "draw the distributions of regret into this file, as SVG")
	return cmd
}

// plotRegret writes a plot of the summaries, which have these labels, into a file.
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
		Short: "Play one site and tell what each policy served, and what the design's instances logged",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			b, err := search.Load(args[0])
			if err != nil {
				return err
			}
			n, err := strconv.Atoi(args[1])
			if err != nil {
				return fmt.Errorf("%q is not the number of a site", args[1])
			}
			return search.Show(cmd.Context(), cmd.OutOrStdout(), b, *seed, n)
		},
	}
}
