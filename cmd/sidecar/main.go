// Tuliprock is a load-balancing sidecar: it takes requests from callers and passes each to the endpoint that
// the decision module chooses.
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

	"rowancart/internal/sidecar"
)

const gcPercent = 300 // the live heap is small: collect less often

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT has come and all that was taken has been answered.
func run() error {
	hup := make(chan os.Signal, 1) // first of all, and for good: unheeded, the signal would end the process
	signal.Notify(hup, syscall.SIGHUP)
	c, err := sidecar.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(int(c.Limits.Cores), 1))
	debug.SetGCPercent(gcPercent)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("name", c.Name)

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := sidecar.Start(c, log)
	if err != nil {
		return err
	}
	reloads, stopReloads := context.WithCancel(context.Background())
	var reloader sync.WaitGroup
	reloader.Go(func() { reload(reloads, hup, s, log) })
	defer reloader.Wait()
	defer stopReloads()
	return s.Serve(ctx)
}

// reload reads the configuration again at each signal until ctx ends. One that can't be read leaves all as it is.
func reload(ctx context.Context, hup <-chan os.Signal, s *sidecar.Sidecar, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		c, err := sidecar.LoadConfig(os.Getenv)
		if err != nil {
			log.Error("reload: the old configuration stays", "err", err)
			s.RecordFailedReload()
			continue
		}
		s.Reload(c)
		log.Info("reloaded", "discovery", c.Discovery)
	}
}
