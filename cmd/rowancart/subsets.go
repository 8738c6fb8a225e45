package main

import (
	"errors"
	"slices"

	"github.com/spf13/cobra"

	"rowancart/internal/experiment/subsets"
)

func newSubsets() *cobra.Command {
	instances := []int{10, 100, 1000}
	servers := []int{10, 100, 1000, 10000}
	size := 20
	cmd := &cobra.Command{
		Use:   "subsets",
		Short: "Measure ways to choose which boxes each instance of a fleet sends to",
		Long: `Measure ways to choose which boxes each instance of a fleet sends to.

Least and most are the instances on the box that has fewest and most, in multiples of the mean,
after five boxes have been replaced one after another. The other columns are how many boxes
change for an instance, in the mean, when one box is replaced, and when an instance comes. Where
instances are few, parts are larger than asked for, so that each box has three instances.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, n := range slices.Concat([]int{size}, instances, servers) {
				if n < 1 {
					return errors.New("--instances, --boxes and --part must be at least 1")
				}
			}
			subsets.Report(cmd.OutOrStdout(), instances, servers, size)
			return nil
		},
	}
	cmd.Flags().IntSliceVar(&instances, "instances", instances, "sizes of fleets")
	cmd.Flags().IntSliceVar(&servers, "boxes", servers, "sizes of pools")
	cmd.Flags().IntVar(&size, "part", size, "boxes that one instance sends to")
	return cmd
}
