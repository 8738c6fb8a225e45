package sidecar

import (
	"context"
	"fmt"
	"sync"
)

// Serve serves requests until ctx ends, and then shuts down: it returns once every accepted request
// has been answered and all goroutines that it started have ended.
func (s *Sidecar) Serve(ctx context.Context) error {
	taskCtx, stop := context.WithCancel(context.Background())
	var background sync.WaitGroup
	for _, run := range s.backgroundTasks() {
		background.Go(func() { run(taskCtx) })
	}
	defer background.Wait()
	defer stop()

	if !s.handover.waitForDisabledEndpoints(ctx.Done()) {
		return nil
	}
	if s.handover.hasPeerProcess() { // a predecessor serves while this process waits for the endpoint list
		s.readiness.waitForList(ctx.Done())
	}
	s.handover.restoreSnapshot()
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(s.listener) }() // ends once drain has closed the listener
	// The predecessor is notified before this process reports that it is ready: the platform then
	// sends SIGTERM to the predecessor, which must know by that time that it has a successor.
	s.handover.markServing()
	s.readiness.accepting.Store(true)
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return s.drain(served)
}

// backgroundTasks returns the tasks that run concurrently with the server. Serve runs each in a
// goroutine of its own and ends it after the last request:
//
//   - maintaining the pool's connections to endpoints, and closing the pool at the end
//   - watching the platform's endpoint list
//   - checking the shared directory and writing snapshots
//   - serving the admin interface, if there is one
func (s *Sidecar) backgroundTasks() []func(context.Context) {
	tasks := []func(context.Context){s.pool.Run, s.discovery.Run, s.handover.run}
	if s.admin != nil {
		tasks = append(tasks, s.admin.Run)
	}
	return tasks
}
