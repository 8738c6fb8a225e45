// Command sidecar is a load-balancing sidecar: it accepts requests from clients and forwards each
// to the endpoint that the balancer chooses. Its configuration is the file that ROUTER_CONFIG
// names.
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

// gcPercent is the heap growth, in per cent, that starts a garbage collection. The live heap is
// small, so it is collected less often than by default.
const gcPercent = 300

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT has come and every accepted request has been answered.
func run() error {
	// SIGHUP is handled first of all, and until the process exits: by default it terminates the
	// process. So does SIGPIPE, at a write to the log after its reader has closed it.
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
