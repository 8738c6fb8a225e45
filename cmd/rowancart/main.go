// Rowancart is the program for operators of the load balancer. It runs the daemon, supervises the
// instances of a fleet on one machine, checks configurations, and runs experiments with the
// balancer and emulated servers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const exitFailure = 1

func main() { os.Exit(run(os.Args[1:])) }

// run executes a command and returns the exit status: 0, or exitFailure if the command failed or
// the results of an experiment do not meet its expectations.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "rowancart:", err)
		return exitFailure
	}
	return 0
}
