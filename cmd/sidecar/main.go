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
	"sync"
	"syscall"
	"time"

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
	// SIGHUP is handled first of all, and until the process exits: by default it would end the
	// process. So would SIGPIPE, at a log line that nobody reads any more.
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
	reloadCtx, stopReloads := context.WithCancel(context.Background())
	var reloader sync.WaitGroup
	reloader.Go(func() { reloadOnSignal(reloadCtx, hup, s, log) })
	defer reloader.Wait()
	defer stopReloads()
	return s.Serve(ctx)
}

// reloadRetryInterval is the time between two attempts to load a configuration after a signal.
const reloadRetryInterval = 100 * time.Millisecond

// reloadOnSignal loads the configuration again at each signal until ctx ends. A configuration that
// can't be loaded changes nothing, and is tried again until it can: the file may be replaced just
// then, or a read may fail for a moment, and no other signal comes.
func reloadOnSignal(ctx context.Context, hup <-chan os.Signal, s *sidecar.Sidecar, log *slog.Logger) {
	var retry <-chan time.Time // nil: nothing is to be tried again
	for {
		isRetry := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-retry:
			isRetry = true
		}
		c, err := sidecar.LoadConfig(os.Getenv)
		if err == nil {
			retry = nil
			s.Reload(c)
			log.Info("reloaded", "discovery", c.Discovery)
			continue
		}
		if !isRetry { // one signal is one failure
			log.Error("reload failed, keeping the current configuration", "err", err, "retry_every", reloadRetryInterval)
			s.RecordFailedReload()
		}
		retry = time.After(reloadRetryInterval)
	}
}
