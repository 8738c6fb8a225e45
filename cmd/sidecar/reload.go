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

// reloadRetryInterval is the time between two attempts to load a configuration after a signal.
const reloadRetryInterval = 100 * time.Millisecond

// reloader loads the configuration again at each signal. A configuration that can't be loaded
// changes nothing, and is retried until it can: the file may be replaced at that moment, or a read
// may fail once, and no other signal follows.
type reloader struct {
	sidecar *sidecar.Sidecar
	log     *slog.Logger
	retry   <-chan time.Time // nil: no retry is due
}

// startReloader starts a goroutine that reloads the configuration at each signal. The function
// returned ends it, and returns once it has ended.
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

// run reloads until ctx ends.
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
			_ = r.reload() // each signal is recorded as one failure at most
		}
	}
}

// reload loads the configuration and applies it. Where that fails, it schedules a retry.
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
