// Command sidecar is a load-balancing sidecar: it accepts requests from clients and forwards each
// to the endpoint that the balancer chooses. The environment variable ROUTER_CONFIG holds the path
// of its configuration file.
//
// SIGHUP reloads the configuration; SIGTERM and SIGINT shut the sidecar down gracefully.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"rowancart/internal/asynclog"
	"rowancart/internal/sidecar"
)

// gcPercent is the heap growth, in percent, that triggers a garbage collection. It is higher than
// the default: the live heap is small, so it can be collected less often.
const gcPercent = 300

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
}

// run serves requests until SIGTERM or SIGINT, and then until every accepted request has been
// answered.
func run() error {
	// By default SIGHUP terminates the process, so it is handled before anything else is done, and
	// until the process exits. SIGPIPE would terminate the process too, at the next write to the log
	// after the reader of the log has closed the pipe.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	c, err := sidecar.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(int(c.Limits.Cores), 1))
	debug.SetGCPercent(gcPercent)
	logLines := asynclog.New(os.Stderr)
	defer logLines.Close()
	log := slog.New(slog.NewTextHandler(logLines, nil)).With("name", c.Name)

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := sidecar.Start(c, log)
	if err != nil {
		return err
	}
	stopReloader := startReloader(s, log, hup)
	defer stopReloader()
	return s.Serve(ctx)
}
