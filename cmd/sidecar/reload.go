package main

import (
	"context"
	"log/slog"
	"os"
	"sync"
	"time"

	"rowancart/internal/logkey"
	"rowancart/internal/sidecar"
)

// reloadRetryInterval is the time between two attempts to load the configuration after a SIGHUP.
const reloadRetryInterval = 100 * time.Millisecond

// reloader reloads the configuration at each SIGHUP. A configuration that can't be loaded changes
// nothing, and loading is retried until it succeeds: the file may be in the middle of being
// replaced, or a read may fail once, and no second signal follows.
type reloader struct {
	sidecar *sidecar.Sidecar
	log     *slog.Logger
	retry   <-chan time.Time // nil: no retry is due
}

// startReloader starts a goroutine that reloads the configuration at each signal from hup. The
// returned function stops the goroutine and waits until it has ended.
func startReloader(s *sidecar.Sidecar, log *slog.Logger, hup <-chan os.Signal) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &reloader{sidecar: s, log: log}
	var running sync.WaitGroup
	running.Go(func() { r.run(ctx, hup) })
	return func() {
		cancel()
		running.Wait()
	}
}

// run handles signals and retries until ctx ends.
func (r *reloader) run(ctx context.Context, hup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			if err := r.reload(); err != nil {
				r.recordFailure(err)
			}
		case <-r.retry:
			_ = r.reload() // only the first failure after a signal is logged and counted
		}
	}
}

// reload loads the configuration and applies it. If loading fails, it schedules a retry.
func (r *reloader) reload() error {
	c, err := sidecar.LoadConfig(os.Getenv)
	if err != nil {
		r.retry = time.After(reloadRetryInterval)
		return err
	}
	r.retry = nil
	r.sidecar.Reload(c)
	r.log.Info("configuration reloaded", "discovery", c.Discovery)
	return nil
}

// recordFailure logs and counts a failed reload.
func (r *reloader) recordFailure(err error) {
	r.log.Error("configuration not reloaded", logkey.Err, err, logkey.RetryDelay, reloadRetryInterval)
	r.sidecar.RecordFailedReload()
}
