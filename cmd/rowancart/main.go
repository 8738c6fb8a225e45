// Rowancart is the operators' program. Its lab plays experiments with the balancer before stand-in boxes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() { os.Exit(run(os.Args[1:])) }

// run returns the exit status: 0 if all is well, 1 if something failed or an expectation was missed.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "rowancart:", err)
		return 1
	}
	return 0
}
