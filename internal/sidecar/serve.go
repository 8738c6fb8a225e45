package sidecar

import (
	"context"
	"fmt"
	"sync"
)

// Serve serves requests until ctx ends, and then until every accepted request has been answered.
func (s *Sidecar) Serve(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	var background sync.WaitGroup
	for _, run := range s.backgroundTasks() {
		background.Go(func() { run(work) })
	}
	defer background.Wait()
	defer stop()

	if !s.handover.waitForBans(ctx.Done()) {
		return nil
	}
	if s.handover.hasPeer() { // the process that serves goes on doing so until this one can do it as well
		s.readiness.waitForList(ctx.Done())
	}
	s.handover.restoreSnapshot()
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(s.listener) }()
	// The predecessor is notified before this process is ready: the platform sends it SIGTERM once
	// this process reports that it is, and it must be able to find its successor then.
	s.handover.markServing()
	s.readiness.accepting.Store(true)
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return s.drain(served)
}

// backgroundTasks returns what runs beside the server. Each task returns when its context ends.
func (s *Sidecar) backgroundTasks() []func(context.Context) {
	tasks := []func(context.Context){s.pool.Run, s.discovery.Run, s.handover.run}
	if s.admin != nil {
		tasks = append(tasks, s.admin.Run)
	}
	return tasks
}
