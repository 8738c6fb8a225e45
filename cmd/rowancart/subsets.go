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
		Short: "Compare methods of selecting the servers to which each instance of a fleet sends",
		Long: `Compare methods of selecting the servers to which each instance of a fleet sends.

Columns "least" and "most" are the smallest and the largest number of instances that send to one
server, relative to the mean, after five servers have been replaced one after another. Columns
"replaced" and "instance" are the mean number of servers that are added to an instance's subset when
a server is replaced, and when an instance is added; row "(needed)" is the minimum for any method.
With few instances, subsets are larger than --part, so that each server has three instances on
average.`,
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
	cmd.Flags().IntSliceVar(&instances, "instances", instances, "numbers of instances to compare")
	cmd.Flags().IntSliceVar(&servers, "boxes", servers, "numbers of servers to compare")
	cmd.Flags().IntVar(&size, "part", size, "number of servers to which one instance sends")
	return cmd
}
