package sidecar

import (
	"context"
	"fmt"
	"sync"
)

// Serve serves requests until ctx ends, and then until every accepted request has been answered. It
// returns once all goroutines that it has started have ended.
func (s *Sidecar) Serve(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	var background sync.WaitGroup
	for _, run := range s.backgroundTasks() {
		background.Go(func() { run(work) })
	}
	defer background.Wait()
	defer stop()

	if !s.handover.waitForDisabledEndpoints(ctx.Done()) {
		return nil
	}
	if s.handover.hasPeerProcess() { // a predecessor serves until this process has the endpoint list
		s.readiness.waitForList(ctx.Done())
	}
	s.handover.restoreSnapshot()
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(s.listener) }() // ends once drain has closed the listener
	// The predecessor is notified before this process is ready: once it is, the platform sends the
	// predecessor SIGTERM, which must know by then that it has a successor.
	s.handover.markServing()
	s.readiness.accepting.Store(true)
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return s.drain(served)
}

// backgroundTasks returns what runs concurrently with the server, each in a goroutine that Serve
// starts and ends after the last request:
//
//   - the maintenance of the pool's connections to endpoints, and the close of the pool
//   - the watch on the platform's endpoint list
//   - the check of the shared directory and the snapshots
//   - the admin interface, if there is one
func (s *Sidecar) backgroundTasks() []func(context.Context) {
	tasks := []func(context.Context){s.pool.Run, s.discovery.Run, s.handover.run}
	if s.admin != nil {
		tasks = append(tasks, s.admin.Run)
	}
	return tasks
}
